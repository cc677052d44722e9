//! Outputs and statuses for small graphs, and output counts for large ones.

use std::time::Duration;

use kiteyard_job_graph::{
    Input, JobFacts, JobGraph, Outcome, Output, Status, TerminalState, Urgency,
};

const LARGE: u32 = 20_000;

struct Graph(JobGraph<u32>);

impl Graph {
    /// Builds a graph of jobs of priority 1 that take a second and were accepted at 100 ms.
    fn of(jobs: &[(u32, &[u32])]) -> Graph {
        let mut graph = Graph(JobGraph::new());
        for (id, needs) in jobs {
            graph.add(*id, needs, 1, None);
        }
        graph
    }

    fn add(
        &mut self,
        id: u32,
        needs: &[u32],
        priority: u8,
        deadline_ms: Option<u64>,
    ) -> Vec<Output<u32>> {
        let facts = JobFacts {
            needs: needs.to_vec(),
            priority,
            accepted_ms: 100,
            deadline_ms,
            expected: Duration::from_secs(1),
        };
        self.0.step(Input::Added { id, facts })
    }

    fn end_job(&mut self, id: u32, outcome: Outcome, at_ms: Option<u64>) -> Vec<Output<u32>> {
        let terminal_state = TerminalState { outcome, at_ms };
        self.0.step(Input::Ended { id, terminal_state })
    }

    fn done(&mut self, id: u32, at_ms: u64) -> Vec<Output<u32>> {
        self.end_job(id, Outcome::Done, Some(at_ms))
    }

    fn cancelled(&mut self, id: u32) -> Vec<Output<u32>> {
        self.end_job(id, Outcome::Cancelled, None)
    }

    fn assert_waiting_on(&self, id: u32, on: &[u32]) {
        assert_eq!(self.0.status(&id), Status::Waiting { on: on.to_vec() });
    }

    fn assert_unread_jobs(&self, id: u32, unread_jobs: &[u32]) {
        assert_eq!(
            self.0.status(&id),
            Status::Unknown {
                unread_jobs: unread_jobs.to_vec()
            }
        );
    }
}

fn ready(id: u32, since_ms: u64) -> Output<u32> {
    Output::Ready { id, since_ms }
}

fn urgency(priority: u8, latest_finish_ms: Option<u64>) -> Urgency {
    Urgency {
        priority,
        latest_finish_ms,
    }
}

#[test]
fn chain_jobs_become_ready_in_order() {
    let mut graph = Graph::of(&[(1, &[]), (2, &[1]), (3, &[2])]);
    assert_eq!(graph.0.status(&1), Status::Ready { since_ms: 100 });
    graph.assert_waiting_on(2, &[1]);
    graph.assert_waiting_on(3, &[2]);
    assert_eq!(graph.done(1, 500), [ready(2, 500)]);
    assert_eq!(graph.done(2, 900), [ready(3, 900)]);
    assert_eq!(graph.0.status(&3), Status::Ready { since_ms: 900 });
    assert_eq!(graph.0.status(&1), Status::NotActive);
}

#[test]
fn fan_out_jobs_become_ready_together_and_the_join_after_the_last() {
    let mut graph = Graph::of(&[(1, &[]), (2, &[1]), (3, &[1]), (4, &[2, 3, 2])]);
    assert_eq!(graph.done(1, 500), [ready(2, 500), ready(3, 500)]);
    assert_eq!(graph.done(3, 800), []);
    graph.assert_waiting_on(4, &[2]);
    assert_eq!(graph.done(2, 700), [ready(4, 800)]);
}

#[test]
fn job_with_ended_needs_is_ready_once_their_terminal_states_are_read() {
    let mut graph = Graph::of(&[]);
    assert!(
        graph
            .add(3, &[1, 2], 1, None)
            .starts_with(&[Output::Lookup { id: 1 }, Output::Lookup { id: 2 }])
    );
    graph.assert_unread_jobs(3, &[1, 2]);
    assert_eq!(graph.done(1, 50), []);
    graph.assert_unread_jobs(3, &[2]);
    assert_eq!(graph.end_job(2, Outcome::Done, None), [ready(3, 100)]);
    assert!(graph.add(4, &[1], 1, None).contains(&ready(4, 100)));
}

#[test]
fn removed_job_is_not_treated_as_done() {
    let mut graph = Graph::of(&[(1, &[]), (2, &[1]), (3, &[2])]);
    assert_eq!(
        graph.0.step(Input::Removed { id: 1 }),
        [Output::Lookup { id: 1 }]
    );
    graph.assert_unread_jobs(2, &[1]);
    graph.assert_unread_jobs(3, &[1]);
    assert_eq!(graph.0.unread_jobs().collect::<Vec<_>>(), [&1]);
    assert_eq!(graph.done(1, 400), [ready(2, 400)]);
    assert_eq!(graph.cancelled(1), [], "a terminal state never changes");
    assert_eq!(graph.0.status(&2), Status::Ready { since_ms: 400 });
}

#[test]
fn cancellation_propagates_to_dependents_from_any_stage() {
    for stage in 1..=3 {
        let mut graph = Graph::of(&[(1, &[]), (2, &[1]), (3, &[2])]);
        for before in 1..stage {
            graph.done(before, 500);
        }
        let expected = (stage + 1..=3).map(|id| Output::Cancelled { id });
        assert_eq!(graph.cancelled(stage), expected.collect::<Vec<_>>());
        for after in stage + 1..=3 {
            assert_eq!(graph.0.status(&after), Status::Cancelled);
        }
        assert_eq!(graph.0.has_dependents(&stage), stage < 3);
    }
}

#[test]
fn known_cancellation_takes_precedence_over_unread_jobs() {
    let mut graph = Graph::of(&[(3, &[1, 2]), (4, &[3])]);
    graph.assert_unread_jobs(4, &[1, 2]);
    graph.cancelled(2);
    assert_eq!(graph.0.status(&4), Status::Cancelled);
    graph.0.step(Input::Removed { id: 3 });
    assert_eq!(
        graph.0.status(&4),
        Status::Cancelled,
        "a known cancellation is kept"
    );
}

#[test]
fn terminal_state_is_dropped_with_its_last_dependent() {
    let mut graph = Graph::of(&[(1, &[]), (2, &[1]), (3, &[1])]);
    graph.done(1, 500);
    graph.done(2, 600);
    assert!(graph.0.has_dependents(&1));
    graph.done(3, 600);
    assert!(!graph.0.has_dependents(&1));
    graph.add(4, &[1], 1, None);
    graph.assert_unread_jobs(4, &[1]);
    graph.0.reset();
    assert_eq!(graph.0.status(&4), Status::NotActive);
    assert_eq!(graph.0.unread_jobs().count(), 0);
}

#[test]
fn urgent_job_raises_earlier_jobs_while_it_needs_them() {
    let mut graph = Graph::of(&[(1, &[]), (2, &[1]), (3, &[1])]);
    let outputs = graph.add(4, &[2], 9, None);
    for id in [1, 2, 4] {
        let urgency = urgency(9, None);
        assert!(
            outputs.contains(&Output::Urgency { id, urgency }),
            "{outputs:?}"
        );
    }
    assert_eq!(graph.0.urgency(&3), Some(urgency(1, None)));
    graph.cancelled(4);
    assert_eq!(graph.0.urgency(&1), Some(urgency(1, None)));
    assert_eq!(graph.0.urgency(&4), None);
}

#[test]
fn cancelled_job_does_not_raise_its_needs() {
    let mut graph = Graph::of(&[(1, &[]), (2, &[])]);
    graph.add(3, &[1, 2], 9, Some(5_000));
    assert_eq!(graph.0.urgency(&1), Some(urgency(9, Some(4_000))));
    graph.cancelled(2);
    assert_eq!(graph.0.urgency(&1), Some(urgency(1, None)));
}

#[test]
fn deadline_propagates_back_over_expected_times() {
    let mut graph = Graph::of(&[(1, &[]), (2, &[1]), (3, &[1])]);
    graph.add(4, &[2, 3], 1, Some(10_000));
    assert_eq!(graph.0.urgency(&2), Some(urgency(1, Some(9_000))));
    assert_eq!(graph.0.urgency(&1), Some(urgency(1, Some(8_000))));
    let expected = Duration::from_secs(30);
    graph.0.step(Input::Expected { id: 3, expected });
    assert_eq!(graph.0.urgency(&1), Some(urgency(1, Some(0))));
}

#[test]
fn isolated_job_has_no_outputs() {
    assert_eq!(Graph::of(&[]).add(1, &[], 7, Some(900)), []);
}

#[test]
fn cycle_waits_indefinitely_and_propagates_no_deadline() {
    let mut graph = Graph::of(&[(1, &[1])]);
    graph.assert_waiting_on(1, &[1]);
    graph.add(2, &[4], 1, Some(9_000));
    graph.add(3, &[2], 1, None);
    graph.add(4, &[3], 1, None);
    graph.assert_waiting_on(2, &[4]);
    assert_eq!(graph.0.urgency(&4), Some(urgency(1, Some(8_000))));
    assert_eq!(graph.0.urgency(&3), Some(urgency(1, None)));
    graph.cancelled(3);
    assert_eq!(graph.0.status(&2), Status::Cancelled);
}

#[test]
fn long_chain_added_in_either_order() {
    let needs = |id: u32| if id == 0 { vec![] } else { vec![id - 1] };
    for reversed in [false, true] {
        let mut graph = Graph::of(&[]);
        for position in 0..LARGE {
            let id = if reversed {
                LARGE - 1 - position
            } else {
                position
            };
            graph.add(id, &needs(id), 1, None);
        }
        let outputs = graph.add(LARGE, &[LARGE - 1], 9, Some(u64::from(LARGE) * 1_000));
        assert_eq!(outputs.len(), LARGE as usize + 1);
        assert_eq!(graph.0.urgency(&0), Some(urgency(9, Some(0))));
        graph.assert_waiting_on(LARGE, &[LARGE - 1]);
        assert_eq!(graph.0.step(Input::Removed { id: 0 }).len(), 1);
        graph.assert_unread_jobs(LARGE, &[0]);
        let cancelled = graph.cancelled(0).into_iter();
        let cancelled = cancelled.filter(|output| matches!(output, Output::Cancelled { .. }));
        assert_eq!(cancelled.count(), LARGE as usize);
    }
}

#[test]
fn large_star_after_dependents_are_cancelled() {
    let mut graph = Graph::of(&[(0, &[])]);
    for id in 1..=LARGE {
        graph.add(id, &[0], 9, Some(u64::from(id) * 10_000));
    }
    assert_eq!(graph.0.urgency(&0), Some(urgency(9, Some(9_000))));
    for id in 1..LARGE / 2 {
        graph.cancelled(id);
    }
    let latest_finish_ms = u64::from(LARGE / 2) * 10_000 - 1_000;
    assert_eq!(
        graph.0.urgency(&0),
        Some(urgency(9, Some(latest_finish_ms)))
    );
    let outputs = graph.done(0, 700);
    assert_eq!(outputs.len(), LARGE as usize / 2 + 1);
}

/// Guards against exponential work: a chain of n diamonds has 2^n paths.
#[test]
fn chain_of_diamonds_has_one_output_per_job() {
    let mut graph = Graph::of(&[(0, &[])]);
    for diamond in 0..LARGE / 10 {
        let start = diamond * 3;
        // The last job of each diamond comes first, so neither ids nor input order give the levels.
        graph.add(start + 3, &[start + 1, start + 2], 1, None);
        graph.add(start + 1, &[start], 1, None);
        graph.add(start + 2, &[start], 1, None);
    }
    let last = LARGE / 10 * 3;
    let outputs = graph.add(last + 1, &[last], 9, Some(1_000_000_000));
    assert_eq!(outputs.len(), last as usize + 2);
    assert_eq!(graph.cancelled(0).len(), 2 * last as usize + 1);
}
