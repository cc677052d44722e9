//! Leader election: a key under a short lease in the state service.
//!
//! Owns the lease, the claim, the term and the verification that the claim is still valid. The
//! leader counts its lease from when it sent the last successful renewal, so it stops acting
//! before the state service can expire the lease. Its fencing token is derived from the revision
//! of its claim, and every write of a leader is conditional on that claim.
//!
//! A node never acts past its term, and a renewal alone never extends the term. A missing leader
//! key does not imply that this node's claim is valid, nor that a leader which was superseded by
//! the holder of that key has stopped.

mod failover;
mod key_removal;

use std::time::Duration;

use kiteyard_recovery::worker_leases::WorkerLeases;
use tracing::{debug, info};

use super::{
    Node, Purpose, RETRY_DELAY,
    fencing::first_token,
    state_cache::LeaderRecord,
    store::{
        CLAIMS_KEY, GENERATION_KEY, LEADER_KEY, PARTITIONED_ZONES_KEY, SETTLED_CLAIM_KEY,
        StateReply, StateRequest, if_version, put, put_leased,
    },
};
use failover::FailoverLoader;
use key_removal::KeyRemoval;

pub use failover::FailoverRead;

/// State of this node's lease, its claim and the previous leader.
#[derive(Debug, Default)]
pub struct Election {
    lease: Option<u64>,
    /// Revision of this node's claim while it is valid.
    claim: Option<u64>,
    /// Time at which the last successful renewal was sent.
    last_renewal_sent: Duration,
    /// End of the time in which this node may act as the leader: one term after the last renewal
    /// that was followed by a verification of the claim and the cache. Zero before the first one.
    valid_until: Duration,
    next_renewal: Duration,
    renewal_in_flight: bool,
    campaign_in_flight: bool,
    retry_at: Duration,
    /// Whether this process has requested the leadership itself. If so, a leader key with this
    /// node's name does not necessarily belong to the previous process.
    has_requested_claim: bool,
    /// Latest time at which the claim is known to have been valid.
    verified_at: Duration,
    /// Time at which the last verification was sent.
    verification_sent_at: Duration,
    /// Time by which the previous leader has stopped acting.
    previous_stopped_at: Duration,
    /// Leader key that this node saw last.
    observed: Option<ObservedLeader>,
    /// Whether the write that marks this claim as settled is in flight.
    settled_write_in_flight: bool,
    /// Start of the delay before the next attempt of that write.
    settled_retry_base: Duration,
    /// Claim of a leader that resigned in favour of this node.
    resigned_claim: Option<u64>,
    /// Pending removal of the leader key of a released claim.
    key_removal: Option<KeyRemoval>,
    loader: Option<FailoverLoader>,
}

#[derive(Debug)]
struct ObservedLeader {
    version: u64,
    first_seen: Duration,
    /// Whether the owner superseded a leader that may still act for up to a term.
    has_superseded: bool,
}

/// State of the previous leader at the time of a claim, which determines when it stops acting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PreviousLeader {
    /// The lease has expired, and the term ended before that.
    LeaseExpired,
    /// The leader was the previous process of this node.
    SameNode,
    /// The leader has resigned.
    Resigned,
    /// The leader may act until the end of its term, which it last renewed before this claim.
    Superseded,
}

impl Election {
    /// Returns the end of the term. Nothing that depends on the claim may be sent after it.
    pub fn may_act_until(&self) -> Duration {
        self.valid_until
    }

    /// Returns the time by which the leader before this claim has stopped acting.
    pub fn previous_leader_stopped_at(&self) -> Duration {
        self.previous_stopped_at
    }

    /// Returns the first fencing token of the claim. Its lower 16 bits are incremented per machine.
    pub fn token(&self) -> Option<u64> {
        self.claim.map(first_token)
    }
}

impl Node {
    /// Returns whether this node holds a claim and is within its term. A claim whose term ended
    /// during an outage of the state service becomes valid again with the next successful renewal
    /// and verification, because the lease has not expired in that case.
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

    /// Renews the lease if a renewal is due.
    fn renew_lease(&mut self) {
        let now = self.now();
        if let Some(lease) = self.election.lease
            && !self.election.renewal_in_flight
            && now >= self.election.next_renewal
        {
            self.election.renewal_in_flight = true;
            self.election.next_renewal = now + self.config.renew_interval;
            self.call(Purpose::Renew { sent: now }, StateRequest::Renew { lease });
        }
    }

    /// Requests a lease, and once it has one the leadership, if this node may lead.
    fn drive_campaign(&mut self) {
        let now = self.now();
        let leader_ttl = self.config.leader_ttl;
        if self.election.campaign_in_flight
            || now < self.election.retry_at
            || !self.membership.may_campaign(now, leader_ttl)
            || !self.may_claim()
        {
            return;
        }
        let Some(previous) = self.previous_leader() else {
            return;
        };
        self.election.campaign_in_flight = true;
        match self.election.lease {
            None => self.request_lease(),
            Some(lease) => self.claim_leadership(lease, previous),
        }
    }

    fn request_lease(&mut self) {
        let ttl = self.config.leader_ttl;
        self.call(Purpose::Grant, StateRequest::Grant { ttl });
    }

    fn claim_leadership(&mut self, lease: u64, previous: PreviousLeader) {
        // By the time of the reply, the leader key may already be the one of this claim.
        self.election.has_requested_claim |= previous != PreviousLeader::SameNode;
        let sent = self.now();
        let request = self.claim_transaction(lease, previous);
        self.call(
            Purpose::Claim {
                lease,
                sent,
                previous,
            },
            request,
        );
    }

    /// Builds the transaction that makes this node the leader.
    fn claim_transaction(&self, lease: u64, previous: PreviousLeader) -> StateRequest {
        let version = self.cache.leader.as_ref().map_or(0, |(_, v)| *v);
        let record = LeaderRecord {
            node: self.config.node.clone(),
            superseded: previous == PreviousLeader::Superseded,
        };
        StateRequest::Txn {
            // A process with an outdated generation or an outdated list of partitioned zones can't
            // claim: it would misread the records, or answer workers that it must not answer.
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

    /// Returns the state of the previous leader if this node may claim the leadership now.
    fn previous_leader(&self) -> Option<PreviousLeader> {
        let Some((record, version)) = &self.cache.leader else {
            // The owner of a key that existed for less than a lease, or that this node never
            // saw, may have superseded a leader that still acts.
            let has_stopped = self.election.observed.as_ref().is_some_and(|observed| {
                !observed.has_superseded
                    || self.cache.settled_claim == observed.version
                    || self.now() > observed.first_seen + self.config.leader_ttl
            });
            return Some(match has_stopped {
                true => PreviousLeader::LeaseExpired,
                false => PreviousLeader::Superseded,
            });
        };
        if record.node == self.config.node {
            // A process that has exited never acts again, so the next process of the same node
            // need not wait for its lease to expire. If it superseded another leader, though, it
            // may have exited before the end of that leader's term.
            return Some(
                match (
                    self.cache.has_unsettled_claim(),
                    self.election.has_requested_claim,
                ) {
                    (true, _) => PreviousLeader::Superseded,
                    (false, false) => PreviousLeader::SameNode,
                    (false, true) => PreviousLeader::LeaseExpired,
                },
            );
        }
        if self.election.resigned_claim == Some(*version) {
            return Some(PreviousLeader::Resigned);
        }
        self.leader_to_supersede()
    }

    /// Records that the leader has resigned in favour of this node.
    pub(super) fn resignation_received(&mut self, claim: u64) {
        self.election.resigned_claim = Some(claim);
        self.election.retry_at = self.now();
    }

    /// Returns whether the previous leader has stopped acting.
    pub(super) fn has_previous_leader_stopped(&self) -> bool {
        self.now() >= self.election.previous_stopped_at
    }

    pub(super) fn grant_answered(&mut self, reply: StateReply) {
        self.election.campaign_in_flight = false;
        match reply {
            StateReply::Granted { lease } => {
                self.election.lease = Some(lease);
                // The claim follows at once. A renewal determines the start of the term.
                self.election.next_renewal = self.now();
            }
            _ => self.election.retry_at = self.now() + RETRY_DELAY,
        }
    }

    pub(super) fn renewal_answered(&mut self, sent: Duration, reply: StateReply) {
        self.election.renewal_in_flight = false;
        match reply {
            StateReply::Renewed => {
                self.election.last_renewal_sent = self.election.last_renewal_sent.max(sent);
                // The lease outlives a claim that another node has replaced, so the term is
                // extended only once the claim has been verified as well.
                self.verify_claim();
            }
            StateReply::LeaseExpired => {
                self.election.lease = None;
                self.election.valid_until = Duration::ZERO;
                self.drop_leadership("the lease has expired in the state service");
            }
            _ => self.election.next_renewal = self.now() + RETRY_DELAY,
        }
    }

    /// Verifies that the claim is valid and fetches everything stored until now, using a watch
    /// that returns at once. Comparing only the claim would let a leader whose own watch is
    /// refused, lost or slow miss cancellations that other nodes have confirmed.
    fn verify_claim(&mut self) {
        let Some(claim) = self.claim() else { return };
        let (sent, renewal_sent) = (self.now(), self.election.last_renewal_sent);
        self.election.verification_sent_at = sent;
        self.call_with_timeout(
            self.failover_timeout(),
            Purpose::Verify {
                claim,
                renewal_sent,
                sent,
            },
            self.watch_request(Duration::ZERO),
        );
    }

    /// Verifies the claim ahead of the next renewal, for work that depends on the result.
    pub(super) fn expedite_verification(&mut self) {
        if self.now() > self.election.verification_sent_at + RETRY_DELAY {
            self.verify_claim();
        }
    }

    pub(super) fn claim_verified_at(&self) -> Duration {
        self.election.verified_at
    }

    /// Handles the reply to a verification. If the claim was valid after `sent`, the cache holds
    /// everything stored before that, so a node within its term knows each cancellation that was
    /// confirmed more than a term ago.
    pub(super) fn verification_answered(
        &mut self,
        claim: u64,
        renewal_sent: Duration,
        sent: Duration,
        reply: StateReply,
    ) {
        let is_cache_current = self.apply_watch_reply(reply);
        let stored_claim = self.cache.leader.as_ref().map(|(_, version)| *version);
        // A replaced claim was dropped while the events were applied.
        if is_cache_current && self.election.claim == Some(claim) && stored_claim == Some(claim) {
            self.election.verified_at = self.election.verified_at.max(sent);
            let term_end = renewal_sent + self.config.leader_term;
            self.election.valid_until = self.election.valid_until.max(term_end);
            debug!(
                claim,
                revision = self.cache.cursor,
                after = ?(self.now() - sent),
                valid_for = ?self.election.valid_until.saturating_sub(self.now()),
                "claim verified"
            );
        }
    }

    pub(super) fn claim_answered(
        &mut self,
        lease: u64,
        sent: Duration,
        previous: PreviousLeader,
        reply: StateReply,
    ) {
        self.election.campaign_in_flight = false;
        let now = self.now();
        match reply {
            StateReply::Committed { revision } if self.election.lease == Some(lease) => {
                self.begin_claim(revision, sent, previous);
            }
            StateReply::LeaseExpired => {
                self.election.lease = None;
                self.election.retry_at = now;
            }
            // Unclear: the watch shows whether the claim was written. If it was, the
            // leadership is claimed again from this node's own key.
            _ => self.election.retry_at = now + RETRY_DELAY,
        }
    }

    /// Starts the failover after the claim was written. This node acts once it is verified.
    fn begin_claim(&mut self, claim: u64, sent: Duration, previous: PreviousLeader) {
        let now = self.now();
        info!(claim, after = ?(now - sent), prior = ?previous, "claimed the leadership; loading the state");
        self.election.claim = Some(claim);
        // The cache may still miss requests that were confirmed before the claim.
        self.election.valid_until = Duration::ZERO;
        self.election.verified_at = sent;
        self.election.previous_stopped_at = match previous {
            PreviousLeader::SameNode => Duration::ZERO,
            PreviousLeader::LeaseExpired | PreviousLeader::Resigned => now,
            PreviousLeader::Superseded => now + self.config.leader_ttl,
        };
        self.election.has_requested_claim = true;
        self.election.loader = Some(FailoverLoader::new(WorkerLeases::new(
            self.config.worker_lease_bound,
            self.election.previous_stopped_at,
        )));
        self.election.key_removal = None;
        self.membership.begin_leading(now);
        self.verify_claim();
    }

    /// Handles a change of the leader key.
    pub(super) fn leader_changed(&mut self) {
        self.observe_leader();
        let stored_claim = self.cache.leader.as_ref().map(|(_, version)| *version);
        if let Some(claim) = self.election.claim
            && self.cache.cursor >= claim
            && stored_claim != Some(claim)
        {
            self.drop_leadership("the leader key was removed or replaced");
        }
        if stored_claim.is_none() {
            self.election.retry_at = self.now();
        }
    }

    pub(super) fn observe_leader(&mut self) {
        if let Some((record, version)) = &self.cache.leader
            && self
                .election
                .observed
                .as_ref()
                .is_none_or(|observed| observed.version != *version)
        {
            self.election.observed = Some(ObservedLeader {
                version: *version,
                first_seen: self.now(),
                has_superseded: record.superseded,
            });
            self.forward_handover();
        }
    }

    pub(super) fn drop_leadership(&mut self, reason: &str) {
        if self.election.claim.take().is_some() {
            info!(why = reason, "stopped leading");
        }
        self.cluster = None;
        self.election.loader = None;
        self.write_queue.reset();
        self.ranges.reset();
    }

    /// Stores that the previous leader has stopped, so that the next process of this node need not
    /// wait for it.
    fn store_settled_claim(&mut self) {
        let now = self.now();
        if !self.cache.has_unsettled_claim()
            || !self.is_leader()
            || !self.has_previous_leader_stopped()
            || self.election.settled_write_in_flight
            || now < self.election.settled_retry_base + RETRY_DELAY
        {
            return;
        }
        let Some(claim) = self.claim() else { return };
        self.election.settled_write_in_flight = true;
        self.call(
            Purpose::StoreSettledClaim,
            StateRequest::Txn {
                conditions: vec![if_version(LEADER_KEY, claim)],
                changes: vec![put(SETTLED_CLAIM_KEY, &claim)],
            },
        );
    }

    pub(super) fn settled_claim_answered(&mut self) {
        self.election.settled_write_in_flight = false;
        self.election.settled_retry_base = self.now() + RETRY_DELAY;
    }
}
