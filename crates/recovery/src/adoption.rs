//! What becomes of a task that a worker reports and that this leader did not start.

/// What the cluster state says of the task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownState {
    /// No active job lists it: it is over, or never was.
    Unknown,
    /// It waits to be started.
    Waiting,
    /// Another attempt of it has a machine.
    Elsewhere,
    /// Its result is known.
    Done,
}

/// What the worker says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reported {
    /// It is on the machine, or will be.
    Alive,
    /// It completed.
    Completed,
    /// It ended otherwise.
    Ended,
}

/// What the leader does with a reported task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptionDecision {
    /// It is the task's attempt from now on.
    Adopt,
    /// It has no business there.
    Stop,
    /// Its result counts, wherever it was reached, and is forgotten by the worker once stored.
    Finish,
    /// It is of no more use.
    Forget,
}

/// One attempt is adopted where the task waits, so no task has two. What is alive beside
/// that is stopped: an orphan, or one of two reporters of one task. A result always counts.
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

    /// The rules, each said by itself.
    #[test]
    fn every_case_keeps_the_rules() {
        use {KnownState::*, Reported::*};
        for known_state in [Unknown, Waiting, Elsewhere, Done] {
            for reported in [Alive, Completed, Ended] {
                let decision = decide_adoption(known_state, reported);
                let what = format!("{known_state:?} {reported:?} {decision:?}");
                // Never two attempts of one task, none of a job that is over.
                assert_eq!(
                    decision == AdoptionDecision::Adopt,
                    (known_state, reported) == (Waiting, Alive)
                );
                // What is alive is either ours or stopped.
                let settled = matches!(decision, AdoptionDecision::Adopt | AdoptionDecision::Stop);
                assert_eq!(settled, reported == Alive, "{what}");
                // No result of an active task is lost.
                let wanted = matches!(known_state, Waiting | Elsewhere) && reported == Completed;
                assert_eq!(decision == AdoptionDecision::Finish, wanted, "{what}");
            }
        }
    }
}
