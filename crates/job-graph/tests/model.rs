//! Compares the graph with a reference model over random inputs.

mod reference;

use std::time::Duration;

use kiteyard_job_graph::{Input, JobFacts, JobGraph, Outcome, Output, TerminalState};
use proptest::prelude::*;
use reference::{Id, ReferenceModel, sorted};

const JOBS: Id = 9;

fn expected() -> impl Strategy<Value = Duration> {
    (0..40u64).prop_map(Duration::from_millis)
}

fn facts(needs: Vec<Id>) -> impl Strategy<Value = JobFacts<Id>> {
    let deadline = prop::option::of(0..200u64);
    (0..4u8, 0..100u64, deadline, expected()).prop_map(
        move |(priority, accepted_ms, deadline_ms, expected)| JobFacts {
            needs: needs.clone(),
            priority,
            accepted_ms,
            deadline_ms,
            expected,
        },
    )
}

/// Generates the addition of a job that needs some of the ids below `limit(id)`.
fn added(limit: fn(Id) -> Id) -> impl Strategy<Value = Input<Id>> {
    let with_needs = move |id: Id| {
        let need = any::<prop::sample::Index>();
        let needs = prop::collection::vec(need, 0..4).prop_map(move |picks| {
            let limit = usize::from(limit(id));
            let picks = picks.iter().filter(|_| limit > 0);
            picks.map(|pick| pick.index(limit) as Id).collect()
        });
        needs
            .prop_flat_map(facts)
            .prop_map(move |facts| Input::Added { id, facts })
    };
    (0..JOBS).prop_flat_map(with_needs)
}

fn input(limit: fn(Id) -> Id) -> impl Strategy<Value = Input<Id>> {
    let outcome = prop_oneof![4 => Just(Outcome::Done), 1 => Just(Outcome::Cancelled)];
    let terminal_state = (outcome, prop::option::of(0..200u64));
    let terminal_state =
        terminal_state.prop_map(|(outcome, at_ms)| TerminalState { outcome, at_ms });
    prop_oneof![
        8 => added(limit),
        1 => (0..JOBS).prop_map(|id| Input::Removed { id }),
        3 => (0..JOBS, terminal_state).prop_map(|(id, terminal_state)| Input::Ended { id, terminal_state }),
        1 => (0..JOBS, expected()).prop_map(|(id, expected)| Input::Expected { id, expected }),
    ]
}

fn assert_same_state(graph: &JobGraph<Id>, model: &ReferenceModel) {
    let unread_jobs = graph.unread_jobs().copied();
    assert!(unread_jobs.eq(model.unread_jobs()));
    let needed_jobs = model.needed_jobs();
    for id in 0..JOBS {
        assert_eq!(graph.status(&id), model.status(id), "status of {id}");
        assert_eq!(graph.has_dependents(&id), needed_jobs.contains(&id));
    }
}

fn assert_same_urgencies(graph: &JobGraph<Id>, model: &ReferenceModel) {
    for id in 0..JOBS {
        assert_eq!(graph.urgency(&id), model.urgency(id), "urgency of {id}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(49),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Jobs need lower ids, and sometimes themselves; they are added in any order.
    #[test]
    fn graph_agrees_with_reference_model(
        inputs in prop::collection::vec(input(|id| id + u8::from(id % 4 == 3)), 1..60)
    ) {
        let mut graph = JobGraph::new();
        let mut model = ReferenceModel::default();
        for input in inputs {
            let expected = model.step(&input);
            prop_assert_eq!(sorted(graph.step(input.clone())), expected, "after {:?}", input);
            assert_same_state(&graph, &model);
            assert_same_urgencies(&graph, &model);
        }
    }

    /// The model has no urgencies for cycles; everything else agrees, and every step terminates.
    #[test]
    fn cycles_terminate(inputs in prop::collection::vec(input(|_| JOBS), 1..60)) {
        let mut graph = JobGraph::new();
        let mut model = ReferenceModel::default();
        for input in inputs {
            let outputs = graph.step(input.clone());
            model.step_without_urgencies(&input);
            assert_same_state(&graph, &model);
            let urgencies = outputs.iter().filter(|output| matches!(output, Output::Urgency { .. }));
            prop_assert!(urgencies.count() <= model.active.len());
        }
        for id in 0..JOBS {
            graph.step(Input::Removed { id });
        }
        prop_assert_eq!(graph.unread_jobs().count(), 0);
    }
}
