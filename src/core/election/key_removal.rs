//! Removal of the leader key after this node has stopped acting as the leader.
//!
//! Owns the request that deletes the key of a released claim. The delete is conditional on that
//! claim, so it never removes a key that another node has written since, and it is retried only
//! until the lease would have expired anyway.

use std::time::Duration;

use super::super::{
    Node, Purpose, RETRY_DELAY,
    store::{LEADER_KEY, StateReply, StateRequest, delete, if_version},
};

#[derive(Debug)]
pub(super) struct KeyRemoval {
    claim: u64,
    started_at: Duration,
    in_flight: bool,
    retry_at: Duration,
}

impl Node {
    /// Removes the leader key of a released claim, so that the next leader need not wait for the
    /// lease to expire. If the removal fails, the lease expires because it is no longer renewed.
    pub(in crate::core) fn remove_leader_key(&mut self, claim: u64, delay: Duration) {
        self.election.lease = None;
        self.election.valid_until = Duration::ZERO;
        self.election.key_removal = Some(KeyRemoval {
            claim,
            started_at: self.now(),
            in_flight: false,
            retry_at: self.now() + delay,
        });
        self.drive_key_removal();
    }

    pub(super) fn drive_key_removal(&mut self) {
        let now = self.now();
        let ttl = self.config.leader_ttl;
        let is_expired = |removal: &mut KeyRemoval| now > removal.started_at + ttl;
        if self.election.key_removal.take_if(is_expired).is_some() {
            return;
        }
        let Some(key_removal) = &mut self.election.key_removal else {
            return;
        };
        if key_removal.in_flight || now < key_removal.retry_at {
            return;
        }
        key_removal.in_flight = true;
        let claim = key_removal.claim;
        self.call(
            Purpose::RemoveLeaderKey { claim },
            StateRequest::Txn {
                conditions: vec![if_version(LEADER_KEY, claim)],
                changes: vec![delete(LEADER_KEY)],
            },
        );
    }

    pub(in crate::core) fn key_removal_answered(&mut self, claim: u64, reply: &StateReply) {
        let retry_at = self.now() + RETRY_DELAY;
        match reply {
            StateReply::Committed { .. } | StateReply::Conflict => {
                self.election
                    .key_removal
                    .take_if(|removal| removal.claim == claim);
            }
            _ => {
                if let Some(key_removal) = &mut self.election.key_removal {
                    key_removal.in_flight = false;
                    key_removal.retry_at = retry_at;
                }
            }
        }
    }
}
