//! Limits of the state service as learned from rejected and refused writes.

mod node_settings;

use std::time::Duration;

use kiteyard::core::{
    config::{Config, Options},
    limits::{WriteLimits, WriteRate, WriteSize},
    store::{StateRequest, delete, put},
};

const SECS: fn(u64) -> Duration = Duration::from_secs;

fn limits() -> WriteLimits {
    let settings = node_settings::with_peers(0);
    WriteLimits::new(&Config::new(&settings, Options::default()))
}

fn size(value_bytes: usize, changes: usize) -> WriteSize {
    let key = "roster/1".to_owned();
    WriteSize {
        key,
        value_bytes,
        changes,
    }
}

#[test]
fn write_size_is_largest_value_and_change_count() {
    let changes = vec![delete("a"), put("b", &"xxxxxxxx"), put("c", &"x")];
    let conditions = Vec::new();
    let request = StateRequest::Txn {
        conditions,
        changes,
    };
    let size = WriteSize::of(&request).expect("a write");
    assert_eq!((&*size.key, size.value_bytes, size.changes), ("b", 10, 3));
    let read = StateRequest::Get { key: "b".into() };
    assert_eq!(WriteSize::of(&read), None);
}

#[test]
fn rejections_lower_limits_down_to_a_minimum() {
    let mut limits = limits();
    assert!(limits.lower_after_rejection(&size(300, 16), SECS(1)));
    assert_eq!((limits.value_bytes, limits.txn_ops), (16 * 1024, 8));
    assert!(limits.lower_after_rejection(&size(300, 8), SECS(1)));
    assert_eq!(limits.txn_ops, 4);
    let mut steps = 0;
    while limits.lower_after_rejection(&size(limits.value_bytes, 2), SECS(1)) {
        steps += 1;
    }
    assert_eq!((steps, limits.value_bytes), (5, 512));
    assert!(
        !limits.lower_after_rejection(&size(100, 1), SECS(1)),
        "nothing to split"
    );
}

/// Rejections of several writes in flight lower a limit only once.
#[test]
fn concurrent_rejections_lower_a_limit_once() {
    let mut limits = limits();
    for _ in 0..6 {
        limits.lower_after_rejection(&size(16_000, 2), SECS(1));
    }
    assert_eq!(limits.value_bytes, 8_000);
}

#[test]
fn rejected_key_is_logged_once_per_minute() {
    let mut limits = limits();
    let logged: Vec<bool> = [0, 1, 59, 60, 61]
        .map(|at| limits.should_warn("a", SECS(at)))
        .into();
    assert_eq!(logged, [true, false, false, true, false]);
    assert!(limits.should_warn("b", SECS(61)));
}

#[test]
fn rate_drops_after_refusal_and_recovers() {
    let mut rate = WriteRate::new(27.0, Some(13.5));
    assert_eq!(rate.rate_at(SECS(1)), 27.0);
    rate.reduce(SECS(100));
    rate.reduce(SECS(101));
    assert_eq!(
        (rate.rate_at(SECS(109)), rate.rate_at(SECS(110))),
        (13.5, 27.0)
    );
    // Another refusal soon after doubles the time, up to five minutes.
    let (mut at, mut longest) = (110, 0);
    for _ in 0..8 {
        rate.reduce(SECS(at));
        let back = (at..)
            .find(|t| rate.rate_at(SECS(*t)) > 13.5)
            .expect("an end");
        (longest, at) = (back - at, back);
    }
    assert_eq!(longest, 300);
    // After a long time without refusals, the shortest time applies again.
    rate.reduce(SECS(at + 1000));
    assert_eq!(rate.rate_at(SECS(at + 1011)), 27.0);
}

#[test]
fn rate_without_lower_announcement_stays() {
    for announced in [None, Some(50.0)] {
        let mut rate = WriteRate::new(27.0, announced);
        rate.reduce(SECS(1));
        assert_eq!(rate.rate_at(SECS(2)), 27.0);
    }
}
