//! Compares every short sequence of observations of one zone with a reference model.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kiteyard_recovery::reconciliation::{Input, Reconciliation, Stage, WaitLimits, ZoneCounts};

const S: Duration = Duration::from_secs(1);
const LIMITS: WaitLimits = WaitLimits {
    max: Duration::from_secs(5),
    quiet: Duration::from_secs(2),
};
const STORED: usize = 2;

/// One observation: number of silent machines, and whether the zone is unreachable.
type Observation = (usize, bool);

fn observations() -> Vec<Observation> {
    (0..=STORED)
        .flat_map(|silent| [(silent, false), (silent, true)])
        .collect()
}

/// Reference model: evaluates the whole history for each query.
fn expects_wait(history: &[Observation]) -> bool {
    let has_ended = |last: usize| {
        let (silent, unreachable) = history[last];
        let heard_at = (0..=last).rev().find(|at| match at {
            0 => history[0].0 < STORED,
            at => history[*at].0 < history[at - 1].0,
        });
        let quiet = heard_at.is_some_and(|at| last - at >= 2);
        silent == 0 || unreachable || last >= 5 || quiet
    };
    !(0..history.len()).any(has_ended)
}

#[test]
fn zone_wait_matches_reference_model() {
    let mut histories: Vec<Vec<Observation>> = vec![Vec::new()];
    let (mut waited, mut not_waited) = (0, 0);
    for _ in 0..6 {
        let longer = histories.iter().flat_map(|history| {
            observations()
                .into_iter()
                .map(|observation| [history.as_slice(), &[observation]].concat())
        });
        histories = longer.collect();
        for history in &histories {
            let mut reconciliation = Reconciliation::new(LIMITS, Duration::ZERO);
            for (at, (silent, unreachable)) in history.iter().enumerate() {
                let count = ZoneCounts {
                    stored: STORED,
                    silent: *silent,
                    unreachable: *unreachable,
                };
                let zone: Arc<str> = "a".into();
                reconciliation.step(
                    S * at as u32,
                    Input::Counts(BTreeMap::from([(zone, count)])),
                );
            }
            assert_eq!(
                reconciliation.is_awaited("a"),
                expects_wait(history),
                "{history:?}"
            );
            assert_eq!(
                reconciliation.is_in_progress(),
                expects_wait(history),
                "{history:?}"
            );
            match expects_wait(history) {
                true => waited += 1,
                false => not_waited += 1,
            }
        }
    }
    assert!(waited > 10 && not_waited > 10, "{waited} {not_waited}");
}

#[test]
fn silent_zone_does_not_delay_others() {
    let mut reconciliation = Reconciliation::new(LIMITS, S);
    assert!(reconciliation.is_awaited("a"), "no counts received yet");
    let counts_of = |silent| ZoneCounts {
        stored: 3,
        silent,
        unreachable: false,
    };
    let counts = BTreeMap::from([("a".into(), counts_of(3)), ("b".into(), counts_of(0))]);
    reconciliation.step(S, Input::Counts(counts));
    assert!(reconciliation.is_awaited("a") && !reconciliation.is_awaited("b"));
    assert!(
        !reconciliation.is_awaited("c"),
        "no stored machines in the zone"
    );
    let zones: Vec<_> = reconciliation
        .zones()
        .map(|(_, stage, heard, stored)| (stage, heard, stored))
        .collect();
    assert_eq!(zones, [(Stage::Waiting, 0, 3), (Stage::Reconciled, 3, 3)]);
}

#[test]
fn stragglers_are_not_waited_for() {
    let is_awaited_with = |silent| {
        let mut reconciliation = Reconciliation::new(LIMITS, S);
        let count = ZoneCounts {
            stored: 40,
            silent,
            unreachable: false,
        };
        reconciliation.step(S, Input::Counts(BTreeMap::from([("a".into(), count)])));
        reconciliation.is_awaited("a")
    };
    assert!(is_awaited_with(5) && !is_awaited_with(4));
}

#[test]
fn wait_for_the_cloud_list_is_bounded() {
    let mut reconciliation = Reconciliation::new(LIMITS, S);
    assert!(reconciliation.is_list_pending(S * 2));
    assert!(
        !reconciliation.is_list_pending(S * 6),
        "an unavailable cloud is not waited for indefinitely"
    );
    assert_eq!(reconciliation.step(S * 3, Input::Listed).len(), 1);
    assert!(!reconciliation.is_list_pending(S * 3));
    assert!(reconciliation.step(S * 4, Input::Listed).is_empty());
}
