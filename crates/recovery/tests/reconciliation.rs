//! Compares every short sequence of observations of one zone with a reference model.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kiteyard_recovery::reconciliation::{Count, Input, Patience, Reconciliation, Stage};

const S: Duration = Duration::from_secs(1);
const PATIENCE: Patience = Patience {
    most: Duration::from_secs(5),
    quiet: Duration::from_secs(2),
};
const STORED: usize = 2;

/// One observation: number of silent machines, and whether the zone is unreachable.
type Look = (usize, bool);

fn looks() -> Vec<Look> {
    (0..=STORED)
        .flat_map(|silent| [(silent, false), (silent, true)])
        .collect()
}

/// Reference model: evaluates the whole history for each query.
fn waits_for(history: &[Look]) -> bool {
    let over = |upto: usize| {
        let (silent, cut) = history[upto];
        let heard_at = (0..=upto).rev().find(|at| match at {
            0 => history[0].0 < STORED,
            at => history[*at].0 < history[at - 1].0,
        });
        let quiet = heard_at.is_some_and(|at| upto - at >= 2);
        silent == 0 || cut || upto >= 5 || quiet
    };
    !(0..history.len()).any(over)
}

#[test]
fn a_zone_is_waited_for_as_the_plain_model_says() {
    let mut histories: Vec<Vec<Look>> = vec![Vec::new()];
    let (mut waited, mut not) = (0, 0);
    for _ in 0..6 {
        let longer = histories.iter().flat_map(|history| {
            looks()
                .into_iter()
                .map(|look| [history.as_slice(), &[look]].concat())
        });
        histories = longer.collect();
        for history in &histories {
            let mut reconciliation = Reconciliation::new(PATIENCE, Duration::ZERO);
            for (at, (silent, cut)) in history.iter().enumerate() {
                let count = Count {
                    stored: STORED,
                    silent: *silent,
                    cut: *cut,
                };
                let zone: Arc<str> = "a".into();
                reconciliation.step(S * at as u32, Input::Heard(BTreeMap::from([(zone, count)])));
            }
            assert_eq!(
                reconciliation.is_awaited("a"),
                waits_for(history),
                "{history:?}"
            );
            assert_eq!(
                reconciliation.is_in_progress(),
                waits_for(history),
                "{history:?}"
            );
            match waits_for(history) {
                true => waited += 1,
                false => not += 1,
            }
        }
    }
    assert!(waited > 10 && not > 10, "{waited} {not}");
}

#[test]
fn one_zone_that_is_silent_holds_up_no_other() {
    let mut reconciliation = Reconciliation::new(PATIENCE, S);
    assert!(reconciliation.is_awaited("a"), "no counts received yet");
    let heard = |silent| Count {
        stored: 3,
        silent,
        cut: false,
    };
    let counts = BTreeMap::from([("a".into(), heard(3)), ("b".into(), heard(0))]);
    reconciliation.step(S, Input::Heard(counts));
    assert!(reconciliation.is_awaited("a") && !reconciliation.is_awaited("b"));
    assert!(
        !reconciliation.is_awaited("c"),
        "no stored machines in the zone"
    );
    let zones: Vec<_> = reconciliation
        .zones()
        .map(|(_, stage, heard, of)| (stage, heard, of))
        .collect();
    assert_eq!(zones, [(Stage::Hearing, 0, 3), (Stage::Reconciled, 3, 3)]);
}

#[test]
fn nobody_waits_for_the_last_few() {
    let hears = |silent| {
        let mut reconciliation = Reconciliation::new(PATIENCE, S);
        let count = Count {
            stored: 40,
            silent,
            cut: false,
        };
        reconciliation.step(S, Input::Heard(BTreeMap::from([("a".into(), count)])));
        reconciliation.is_awaited("a")
    };
    assert!(hears(5) && !hears(4));
}

#[test]
fn the_clouds_list_is_waited_for_within_bounds() {
    let mut reconciliation = Reconciliation::new(PATIENCE, S);
    assert!(reconciliation.unlisted(S * 2));
    assert!(
        !reconciliation.unlisted(S * 6),
        "an unavailable cloud is not waited for indefinitely"
    );
    assert_eq!(reconciliation.step(S * 3, Input::Listed).len(), 1);
    assert!(!reconciliation.unlisted(S * 3));
    assert!(reconciliation.step(S * 4, Input::Listed).is_empty());
}
