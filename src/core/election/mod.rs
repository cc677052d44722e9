//! Leadership: a key under a short lease in the state service.
//!
//! Owns the lease, the claim, the term and the proof that the claim still stands. The
//! leader counts its lease from when it asked for the last good renewal, so it stops before
//! the service can end the lease. Its token is made of the revision of its claim, and every
//! write of a leader depends on that claim.
//!
//! It never lets a node act past its term, never extends the term by a renewal alone, and
//! never takes a missing leader key for a proof: neither that this node's claim stands, nor
//! that a leader which the holder of the key may have superseded has stopped.

mod failover;
mod key_removal;

use std::time::Duration;

use tracing::info;

use super::{
    Node, Purpose, RETRY_DELAY,
    state_cache::LeaderRecord,
    store::{
        CLAIMS_KEY, GENERATION_KEY, LEADER_KEY, PARTITIONED_ZONES_KEY, SETTLED_CLAIM_KEY,
        StateReply, StateRequest, if_version, put, put_leased,
    },
};
use failover::FailoverLoader;
use key_removal::KeyRemoval;

pub use failover::FailoverRead;

/// What this node knows of its lease, its claim and the leader before it.
#[derive(Debug, Default)]
pub struct Election {
    lease: Option<u64>,
    /// Revision of the claim while it stands.
    claim: Option<u64>,
    /// The last good renewal was asked for then.
    renewed: Duration,
    /// Until then this node may act as the leader: a term after the last renewal that was
    /// followed by a proof of the claim and of the cache. Never before the first proof.
    valid_until: Duration,
    next_renewal: Duration,
    renewing: bool,
    claiming: bool,
    retry: Duration,
    /// This process has asked for a vacant leadership, so a leader key of this
    /// node need not be that of the process before it.
    requested: bool,
    /// The claim is known to have stood at this time.
    proven: Duration,
    /// When that was asked for last.
    proof_asked: Duration,
    /// The previous leader has stopped acting by then.
    previous_stopped_at: Duration,
    /// The leader key that this node saw last, and since when.
    observed: Option<ObservedLeader>,
    /// A note that this claim is settled is under way, or was tried at this time.
    storing_settled: bool,
    settled_at: Duration,
    /// A claim that resigned for this node.
    resigned: Option<u64>,
    /// A claim that was given away to whoever comes first: its key is still to go,
    /// since when, and whether that was asked for.
    key_removal: Option<KeyRemoval>,
    loader: Option<FailoverLoader>,
}

#[derive(Debug)]
struct ObservedLeader {
    version: u64,
    since: Duration,
    /// Its owner took the place of one that may act for another term.
    superseded: bool,
}

/// What is known of the leader before a claim, and so of when it has stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PreviousLeader {
    /// Its lease has ended, and its term before that.
    LeaseExpired,
    /// It was the process before this one.
    SameNode,
    /// It said so.
    Resigned,
    /// It may act until the end of its term: it last renewed it before this claim.
    Superseded,
}

impl Election {
    /// The end of the term: nothing that rests on the claim may go out after it.
    pub fn may_act_until(&self) -> Duration {
        self.valid_until
    }

    /// By then whoever led before this claim has stopped.
    pub fn previous_leader_stopped_at(&self) -> Duration {
        self.previous_stopped_at
    }

    /// The first fencing token of the claim; its lower 16 bits are raised machine by machine.
    pub fn token(&self) -> Option<u64> {
        self.claim.map(|claim| claim << 16)
    }
}

impl Node {
    /// Holds a claim and is inside its term. A claim whose term ran out while
    /// the state service was away stands again with the next good renewal and proof,
    /// since the lease then never ended.
    pub(super) fn is_leader(&self) -> bool {
        self.election.claim.is_some() && self.now() < self.election.valid_until
    }

    pub(super) fn claim(&self) -> Option<u64> {
        self.election.claim
    }

    pub(super) fn drive_election(&mut self) {
        if !self.cache.loaded {
            return;
        }
        self.renew_lease();
        if self.election.claim.is_some() {
            self.drive_failover();
            self.store_settled_claim();
            return;
        }
        self.drive_key_removal();
        self.drive_campaign();
    }

    /// Renews the lease where that is due.
    fn renew_lease(&mut self) {
        let now = self.now();
        if let Some(lease) = self.election.lease
            && !self.election.renewing
            && now >= self.election.next_renewal
        {
            self.election.renewing = true;
            self.election.next_renewal = now + self.config.renew_interval;
            self.call(Purpose::Renew { sent: now }, StateRequest::Renew { lease });
        }
    }

    /// Asks for a lease, and with a lease for the leadership, where this node may have it.
    fn drive_campaign(&mut self) {
        let now = self.now();
        let patience = self.config.leader_ttl;
        if self.election.claiming
            || now < self.election.retry
            || !self.membership.may_campaign(now, patience)
            || !self.may_claim()
        {
            return;
        }
        let Some(prior) = self.previous() else { return };
        self.election.claiming = true;
        match self.election.lease {
            None => self.request_lease(),
            Some(lease) => self.claim_leadership(lease, prior),
        }
    }

    fn request_lease(&mut self) {
        let ttl = self.config.leader_ttl;
        self.call(Purpose::Grant, StateRequest::Grant { ttl });
    }

    fn claim_leadership(&mut self, lease: u64, prior: PreviousLeader) {
        // By the time of the answer the key may be this claim's already.
        self.election.requested |= prior != PreviousLeader::SameNode;
        let sent = self.now();
        let request = self.claim_transaction(lease, prior);
        self.call(Purpose::Claim { lease, sent, prior }, request);
    }

    /// The write that makes this node the leader.
    fn claim_transaction(&self, lease: u64, prior: PreviousLeader) -> StateRequest {
        let version = self.cache.leader.as_ref().map_or(0, |(_, v)| *v);
        let record = LeaderRecord {
            node: self.config.node.clone(),
            superseded: prior == PreviousLeader::Superseded,
        };
        StateRequest::Txn {
            // A process that does not know how the records are written now can't claim, nor
            // one that does not know whom it may not answer.
            conditions: vec![
                if_version(LEADER_KEY, version),
                if_version(CLAIMS_KEY, self.cache.last_claim),
                if_version(GENERATION_KEY, self.cache.generation.1),
                if_version(PARTITIONED_ZONES_KEY, self.cache.partitioned_zones.1),
            ],
            changes: vec![
                put_leased(LEADER_KEY, &record, Some(lease)),
                put(CLAIMS_KEY, &self.config.node),
            ],
        }
    }

    /// Whether this node may claim the leadership now, and what it takes the place of.
    fn previous(&self) -> Option<PreviousLeader> {
        let Some((record, version)) = &self.cache.leader else {
            // A key that stood for less than a term may have taken the place of
            // one that still acts, and one that was never seen may have, too.
            let ended = self.election.observed.as_ref().is_some_and(|observed| {
                !observed.superseded
                    || self.cache.settled_claim == observed.version
                    || self.now() > observed.since + self.config.leader_ttl
            });
            return Some(match ended {
                true => PreviousLeader::LeaseExpired,
                false => PreviousLeader::Superseded,
            });
        };
        if record.node == self.config.node {
            // A process that ended never acts again: its successor on the same
            // node need not wait for the end of its lease. One that itself took
            // another's place may have ended before that one's term.
            return Some(
                match (self.cache.has_unsettled_claim(), self.election.requested) {
                    (true, _) => PreviousLeader::Superseded,
                    (false, false) => PreviousLeader::SameNode,
                    (false, true) => PreviousLeader::LeaseExpired,
                },
            );
        }
        if self.election.resigned == Some(*version) {
            return Some(PreviousLeader::Resigned);
        }
        self.leader_to_supersede()
    }

    /// The leader has made way for this node.
    pub(super) fn resigned(&mut self, claim: u64) {
        self.election.resigned = Some(claim);
        self.election.retry = self.now();
    }

    /// Whoever led before has stopped acting.
    pub(super) fn has_previous_leader_stopped(&self) -> bool {
        self.now() >= self.election.previous_stopped_at
    }

    pub(super) fn granted(&mut self, reply: StateReply) {
        self.election.claiming = false;
        match reply {
            StateReply::Granted { lease } => {
                self.election.lease = Some(lease);
                // The claim follows at once; a renewal fixes the start of the term.
                self.election.next_renewal = self.now();
            }
            _ => self.election.retry = self.now() + RETRY_DELAY,
        }
    }

    pub(super) fn renewed(&mut self, sent: Duration, reply: StateReply) {
        self.election.renewing = false;
        match reply {
            StateReply::Renewed => {
                self.election.renewed = self.election.renewed.max(sent);
                // The lease outlives a claim that another node has replaced, so
                // the term grows only once the claim was seen to stand as well.
                self.verify_claim();
            }
            StateReply::LeaseGone => {
                self.election.lease = None;
                self.election.valid_until = Duration::ZERO;
                self.drop_leadership("its lease is gone");
            }
            _ => self.election.next_renewal = self.now() + RETRY_DELAY,
        }
    }

    /// Asks whether the claim stands, and for all that was stored until now: a watch that
    /// does not wait tells both. Were the claim alone compared, a leader whose own watch is
    /// refused, lost or slow would go on without the cancellations that others confirm.
    fn verify_claim(&mut self) {
        let Some(claim) = self.claim() else { return };
        let (asked, renewed) = (self.now(), self.election.renewed);
        self.election.proof_asked = asked;
        self.call_with_timeout(
            self.failover_timeout(),
            Purpose::Verify {
                claim,
                renewal_sent: renewed,
                sent: asked,
            },
            self.watch_request(Duration::ZERO),
        );
    }

    /// What rests on the claim must not wait for the next renewal.
    pub(super) fn expedite_proof(&mut self) {
        if self.now() > self.election.proof_asked + RETRY_DELAY {
            self.verify_claim();
        }
    }

    pub(super) fn proven(&self) -> Duration {
        self.election.proven
    }

    /// The claim stood after `asked`, and whatever was stored before is in the cache. So
    /// whoever acts knows each cancellation that was confirmed more than a term ago.
    pub(super) fn verified(
        &mut self,
        claim: u64,
        renewed: Duration,
        asked: Duration,
        reply: StateReply,
    ) {
        let copied = self.apply_watch_reply(reply);
        let standing = self.cache.leader.as_ref().map(|(_, version)| *version);
        // A claim that has gone was dropped with the events.
        if copied && self.election.claim == Some(claim) && standing == Some(claim) {
            self.election.proven = self.election.proven.max(asked);
            let until = renewed + self.config.leader_term;
            self.election.valid_until = self.election.valid_until.max(until);
        }
    }

    pub(super) fn claimed(
        &mut self,
        lease: u64,
        sent: Duration,
        prior: PreviousLeader,
        reply: StateReply,
    ) {
        self.election.claiming = false;
        let now = self.now();
        match reply {
            StateReply::Committed { revision } if self.election.lease == Some(lease) => {
                self.begin_claim(revision, sent, prior);
            }
            StateReply::LeaseGone => {
                self.election.lease = None;
                self.election.retry = now;
            }
            // Unclear: the watch shows whether the claim stands; if it does, it
            // is taken again as one of this node's own.
            _ => self.election.retry = now + RETRY_DELAY,
        }
    }

    /// The claim was written; this node acts once it is proven.
    fn begin_claim(&mut self, claim: u64, sent: Duration, prior: PreviousLeader) {
        let now = self.now();
        info!(claim, after = ?(now - sent), ?prior, "became leader");
        self.election.claim = Some(claim);
        // What was confirmed until now may be missing in the cache yet.
        self.election.valid_until = Duration::ZERO;
        self.election.proven = sent;
        self.election.previous_stopped_at = match prior {
            PreviousLeader::SameNode => Duration::ZERO,
            PreviousLeader::LeaseExpired | PreviousLeader::Resigned => now,
            PreviousLeader::Superseded => now + self.config.leader_ttl,
        };
        self.election.requested = true;
        self.election.loader = Some(FailoverLoader::default());
        self.election.key_removal = None;
        self.membership.begin_leading(now);
        self.verify_claim();
    }

    /// The leader key has changed.
    pub(super) fn leader_changed(&mut self) {
        self.observe_leader();
        let standing = self.cache.leader.as_ref().map(|(_, version)| *version);
        if let Some(claim) = self.election.claim
            && self.cache.cursor >= claim
            && standing != Some(claim)
        {
            self.drop_leadership("its claim is gone");
        }
        if standing.is_none() {
            self.election.retry = self.now();
        }
    }

    pub(super) fn observe_leader(&mut self) {
        if let Some((record, version)) = &self.cache.leader
            && self
                .election
                .observed
                .as_ref()
                .is_none_or(|s| s.version != *version)
        {
            self.election.observed = Some(ObservedLeader {
                version: *version,
                since: self.now(),
                superseded: record.superseded,
            });
            self.forward_handover();
        }
    }

    pub(super) fn drop_leadership(&mut self, why: &str) {
        if self.election.claim.take().is_some() {
            info!(why, "no longer leads");
        }
        self.cluster = None;
        self.election.loader = None;
        self.write_queue.reset();
        self.ranges.reset();
    }

    /// Whoever led before this claim has stopped: once that is stored, a successor
    /// of this process need not wait for it any more.
    fn store_settled_claim(&mut self) {
        let now = self.now();
        if !self.cache.has_unsettled_claim()
            || !self.is_leader()
            || !self.has_previous_leader_stopped()
            || self.election.storing_settled
            || now < self.election.settled_at + RETRY_DELAY
        {
            return;
        }
        let Some(claim) = self.claim() else { return };
        self.election.storing_settled = true;
        self.call(
            Purpose::StoreSettledClaim,
            StateRequest::Txn {
                conditions: vec![if_version(LEADER_KEY, claim)],
                changes: vec![put(SETTLED_CLAIM_KEY, &claim)],
            },
        );
    }

    pub(super) fn settled_claim_stored(&mut self) {
        self.election.storing_settled = false;
        self.election.settled_at = self.now() + RETRY_DELAY;
    }
}
