//! Unsafe variants of the core and its surroundings, each of which a rule must catch.

/// Defects of a core, all injected at its edges.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Defect {
    None,
    IgnoresWorkerLeases,
    IgnoresTeamLimits,
    IgnoresPlacement,
    /// All jobs seem to have the lowest priority.
    IgnoresPriorities,
    MissesCancellations,
    LosesTerminalStates,
    RunningReportedDone,
    UnverifiedAnswers,
    DeletesClaimEarly,
    MoreSeats,
    /// Writes do not depend on the generation.
    IgnoresGeneration,
    /// A node treats values that it cannot read as absent.
    UnreadableMeansAbsent,
    /// The generation advances although an old process runs that does not know of it.
    SwitchesByMajority,
    /// A node that was restarted from an old build still counts as the new one.
    SoakNotRestarted,
    /// Workers of a zone that is stored as partitioned are still answered.
    AnswersPartitionedZones,
    /// A new leader does not see which machines are drained.
    ForgetsDrains,
    /// Requests about the first jobs are not answered.
    IgnoresRequests,
    /// Results are written whatever is stored.
    UnconditionalResults,
    /// A claim is conditional on the leader key alone.
    ClaimChecksKeyAlone,
    /// A renewal counts from its answer, however late that is.
    CountsRenewalFromAnswer,
    /// An unanswered command is considered void at once.
    AssumesUnansweredVoid,
    /// A duplicate of a report is accepted as a new report.
    AcceptsDuplicateReports,
    /// Machines without tasks stop reporting after a while.
    IdleMachinesSilent,
    /// An old report carries the new leader's token.
    OldReportsCarryNewToken,
    /// A leader does not record which reports it answered before its failover's reads ended.
    FailoverAnswersUnrecorded,
    /// A leader disregards a second, newer attempt of a task that an old report listed.
    SecondAttemptsUnreported,
    /// A worker executes commands under any token.
    AcceptsOldTokens,
    /// A worker executes commands under any token of the newest claim that it has seen.
    AcceptsEarlierTokensOfLeader,
    /// A machine that hung does not execute stop commands.
    HungMachinesIgnoreStop,
    /// A follower answers reports as if it led.
    FollowersRenew,
    /// A new leader sees no jobs in the assignment index.
    AssignmentsWithoutJobs,
    /// A renewal and the claim extend the leader's term, however old the leader's state cache is.
    RenewalExtendsTerm,
    /// A job is accepted whatever is stored of it.
    UnconditionalAcceptance,
    /// A terminal state is stored whether or not the job already has one.
    UnconditionalTerminalStates,
    /// A leader treats the event of a job's end as a new job.
    EndedJobsLookNew,
    /// A stored terminal state is read as done, even if it says cancelled or is missing.
    TerminalStatesReadAsDone,
    /// Answers about a job do not say that a dependency is cancelled.
    IgnoresCancelledDependencies,
    /// Terminal states are stored without the time from which dependent jobs count.
    LosesTerminalTimes,
}
