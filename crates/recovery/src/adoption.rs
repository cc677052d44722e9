//! Decision on a task that a worker reports and that this leader did not start.

/// The state of the task in the cluster state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownState {
    /// No active job contains it: it has ended, or never existed.
    Unknown,
    /// It is waiting to be started.
    Waiting,
    /// Another attempt of it is placed on a machine.
    PlacedElsewhere,
    /// Its result is known.
    Done,
}

/// The state of the task as reported by the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reported {
    /// It is on the machine, or is about to start there.
    Alive,
    /// It completed.
    Completed,
    /// It ended without completing.
    Ended,
}

/// The action of the leader for a reported task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptionDecision {
    /// Adopt it as the current attempt of the task.
    Adopt,
    /// Stop it: it must not run there.
    Stop,
    /// Store its result, whichever attempt produced it; the worker forgets it once stored.
    Finish,
    /// Let the worker forget it.
    Forget,
}

/// Decides on a reported task. An attempt is adopted only for a waiting task, so that no task has
/// two attempts. Other live attempts are stopped: orphans, and duplicates of a placed task. The
/// result of an active task always counts.
pub fn decide_adoption(known_state: KnownState, reported: Reported) -> AdoptionDecision {
    match (reported, known_state) {
        (Reported::Alive, KnownState::Waiting) => AdoptionDecision::Adopt,
        (Reported::Alive, _) => AdoptionDecision::Stop,
        (Reported::Completed, KnownState::Unknown | KnownState::Done) => AdoptionDecision::Forget,
        (Reported::Completed, _) => AdoptionDecision::Finish,
        (Reported::Ended, _) => AdoptionDecision::Forget,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Checks each rule independently of the implementation.
    #[test]
    fn every_case_follows_the_rules() {
        use {KnownState::*, Reported::*};
        for known_state in [Unknown, Waiting, PlacedElsewhere, Done] {
            for reported in [Alive, Completed, Ended] {
                let decision = decide_adoption(known_state, reported);
                let case = format!("{known_state:?} {reported:?} {decision:?}");
                // No task has two attempts, and no attempt of an ended job is adopted.
                assert_eq!(
                    decision == AdoptionDecision::Adopt,
                    (known_state, reported) == (Waiting, Alive)
                );
                // A live attempt is either adopted or stopped.
                let is_adopted_or_stopped =
                    matches!(decision, AdoptionDecision::Adopt | AdoptionDecision::Stop);
                assert_eq!(is_adopted_or_stopped, reported == Alive, "{case}");
                // No result of an active task is lost.
                let must_finish =
                    matches!(known_state, Waiting | PlacedElsewhere) && reported == Completed;
                assert_eq!(decision == AdoptionDecision::Finish, must_finish, "{case}");
            }
        }
    }
}
