//! What rejected and refused writes teach of the state service's limits.

mod node_settings;

use std::time::Duration;

use kiteyard::core::{
    config::{Config, Options},
    limits::{WriteLimits, WriteRate, WriteSize},
    store::{StateRequest, delete, put},
};

const S: fn(u64) -> Duration = Duration::from_secs;

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
fn the_size_of_a_write_is_its_largest_value_and_its_changes() {
    let changes = vec![delete("a"), put("b", &"xxxxxxxx"), put("c", &"x")];
    let conditions = Vec::new();
    let request = StateRequest::Txn {
        conditions,
        changes,
    };
    let size = WriteSize::of(&request).expect("it writes");
    assert_eq!((&*size.key, size.value_bytes, size.changes), ("b", 10, 3));
    let read = StateRequest::Get { key: "b".into() };
    assert_eq!(WriteSize::of(&read), None);
}

#[test]
fn what_is_rejected_is_made_smaller_down_to_a_floor() {
    let mut limits = limits();
    assert!(limits.lower_after_rejection(&size(300, 16), S(1)));
    assert_eq!((limits.value_bytes, limits.txn_ops), (16 * 1024, 8));
    assert!(limits.lower_after_rejection(&size(300, 8), S(1)));
    assert_eq!(limits.txn_ops, 4);
    let mut steps = 0;
    while limits.lower_after_rejection(&size(limits.value_bytes, 2), S(1)) {
        steps += 1;
    }
    assert_eq!((steps, limits.value_bytes), (5, 512));
    assert!(
        !limits.lower_after_rejection(&size(100, 1), S(1)),
        "nothing to split"
    );
}

/// The answers to writes that were under way together lower a limit but once.
#[test]
fn rejections_of_one_size_lower_a_limit_once() {
    let mut limits = limits();
    for _ in 0..6 {
        limits.lower_after_rejection(&size(16_000, 2), S(1));
    }
    assert_eq!(limits.value_bytes, 8_000);
}

#[test]
fn a_rejected_key_is_told_once_a_minute() {
    let mut limits = limits();
    let told: Vec<bool> = [0, 1, 59, 60, 61]
        .map(|at| limits.should_warn("a", S(at)))
        .into();
    assert_eq!(told, [true, false, false, true, false]);
    assert!(limits.should_warn("b", S(61)));
}

#[test]
fn the_rate_falls_while_writes_are_refused_and_comes_back() {
    let mut rate = WriteRate::new(27.0, Some(13.5));
    assert_eq!(rate.rate_at(S(1)), 27.0);
    rate.reduce(S(100));
    rate.reduce(S(101));
    assert_eq!((rate.rate_at(S(109)), rate.rate_at(S(110))), (13.5, 27.0));
    // Refused again soon after: twice as long, up to five minutes.
    let (mut at, mut longest) = (110, 0);
    for _ in 0..8 {
        rate.reduce(S(at));
        let back = (at..).find(|t| rate.rate_at(S(*t)) > 13.5).expect("an end");
        (longest, at) = (back - at, back);
    }
    assert_eq!(longest, 300);
    // After a long quiet time it begins with the short one.
    rate.reduce(S(at + 1000));
    assert_eq!(rate.rate_at(S(at + 1011)), 27.0);
}

#[test]
fn a_rate_that_is_not_announced_stays() {
    for announced in [None, Some(50.0)] {
        let mut rate = WriteRate::new(27.0, announced);
        rate.reduce(S(1));
        assert_eq!(rate.rate_at(S(2)), 27.0);
    }
}
