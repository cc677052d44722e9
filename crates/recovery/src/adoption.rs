//! Decision on a task that a worker reports and that this leader did not start.

/// The state of the task in the cluster state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownState {
    /// No active job contains it: it has ended, or never existed.
    Unknown,
    /// It is waiting to be started.
    Waiting,
    /// An attempt with a lower number is placed on a machine.
    OlderAttemptPlaced,
    /// An attempt with a higher number is placed on a machine.
    NewerAttemptPlaced,
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
    /// Adopt it in place of the older attempt, which must be gone, and stop that one.
    Replace,
    /// Stop it: it must not run there.
    Stop,
    /// Store its result, whichever attempt produced it; the worker forgets it once stored.
    Finish,
    /// Let the worker forget it.
    Forget,
}

/// Decides on a reported task. At most one attempt of a task is adopted at a time: the one with the
/// highest number, since it was started once all earlier ones were gone. All other live attempts
/// are stopped: orphans, and older attempts of a placed task. The result of an active task always
/// counts.
pub fn decide_adoption(known_state: KnownState, reported: Reported) -> AdoptionDecision {
    match (reported, known_state) {
        (Reported::Alive, KnownState::Waiting) => AdoptionDecision::Adopt,
        (Reported::Alive, KnownState::OlderAttemptPlaced) => AdoptionDecision::Replace,
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
        for known_state in [
            Unknown,
            Waiting,
            OlderAttemptPlaced,
            NewerAttemptPlaced,
            Done,
        ] {
            for reported in [Alive, Completed, Ended] {
                let decision = decide_adoption(known_state, reported);
                let case = format!("{known_state:?} {reported:?} {decision:?}");
                // No task has two attempts, and no attempt of an ended job is adopted.
                assert_eq!(
                    decision == AdoptionDecision::Adopt,
                    (known_state, reported) == (Waiting, Alive)
                );
                // An attempt takes the slot of an older one alone.
                assert_eq!(
                    decision == AdoptionDecision::Replace,
                    (known_state, reported) == (OlderAttemptPlaced, Alive)
                );
                // A live attempt is either adopted or stopped.
                let is_adopted_or_stopped = matches!(
                    decision,
                    AdoptionDecision::Adopt | AdoptionDecision::Replace | AdoptionDecision::Stop
                );
                assert_eq!(is_adopted_or_stopped, reported == Alive, "{case}");
                // No result of an active task is lost.
                let is_active = matches!(
                    known_state,
                    Waiting | OlderAttemptPlaced | NewerAttemptPlaced
                );
                let must_finish = is_active && reported == Completed;
                assert_eq!(decision == AdoptionDecision::Finish, must_finish, "{case}");
            }
        }
    }
}
