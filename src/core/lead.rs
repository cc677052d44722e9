//! Leadership: a key under a short lease in the state service.
//!
//! The leader counts its lease from when it asked for the last good renewal, so
//! it stops before the service can end the lease. Its token is made of the
//! revision of its claim, and every write of a leader depends on that claim.

use std::{collections::BTreeMap, time::Duration};

use tracing::info;

use super::{
    BACK_OFF, Node, Purpose, STATE_TIMEOUT,
    job::JobId,
    leader::{Found, Leader},
    mirror::LeaderRecord,
    results::Results,
    roster::ShardRecord,
    store::{
        APART, CLAIMS, Entry, GENERATION, LEADER, PROGRESS, ROSTER, SETTLED, StateReply,
        StateRequest, delete, put, put_leased, when,
    },
};

#[derive(Debug, Default)]
pub struct Lead {
    lease: Option<u64>,
    /// Revision of the claim while it stands.
    claim: Option<u64>,
    /// The last good renewal was asked for then.
    renewed: Duration,
    /// Until then this node may act as the leader: a term after the last renewal that was
    /// followed by a proof of the claim and of the copy. Never before the first proof.
    valid_until: Duration,
    next_renewal: Duration,
    renewing: bool,
    claiming: bool,
    retry: Duration,
    /// This process has asked for a vacant leadership, so a leader key of this
    /// node need not be that of the process before it.
    asked: bool,
    /// The claim is known to have stood at this time.
    proven: Duration,
    /// When that was asked for last.
    proof_asked: Duration,
    /// The former leader has stopped acting by then.
    former_stopped: Duration,
    /// The leader key that this node saw last, and since when.
    seen: Option<Seen>,
    /// A note that this claim is settled is under way, or was tried at this time.
    settling: bool,
    settled_at: Duration,
    /// A claim that resigned for this node.
    resigned: Option<u64>,
    /// A claim that was given away to whoever comes first: its key is still to go,
    /// since when, and whether that was asked for.
    vacating: Option<Vacating>,
    taking: Option<TakeOver>,
}

#[derive(Debug)]
struct Vacating {
    claim: u64,
    since: Duration,
    asking: bool,
    retry: Duration,
}

#[derive(Debug)]
struct Seen {
    version: u64,
    since: Duration,
    /// Its owner took the place of one that may act for another term.
    superseded: bool,
}

/// What is known of the leader before a claim, and so of when it has stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Former {
    /// Its lease has ended, and its term before that.
    Ended,
    /// It was the process before this one.
    Predecessor,
    /// It said so.
    Resigned,
    /// It may act until the end of its term: it last renewed it before this claim.
    Superseded,
}

impl Lead {
    pub fn acts_until(&self) -> Duration {
        self.valid_until
    }

    /// By then whoever led before this claim has stopped.
    pub fn former_stopped_at(&self) -> Duration {
        self.former_stopped
    }

    pub fn token(&self) -> Option<u64> {
        self.claim.map(|claim| claim << 16)
    }
}

/// What a new leader reads before it acts.
#[derive(Debug, Default)]
struct TakeOver {
    started: bool,
    progress: Option<BTreeMap<JobId, Results>>,
    roster: Option<Vec<(u32, ShardRecord, u64)>>,
    progress_so_far: BTreeMap<JobId, Results>,
    roster_so_far: Vec<(u32, ShardRecord, u64)>,
    retry: Duration,
    in_flight: u32,
    /// It was not read at the first try.
    again: bool,
}

/// The first try of a take-over is given up after this time: what it reads changes nothing,
/// and an answer that was lost must not hold everything up. Later ones take the usual time.
const FIRST_TRY: Duration = Duration::from_millis(500);

impl TakeOver {
    /// Takes a shard of the roster in; none where it can't be read.
    fn take_shard(&mut self, entry: &Entry) -> Option<()> {
        let shard = entry.key.strip_prefix(ROSTER)?.parse().ok()?;
        let record = ShardRecord::parse(entry.value.get())?;
        self.roster_so_far.push((shard, record, entry.version));
        Some(())
    }

    /// The same for done tasks of an array.
    fn take_progress(&mut self, entry: &Entry) -> Option<()> {
        let (id, chunk) = entry.key.strip_prefix(PROGRESS)?.split_once('/')?;
        let (id, chunk) = (JobId::parse(id)?, chunk.parse().ok()?);
        let text: String = serde_json::from_str(entry.value.get()).ok()?;
        let results = self.progress_so_far.entry(id).or_default();
        results.read(chunk, entry.version, &text).then_some(())
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Loading {
    Progress { claim: u64 },
    Roster { claim: u64 },
}

impl Loading {
    fn claim(self) -> u64 {
        match self {
            Loading::Progress { claim } | Loading::Roster { claim } => claim,
        }
    }
}

impl Node {
    /// Holds a claim and is inside its term. A claim whose term ran out while
    /// the state service was away stands again with the next good renewal and proof,
    /// since the lease then never ended.
    pub(super) fn leads(&self) -> bool {
        self.lead.claim.is_some() && self.now() < self.lead.valid_until
    }

    pub(super) fn claim(&self) -> Option<u64> {
        self.lead.claim
    }

    pub(super) fn pump_lead(&mut self) {
        let now = self.now();
        if !self.mirror.loaded {
            return;
        }
        if let Some(lease) = self.lead.lease
            && !self.lead.renewing
            && now >= self.lead.next_renewal
        {
            self.lead.renewing = true;
            self.lead.next_renewal = now + self.config.renew_every;
            self.call(Purpose::Renew { sent: now }, StateRequest::Renew { lease });
        }
        if self.lead.claim.is_some() {
            self.pump_take_over();
            self.settle();
            return;
        }
        self.pump_vacating();
        let patience = self.config.leader_ttl;
        if self.lead.claiming
            || now < self.lead.retry
            || !self.members.may_lead(now, patience)
            || !self.may_claim()
        {
            return;
        }
        let Some(former) = self.former() else { return };
        let version = self.mirror.leader.as_ref().map_or(0, |(_, v)| *v);
        self.lead.claiming = true;
        match self.lead.lease {
            None => self.call(
                Purpose::Grant,
                StateRequest::Grant {
                    ttl: self.config.leader_ttl,
                },
            ),
            Some(lease) => {
                // By the time of the answer the key may be this claim's already.
                self.lead.asked |= former != Former::Predecessor;
                let record = LeaderRecord {
                    node: self.config.node.clone(),
                    superseded: former == Former::Superseded,
                };
                self.call(
                    Purpose::Claim {
                        lease,
                        sent: now,
                        former,
                    },
                    StateRequest::Txn {
                        // A process that does not know how the records are written
                        // now can't claim, nor one that does not know whom it may not
                        // answer.
                        conditions: vec![
                            when(LEADER, version),
                            when(CLAIMS, self.mirror.claims),
                            when(GENERATION, self.mirror.cluster.1),
                            when(APART, self.mirror.apart.1),
                        ],
                        changes: vec![
                            put_leased(LEADER, &record, Some(lease)),
                            put(CLAIMS, &self.config.node),
                        ],
                    },
                );
            }
        }
    }

    /// Whether this node may claim the leadership now, and what it takes the place of.
    fn former(&self) -> Option<Former> {
        let Some((record, version)) = &self.mirror.leader else {
            // A key that stood for less than a term may have taken the place of
            // one that still acts, and one that was never seen may have, too.
            let ended = self.lead.seen.as_ref().is_some_and(|seen| {
                !seen.superseded
                    || self.mirror.settled == seen.version
                    || self.now() > seen.since + self.config.leader_ttl
            });
            return Some(match ended {
                true => Former::Ended,
                false => Former::Superseded,
            });
        };
        if record.node == self.config.node {
            // A process that ended never acts again: its successor on the same
            // node need not wait for the end of its lease. One that itself took
            // another's place may have ended before that one's term.
            return Some(match (self.mirror.unsettled(), self.lead.asked) {
                (true, _) => Former::Superseded,
                (false, false) => Former::Predecessor,
                (false, true) => Former::Ended,
            });
        }
        if self.lead.resigned == Some(*version) {
            return Some(Former::Resigned);
        }
        self.supersedes()
    }

    /// The leader has made way for this node.
    pub(super) fn resigned(&mut self, claim: u64) {
        self.lead.resigned = Some(claim);
        self.lead.retry = self.now();
    }

    /// Whoever led before has stopped acting.
    pub(super) fn former_stopped(&self) -> bool {
        self.now() >= self.lead.former_stopped
    }

    pub(super) fn granted(&mut self, reply: StateReply) {
        self.lead.claiming = false;
        match reply {
            StateReply::Granted { lease } => {
                self.lead.lease = Some(lease);
                // The claim follows at once; a renewal fixes the start of the term.
                self.lead.next_renewal = self.now();
            }
            _ => self.lead.retry = self.now() + BACK_OFF,
        }
    }

    pub(super) fn renewed(&mut self, sent: Duration, reply: StateReply) {
        self.lead.renewing = false;
        match reply {
            StateReply::Renewed => {
                self.lead.renewed = self.lead.renewed.max(sent);
                // The lease outlives a claim that another node has replaced, so
                // the term grows only once the claim was seen to stand as well.
                self.verify();
            }
            StateReply::LeaseGone => {
                self.lead.lease = None;
                self.lead.valid_until = Duration::ZERO;
                self.drop_leader("its lease is gone");
            }
            _ => self.lead.next_renewal = self.now() + BACK_OFF,
        }
    }

    /// Asks whether the claim stands, and for all that was stored until now: a watch that
    /// does not wait tells both. Were the claim alone compared, a leader whose own watch is
    /// refused, lost or slow would go on without the cancellations that others confirm.
    fn verify(&mut self) {
        let Some(claim) = self.lead.claim else { return };
        let (asked, renewed) = (self.now(), self.lead.renewed);
        self.lead.proof_asked = asked;
        self.call_within(
            self.take_over_time(),
            Purpose::Verify {
                claim,
                renewed,
                asked,
            },
            self.watch(Duration::ZERO),
        );
    }

    /// What rests on the claim must not wait for the next renewal.
    pub(super) fn hurry_proof(&mut self) {
        if self.now() > self.lead.proof_asked + BACK_OFF {
            self.verify();
        }
    }

    pub(super) fn proven(&self) -> Duration {
        self.lead.proven
    }

    /// The claim stood after `asked`, and whatever was stored before is in the copy. So
    /// whoever acts knows each cancellation that was confirmed more than a term ago.
    pub(super) fn verified(
        &mut self,
        claim: u64,
        renewed: Duration,
        asked: Duration,
        reply: StateReply,
    ) {
        let copied = self.take_events(reply);
        let standing = self.mirror.leader.as_ref().map(|(_, version)| *version);
        // A claim that has gone was dropped with the events.
        if copied && self.lead.claim == Some(claim) && standing == Some(claim) {
            self.lead.proven = self.lead.proven.max(asked);
            let until = renewed + self.config.leader_term;
            self.lead.valid_until = self.lead.valid_until.max(until);
        }
    }

    pub(super) fn claimed(
        &mut self,
        lease: u64,
        sent: Duration,
        former: Former,
        reply: StateReply,
    ) {
        self.lead.claiming = false;
        let now = self.now();
        match reply {
            StateReply::Committed { revision } if self.lead.lease == Some(lease) => {
                info!(claim = revision, after = ?(now - sent), ?former, "lead");
                self.lead.claim = Some(revision);
                // What was confirmed until now may be missing in the copy yet.
                self.lead.valid_until = Duration::ZERO;
                self.lead.proven = sent;
                self.lead.former_stopped = match former {
                    Former::Predecessor => Duration::ZERO,
                    Former::Ended | Former::Resigned => now,
                    Former::Superseded => now + self.config.leader_ttl,
                };
                self.lead.asked = true;
                self.lead.taking = Some(TakeOver::default());
                self.lead.vacating = None;
                self.members.leads_now(now);
                self.verify();
            }
            StateReply::LeaseGone => {
                self.lead.lease = None;
                self.lead.retry = now;
            }
            // Unclear: the watch shows whether the claim stands; if it does, it
            // is taken again as one of this node's own.
            _ => self.lead.retry = now + BACK_OFF,
        }
    }

    /// The leader key has changed.
    pub(super) fn leader_changed(&mut self) {
        self.leader_seen();
        let standing = self.mirror.leader.as_ref().map(|(_, version)| *version);
        if let Some(claim) = self.lead.claim
            && self.mirror.cursor >= claim
            && standing != Some(claim)
        {
            self.drop_leader("its claim is gone");
        }
        if standing.is_none() {
            self.lead.retry = self.now();
        }
    }

    pub(super) fn leader_seen(&mut self) {
        if let Some((record, version)) = &self.mirror.leader
            && self
                .lead
                .seen
                .as_ref()
                .is_none_or(|s| s.version != *version)
        {
            self.lead.seen = Some(Seen {
                version: *version,
                since: self.now(),
                superseded: record.superseded,
            });
            self.pass_hints_on();
        }
    }

    pub(super) fn drop_leader(&mut self, why: &str) {
        if self.lead.claim.take().is_some() {
            info!(why, "no longer leads");
        }
        self.leader = None;
        self.lead.taking = None;
        self.saves.reset();
        self.ranges.reset();
    }

    /// Whoever led before this claim has stopped: once that is stored, a successor
    /// of this process need not wait for it any more.
    fn settle(&mut self) {
        let now = self.now();
        if !self.mirror.unsettled()
            || !self.leads()
            || !self.former_stopped()
            || self.lead.settling
            || now < self.lead.settled_at + BACK_OFF
        {
            return;
        }
        let Some(claim) = self.lead.claim else { return };
        self.lead.settling = true;
        self.call(
            Purpose::Settle,
            StateRequest::Txn {
                conditions: vec![when(LEADER, claim)],
                changes: vec![put(SETTLED, &claim)],
            },
        );
    }

    pub(super) fn settled(&mut self) {
        self.lead.settling = false;
        self.lead.settled_at = self.now() + BACK_OFF;
    }

    /// Removes the key of a claim that this node has given up, after it stopped acting:
    /// the next leader need not wait for the end of the lease then. If it can't be
    /// removed, the lease, which is not renewed any more, ends by itself.
    pub(super) fn vacate(&mut self, claim: u64, wait: Duration) {
        self.lead.lease = None;
        self.lead.valid_until = Duration::ZERO;
        self.lead.vacating = Some(Vacating {
            claim,
            since: self.now(),
            asking: false,
            retry: self.now() + wait,
        });
        self.pump_vacating();
    }

    fn pump_vacating(&mut self) {
        let now = self.now();
        let ttl = self.config.leader_ttl;
        let over = |v: &mut Vacating| now > v.since + ttl;
        if self.lead.vacating.take_if(over).is_some() {
            return;
        }
        let Some(vacating) = &mut self.lead.vacating else {
            return;
        };
        if vacating.asking || now < vacating.retry {
            return;
        }
        vacating.asking = true;
        let claim = vacating.claim;
        self.call(
            Purpose::Vacate { claim },
            StateRequest::Txn {
                conditions: vec![when(LEADER, claim)],
                changes: vec![delete(LEADER)],
            },
        );
    }

    pub(super) fn vacated(&mut self, claim: u64, reply: &StateReply) {
        let retry = self.now() + BACK_OFF;
        match reply {
            StateReply::Committed { .. } | StateReply::Conflict => {
                self.lead.vacating.take_if(|v| v.claim == claim);
            }
            _ => {
                if let Some(vacating) = &mut self.lead.vacating {
                    vacating.asking = false;
                    vacating.retry = retry;
                }
            }
        }
    }

    fn pump_take_over(&mut self) {
        let now = self.now();
        let acts = self.leads();
        if self.lead.taking.is_some() && !acts {
            self.hurry_proof();
        }
        let (Some(taking), Some(claim)) = (&mut self.lead.taking, self.lead.claim) else {
            return;
        };
        if now < self.lead.renewed + self.config.leader_term
            && !taking.started
            && taking.in_flight == 0
            && now >= taking.retry
        {
            taking.started = true;
            taking.progress_so_far.clear();
            taking.roster_so_far.clear();
            taking.in_flight = 2;
            self.take_over_page(Loading::Progress { claim }, None);
            self.take_over_page(Loading::Roster { claim }, None);
            return;
        }
        // The copy must hold what came until the claim, too.
        if taking.in_flight > 0 || !acts || taking.progress.is_none() || taking.roster.is_none() {
            return;
        }
        let Some(types) = self.mirror.types.clone() else {
            return;
        };
        let taking = self.lead.taking.take().expect("just seen");
        let found = Found {
            jobs: &self.mirror.jobs,
            progress: taking.progress.unwrap_or_default(),
            roster: taking.roster.unwrap_or_default(),
            resolve_by: self.lead.former_stopped + self.config.worker_lease_bound,
            zones_over: self.zones_over(),
        };
        let mut leader = Leader::new(self.config.clone(), claim, types, found, now);
        leader.recall(std::mem::take(&mut self.hints), now);
        self.leader = Some(leader);
    }

    fn take_over_time(&self) -> Duration {
        match &self.lead.taking {
            Some(taking) if !taking.again => FIRST_TRY,
            _ => STATE_TIMEOUT,
        }
    }

    fn take_over_page(&mut self, loading: Loading, after: Option<String>) {
        let prefix = match loading {
            Loading::Roster { .. } => ROSTER,
            _ => PROGRESS,
        };
        self.call_within(
            self.take_over_time(),
            Purpose::TakeOver(loading),
            StateRequest::List {
                prefix: prefix.into(),
                after,
            },
        );
    }

    pub(super) fn take_over_reply(&mut self, loading: Loading, reply: StateReply) {
        let now = self.now();
        if self.lead.claim != Some(loading.claim()) {
            return;
        }
        let Some(taking) = &mut self.lead.taking else {
            return;
        };
        let StateReply::Entries { entries, more, .. } = reply else {
            let lost = !taking.again && matches!(reply, StateReply::Unclear);
            taking.in_flight -= 1;
            taking.started = false;
            taking.again = true;
            taking.retry = if lost { now } else { now + BACK_OFF };
            return;
        };
        let last = entries.last().map(|e| e.key.clone());
        let mut unreadable = entries.iter().filter(|entry| {
            let read = match loading {
                Loading::Roster { .. } => taking.take_shard(entry),
                _ => taking.take_progress(entry),
            };
            read.is_none()
        });
        if let Some(entry) = unreadable.next() {
            let key = entry.key.clone();
            self.stop_take_over(&key);
            return;
        }
        if let (true, Some(_)) = (more, &last) {
            self.take_over_page(loading, last);
            return;
        }
        taking.in_flight -= 1;
        match loading {
            Loading::Roster { .. } => {
                taking.roster = Some(std::mem::take(&mut taking.roster_so_far));
            }
            _ => taking.progress = Some(std::mem::take(&mut taking.progress_so_far)),
        }
    }
}
