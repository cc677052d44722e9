//! Unsafe variants of the core and its surroundings, each of which a rule must catch.

/// Defects of a core, all injected at its edges.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sabotage {
    None,
    NoWorkerLease,
    NoTeamLimit,
    BlindForPlaces,
    /// All jobs seem to have the lowest priority.
    BlindForPriorities,
    DeafForCancellations,
    ForgetEnds,
    BelieveRunning,
    UnprovenAnswers,
    VacatesEarly,
    MoreSeats,
    /// Writes do not depend on the generation.
    NoGeneration,
    /// A node treats values that it cannot read as absent.
    UnreadableMeansAbsent,
    /// The generation advances although an old process runs that does not know of it.
    Majority,
    /// A node that was restarted from an old build still counts as the new one.
    SoakGoesOn,
    /// Workers of a zone that is stored as partitioned are still answered.
    AnswersApart,
    /// A new leader does not see which machines are drained.
    ForgetsDrains,
    /// Requests about the first jobs are not answered.
    PassesOver,
    /// Results are written whatever is stored.
    ResultsByKeyAlone,
    /// A claim is conditional on the leader key alone.
    ClaimsByKeyAlone,
    /// A renewal counts from its answer, however late that is.
    BelievesLateRenewals,
    /// An unanswered command is considered void at once.
    BelievesVoid,
    /// A duplicate of a report is accepted as a new report.
    BelievesCopies,
    /// Machines without tasks stop reporting after a while.
    HidesRoom,
    /// An old report carries the new leader's token.
    CopiesShowNewToken,
    /// A worker executes commands under any token.
    OldTokensCount,
    /// A machine that hung does not execute stop commands.
    SparesHung,
    /// A follower answers reports as if it led.
    FollowersRenew,
    /// A new leader sees no jobs in the assignment index.
    RosterWithoutJobs,
    /// A renewal and the claim extend the leader's term, however old the leader's state cache is.
    RenewalAlone,
    /// A job is accepted whatever is stored of it.
    AcceptsWhateverIsStored,
    /// A terminal state is stored whether or not the job already has one.
    EndsWhateverIsStored,
    /// A leader treats the event of a job's end as a new job.
    EndsLookNew,
    /// A stored terminal state is read as done, even if it says cancelled or is missing.
    EndsReadAsDone,
    /// Answers about a job do not say that a dependency is cancelled.
    IgnoresCancelledNeeds,
    /// Terminal states are stored without the time from which dependent jobs count.
    ForgetsEndTimes,
}
