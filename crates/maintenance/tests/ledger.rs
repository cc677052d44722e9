//! Compares the ledger with a reference model, and checks the file and the steps of a drain.

use std::time::Duration;

use kiteyard_maintenance::{
    config::Config,
    drain::{Kind, Task, WaitReason, step},
    ledger::{Ledger, Refusal, Replicas, StopRequest},
};
use proptest::prelude::*;

const S: fn(u64) -> Duration = Duration::from_secs;

fn replicas(wanted: u32, up: u32, stopping: u32) -> Replicas {
    Replicas {
        wanted,
        up,
        stopping,
    }
}

#[test]
fn config_errors_name_the_field_or_line() {
    for (text, named) in [
        ("[budget]\nmax_down = \"5\"", "budget.max_down"),
        ("[budget]\nmax_down = -1", "line 2"),
        ("[budget]\nfloor = 2.0", "budget.floor"),
        ("[team.desk]\nmax_in_s = 0", "team.desk.max_in_s"),
        ("[team.desk]\nmax_lost_s = -3", "team.desk.max_lost_s"),
        ("[team.desk]\nmax = 3", "line 2"),
    ] {
        let error = Config::parse(text, 1).expect_err(text).to_string();
        assert!(
            error.contains(named) && error.lines().count() == 1,
            "{error}"
        );
    }
    let shipped = include_str!("../../../deploy/maintenance.toml");
    let config = Config::parse(shipped, 1).expect("a valid file");
    assert_eq!(config.default.max_down, 1);
    let ledger = Ledger::new(Config::parse("[budget]\nmax_down = \"5%\"", 1).expect("valid"));
    assert_eq!(
        [1, 20, 39, 40, 1000].map(|wanted| ledger.max_down("any", wanted)),
        [1, 1, 1, 2, 50]
    );
    let none = Ledger::new(Config::parse("[budget]\nmax_down = \"0%\"", 1).expect("valid"));
    assert_eq!(none.max_down("any", 1000), 0);
}

#[test]
fn failed_replicas_use_up_the_budget() {
    let text = "[budget]\nmax_down = 2\nfloor = 0.9\n[team.desk]\nmax_in_s = 60\nmax_tasks = 1\n";
    let mut ledger = Ledger::new(Config::parse(text, 1).expect("valid"));
    let request = |team: &'static str, service| StopRequest {
        team,
        service: Some(service),
        lost_work: Duration::ZERO,
    };
    let all_up = [("care", replicas(10, 10, 0)), ("care", replicas(10, 9, 1))];
    ledger.observe(all_up.into_iter());
    assert_eq!(
        ledger.check(S(0), &request("care", replicas(10, 10, 0))),
        Ok(())
    );
    let one_failed = request("care", replicas(10, 9, 0));
    assert_eq!(ledger.check(S(0), &one_failed), Ok(()));
    let two_failed = request("care", replicas(10, 8, 0));
    assert_eq!(ledger.check(S(0), &two_failed), Err(Refusal::Service));
    // Three of twenty are down, one of them failed: no replica is stopped below the floor.
    let low = [("care", replicas(10, 9, 0)), ("care", replicas(10, 8, 2))];
    ledger.observe(low.into_iter());
    assert_eq!(ledger.check(S(0), &one_failed), Err(Refusal::Floor));
    // A breach is reported for preemption, which may still choose the victim.
    assert!(ledger.is_breach("care", replicas(10, 8, 0), 1));
    assert!(!Ledger::new(Config::without_file(2)).is_breach("care", replicas(10, 8, 0), 1));
    // One stop a minute is allowed for this team.
    let desk = request("desk", replicas(5, 5, 0));
    assert_eq!(ledger.check(S(100), &desk), Ok(()));
    ledger.record_stop(S(100), &desk);
    assert_eq!(ledger.check(S(159), &desk), Err(Refusal::Window));
    assert_eq!(ledger.check(S(161), &desk), Ok(()));
}

#[test]
fn drain_lets_tasks_end_and_stops_one_replica_at_a_time() {
    let task = |key: u32, kind, has_capacity_elsewhere| Task {
        key,
        team: "care".into(),
        kind,
        stopping: false,
        service: (kind == Kind::Replica).then(|| replicas(4, 4, 0)),
        has_capacity_elsewhere,
        lost_work: if kind == Kind::Replica { S(0) } else { S(50) },
    };
    let text = "[budget]\nmax_down = 1\nmax_in_s = 100\nmax_lost_s = 60\n";
    let mut ledger = Ledger::new(Config::parse(text, 1).expect("valid"));
    let mut tasks = vec![
        task(1, Kind::Array, true),
        task(2, Kind::Replica, false),
        task(3, Kind::Replica, true),
        task(4, Kind::Replica, true),
    ];
    let first = step(S(0), false, &mut tasks, &mut ledger);
    assert_eq!(first, (vec![3], WaitReason::Ending));
    let none = step(S(0), false, &mut [] as &mut [Task<u32>], &mut ledger);
    assert_eq!(none, (vec![], WaitReason::Nothing));
    // Past the deadline array tasks are stopped, within the limit on lost work.
    let mut arrays = vec![task(5, Kind::Array, true), task(6, Kind::Array, true)];
    assert_eq!(step(S(1), true, &mut arrays, &mut ledger).0, [5]);
    let rest = step(S(2), true, &mut arrays[1..], &mut ledger);
    assert_eq!(rest, (vec![], WaitReason::Work));
    assert_eq!(step(S(102), true, &mut arrays[1..], &mut ledger).0, [6]);
}

/// Reference model: a list of all stops.
#[derive(Default)]
struct ReferenceModel {
    stopped: Vec<(u64, u64)>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: proptest::test_runner::RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn stops_within_a_window_stay_within_the_budget(
        requests in prop::collection::vec((0..8u64, 0..40u64), 1..120),
        tasks in 1..6u32,
        lost in 10..80u64,
        window in 5..60u64,
    ) {
        let text = format!(
            "[budget]\nmax_in_s = {window}\nmax_tasks = {tasks}\nmax_lost_s = {lost}\n"
        );
        let mut ledger = Ledger::new(Config::parse(&text, 1).expect("valid"));
        let (mut model, mut now) = (ReferenceModel::default(), 0);
        for (elapsed, seconds) in requests {
            now += elapsed;
            let request = StopRequest { team: "any", service: None, lost_work: S(seconds) };
            let since = now.saturating_sub(window);
            let recent: Vec<_> = model.stopped.iter().filter(|(at, _)| *at > since).collect();
            let sum: u64 = recent.iter().map(|(_, lost)| lost).sum();
            let is_allowed = recent.len() < tasks as usize && (sum + seconds <= lost || sum == 0);
            prop_assert_eq!(ledger.check(S(now), &request).is_ok(), is_allowed);
            if is_allowed {
                ledger.record_stop(S(now), &request);
                model.stopped.push((now, seconds));
            }
        }
    }
}
