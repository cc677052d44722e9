//! Compares the ledger with a reference model, and checks grants against tampering and replay.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_licences::{
    config::{Config, ConfigError},
    grant::{Grant, GrantVerifier, Keys, Refusal},
    history::{History, SeatPeriod},
    ledger::{Attempt, Input, Ledger, Needs, Output},
};
use proptest::prelude::*;

const FILE: &str = r#"
[licence.flow-solver]
seats = 5
linger_s = 2.0
team.gas = { least = 1, most = 4 }

[licence.calib]
seats = 3
"#;

fn config() -> Config {
    Config::parse(FILE).expect("a valid file")
}

fn attempt(task: usize, attempt: u64) -> Attempt {
    Attempt {
        task: format!("run-{task:06}/0"),
        attempt,
    }
}

fn needs(solver: u32, calib: u32) -> Needs {
    let all = [("flow-solver", solver), ("calib", calib)];
    let wanted = all.into_iter().filter(|(_, seats)| *seats > 0);
    wanted.map(|(name, n)| (name.to_owned(), n)).collect()
}

#[test]
fn config_errors_name_the_field_or_line() {
    let bad = [
        ("[licence.a]\nseats = -1\n", "line 2"),
        ("[licence.a]\n", "seats"),
        ("[licence.a]\nseats = 2\nchairs = 1\n", "chairs"),
        ("[licence.\"a b\"]\nseats = 2\n", "`a b.name`"),
        ("[licence.a]\nseats = 2\nlinger_s = -1.0\n", "`a.linger_s`"),
        ("[licence.a]\nseats = 2\nlinger_s = nan\n", "`a.linger_s`"),
        (
            "[licence.a]\nseats = 1\nteam.x = { least = 2 }\n",
            "`a.team`",
        ),
        (
            "[licence.a]\nseats = 9\nteam.x = { least = 2, most = 1 }\n",
            "`a.team.x.most`",
        ),
        ("[licence.a]\nseats = 1\ncounter = \"nowhere\"\n", "line 3"),
    ];
    for (text, names) in bad {
        let error = Config::parse(text).expect_err(text).to_string();
        assert!(error.contains(names), "{error} does not name {names}");
        assert!(!error.contains('\n'), "{error:?} has more than one line");
    }
    assert_eq!(Config::parse(""), Ok::<_, ConfigError>(Config::default()));
}

#[test]
fn last_seat_is_granted_once_and_released_after_proof() {
    let mut ledger = Ledger::new(config());
    let take = |task, now: u64, ledger: &mut Ledger| {
        let input = Input::Take {
            team: "archive".into(),
            attempts: vec![attempt(task, 1)],
            needs: needs(0, 3),
        };
        ledger.step(Duration::from_secs(now), input)
    };
    assert_eq!(take(1, 0, &mut ledger), [Output::Taken(attempt(1, 1))]);
    let insufficient = Output::InsufficientSeats {
        licence: "calib".into(),
        seats: 3,
    };
    assert_eq!(take(2, 1, &mut ledger), [insufficient]);
    let freed = Output::Freed {
        licence: "calib".into(),
    };
    let outputs = ledger.step(Duration::from_secs(2), Input::Ended(attempt(1, 1)));
    assert_eq!(outputs, [freed]);
    assert_eq!(take(2, 3, &mut ledger), [Output::Taken(attempt(2, 1))]);
}

#[test]
fn seats_possibly_held_elsewhere_are_not_granted() {
    let mut ledger = Ledger::new(config());
    let now = Duration::from_secs(1);
    let free = |ledger: &Ledger| ledger.free_seats("calib", "archive", now);
    let machine = "vm-000001".to_owned();
    let may_hold = Input::MayHold {
        machine: machine.clone(),
        needs: needs(0, 2),
    };
    ledger.step(now, may_hold);
    assert_eq!(free(&ledger), Some(1));
    let licence = "calib".to_owned();
    let elsewhere = 4;
    ledger.step(now, Input::CounterReport { licence, elsewhere });
    assert_eq!(free(&ledger), Some(0));
    ledger.step(now, Input::MachineEmpty { machine });
    let licence = "calib".to_owned();
    ledger.step(
        now,
        Input::CounterReport {
            licence,
            elsewhere: 1,
        },
    );
    assert_eq!(free(&ledger), Some(2));
    // A refusal by the counter delays the next request, longer each time.
    for wait in [1, 2, 4] {
        let licence = "calib".to_owned();
        ledger.step(now, Input::CounterRefused { licence });
        let at = |s: f64| ledger.free_seats("calib", "archive", now + Duration::from_secs_f64(s));
        assert_eq!(at(f64::from(wait) - 0.1), Some(0));
        assert_eq!(at(f64::from(wait)), Some(2));
    }
    // A seat count below the seats in use stops no task; no more seats are granted.
    let take = Input::Take {
        team: "archive".into(),
        attempts: vec![attempt(7, 1)],
        needs: needs(4, 0),
    };
    ledger.step(now, take);
    let fewer = Config::parse("[licence.flow-solver]\nseats = 2\n").expect("a valid file");
    ledger.step(now, Input::Configured(fewer));
    assert_eq!(
        ledger
            .seat_counts("flow-solver")
            .map(|s| (s.held, s.free())),
        Some((4, 0))
    );
}

/// Reference model: a list of holders with the time of their release.
#[derive(Default)]
struct ReferenceModel {
    held: Vec<(Attempt, String, Needs, Option<u64>)>,
}

impl ReferenceModel {
    fn used(&self, licence: &str, team: Option<&str>) -> u32 {
        let of = self.held.iter().filter(|h| team.is_none_or(|t| t == h.1));
        of.map(|h| h.2.get(licence).copied().unwrap_or(0)).sum()
    }

    fn takes(&self, team: &str, needs: &Needs, count: u32) -> bool {
        needs.iter().all(|(licence, n)| {
            let known = &config().licences[licence];
            let reserved: u32 = known
                .teams
                .iter()
                .filter(|(name, _)| *name != team)
                .map(|(name, s)| s.least.saturating_sub(self.used(licence, Some(name))))
                .sum();
            let most = known.teams.get(team).and_then(|s| s.most);
            let own = most.is_none_or(|m| self.used(licence, Some(team)) + n * count <= m);
            own && self.used(licence, None) + n * count + reserved <= known.seats
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(14), ..ProptestConfig::default() })]

    #[test]
    fn ledger_agrees_with_reference_model(
        steps in prop::collection::vec((0..10usize, 0..2usize, 0..3u32, 0..3u32, 1..4usize, 0..3u64), 1..60)
    ) {
        let mut ledger = Ledger::new(config());
        let mut model = ReferenceModel::default();
        let mut now = 0;
        for (number, (action, team, solver, calib, count, elapsed)) in steps.into_iter().enumerate() {
            now += elapsed;
            let at = Duration::from_secs(now);
            model.held.retain(|h| h.3.is_none_or(|until| now < until));
            ledger.step(at, Input::Tick);
            let team = ["gas", "archive"][team];
            if action < 6 {
                let attempts: Vec<Attempt> = (0..count).map(|i| attempt(number * 10 + i, 1)).collect();
                let needs = needs(solver, calib);
                let expected = model.takes(team, &needs, count as u32);
                let input = Input::Take { team: team.into(), attempts: attempts.clone(), needs: needs.clone() };
                let outputs = ledger.step(at, input);
                let taken = outputs.iter().filter(|o| matches!(o, Output::Taken(_))).count();
                prop_assert_eq!(taken, if expected { count } else { 0 });
                if expected {
                    model.held.extend(attempts.into_iter().map(|a| (a, team.to_owned(), needs.clone(), None)));
                }
            } else if let Some(index) = model.held.len().checked_sub(1).map(|last| (action * 7 + number) % (last + 1)) {
                let held = &mut model.held[index];
                let linger = if held.2.contains_key("flow-solver") { 2 } else { 0 };
                held.3.get_or_insert(now + linger);
                let ended = held.0.clone();
                ledger.step(at, Input::Ended(ended));
                model.held.retain(|h| h.3.is_none_or(|until| now < until));
            }
            for licence in ["flow-solver", "calib"] {
                let seat_counts = ledger.seat_counts(licence).expect("known");
                prop_assert_eq!(
                    seat_counts.held + seat_counts.lingering,
                    model.used(licence, None)
                );
                prop_assert!(seat_counts.held + seat_counts.lingering <= seat_counts.seats);
            }
        }
    }

    #[test]
    fn history_is_restored_from_pages(has_ended in prop::collection::vec(any::<bool>(), 1..80), max_page_bytes in 200..900usize) {
        let mut history = History::new(40);
        for (number, is_ended) in has_ended.iter().enumerate() {
            let Attempt { task, attempt: attempt_number } = attempt(number, 1);
            history.record_start(SeatPeriod {
                licence: "calib".into(), team: "archive".into(), task, attempt: attempt_number,
                seats: 1, from_ms: number as u64, to_ms: None,
            });
            if *is_ended {
                history.record_end(&attempt(number, 1), number as u64 + 5);
            }
        }
        let open_count = has_ended.iter().filter(|is_ended| !**is_ended).count();
        prop_assert!(history.len() <= 40.max(open_count + 1));
        let pages = history.pages(max_page_bytes);
        prop_assert!(pages.iter().all(|page| page.len() <= max_page_bytes));
        let restored = History::restore(40, pages.iter().map(String::as_str));
        prop_assert!(restored.periods().eq(history.periods()));
    }
}

fn grant(claim: u64, attempt: u64) -> Grant {
    Grant {
        licence: "calib".into(),
        seats: 1,
        task: "run-000001/0".into(),
        attempt,
        claim,
        expires_ms: 2000,
    }
}

#[test]
fn grant_with_any_byte_changed_is_refused() {
    let keys = Keys::new(b"secret", None);
    let sealed = keys.seal(&grant(5, 1));
    assert_eq!(keys.open(&sealed), Ok(grant(5, 1)));
    for index in 0..sealed.len() {
        for flip in [1u8, 0x20, 0x80] {
            let mut bytes = sealed.clone().into_bytes();
            bytes[index] ^= flip;
            if let Ok(text) = String::from_utf8(bytes) {
                assert!(keys.open(&text).is_err(), "{text}");
            }
        }
    }
}

#[test]
fn grants_are_accepted_once_and_only_from_the_latest_leader() {
    let old = Keys::new(b"old", None);
    let new = Keys::new(b"new", Some(b"old"));
    let newest = Keys::new(b"newest", Some(b"new"));
    let mut verifier = GrantVerifier::default();
    let first = old.seal(&grant(5, 1));
    assert_eq!(verifier.accept(&new, &first, 1000), Ok(grant(5, 1)));
    assert_eq!(verifier.accept(&new, &first, 1001), Err(Refusal::Replayed));
    assert_eq!(verifier.accept(&newest, &first, 1001), Err(Refusal::Forged));
    let later = new.seal(&grant(6, 2));
    assert_eq!(verifier.accept(&newest, &later, 1002), Ok(grant(6, 2)));
    let outdated = new.seal(&grant(5, 3));
    assert_eq!(
        verifier.accept(&newest, &outdated, 1003),
        Err(Refusal::Outdated)
    );
    let expired = new.seal(&grant(6, 4));
    assert_eq!(
        verifier.accept(&newest, &expired, 2000),
        Err(Refusal::Expired)
    );
    assert_eq!(
        verifier.accept(&newest, "nonsense", 1000),
        Err(Refusal::Malformed)
    );
    let counted = [
        (Refusal::Malformed, 1),
        (Refusal::Forged, 1),
        (Refusal::Expired, 1),
        (Refusal::Replayed, 1),
        (Refusal::Outdated, 1),
    ];
    assert_eq!(verifier.refused, BTreeMap::from(counted));
}
