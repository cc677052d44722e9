//! Unsafe variants of the core and its surroundings, each of which a rule must catch.

/// Ways to make a core unsafe, all at its edges.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sabotage {
    None,
    NoWorkerLease,
    NoTeamLimit,
    BlindForPlaces,
    /// All jobs look as if they had the lowest priority.
    BlindForPriorities,
    DeafForCancellations,
    ForgetEnds,
    BelieveRunning,
    UnprovenAnswers,
    VacatesEarly,
    MoreSeats,
    /// Writes no longer depend on the generation.
    NoGeneration,
    /// What a node can't read is as if it were not there.
    UnreadableMeansAbsent,
    /// The generation moves though an old process runs that knows nothing of it.
    Majority,
    /// A node that was started again from an old build still counts as the new one.
    SoakGoesOn,
    /// Workers of a zone that is stored as apart are answered all the same.
    AnswersApart,
    /// A next leader does not see which machines are being emptied.
    ForgetsDrains,
    /// Questions about the first jobs are left without an answer.
    PassesOver,
    /// Results are written whatever is stored of them.
    ResultsByKeyAlone,
    /// A claim looks at the leader key alone.
    ClaimsByKeyAlone,
    /// A renewal counts from its answer, however late that is.
    BelievesLateRenewals,
    /// A command that was not answered is taken to be void at once.
    BelievesVoid,
    /// A report that comes again is taken for a new one.
    BelievesCopies,
    /// From a time on, machines without tasks report to nobody.
    HidesRoom,
    /// An old report shows the new leader's token.
    CopiesShowNewToken,
    /// A worker carries out commands under any token.
    OldTokensCount,
    /// A machine that hung is not stopped.
    SparesHung,
    /// A node that does not lead answers reports as if it did.
    FollowersRenew,
    /// A next leader sees no jobs in the assignment index.
    RosterWithoutJobs,
    /// The leader's term grows with a renewal and the claim, whatever its copy holds.
    RenewalAlone,
    /// A job is accepted whatever is stored of it.
    AcceptsWhateverIsStored,
    /// A job's end is stored whether it is over already or not.
    EndsWhateverIsStored,
    /// A leader that is told of a job's end takes it for a new job.
    EndsLookNew,
    /// A stored end is read as done, also where it says cancelled or there is none.
    EndsReadAsDone,
    /// Answers about a job don't say that one that it needs is cancelled.
    IgnoresCancelledNeeds,
    /// Ends are stored without the time from which those that wait for them count.
    ForgetsEndTimes,
}
