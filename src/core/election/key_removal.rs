//! Giving the leader key away after this node has stopped acting.
//!
//! Owns the request that deletes the key of a claim that was given up. It deletes that key
//! only as it stands under that claim, never one that another node has put there since, and
//! it gives up after the lease would have ended by itself.

use std::time::Duration;

use super::super::{
    Node, Purpose, RETRY_DELAY,
    store::{LEADER_KEY, StateReply, StateRequest, delete, if_version},
};

#[derive(Debug)]
pub(super) struct KeyRemoval {
    claim: u64,
    since: Duration,
    asking: bool,
    retry: Duration,
}

impl Node {
    /// Removes the key of a claim that this node has given up, after it stopped acting:
    /// the next leader need not wait for the end of the lease then. If it can't be
    /// removed, the lease, which is not renewed any more, ends by itself.
    pub(in crate::core) fn remove_leader_key(&mut self, claim: u64, wait: Duration) {
        self.election.lease = None;
        self.election.valid_until = Duration::ZERO;
        self.election.key_removal = Some(KeyRemoval {
            claim,
            since: self.now(),
            asking: false,
            retry: self.now() + wait,
        });
        self.drive_key_removal();
    }

    pub(super) fn drive_key_removal(&mut self) {
        let now = self.now();
        let ttl = self.config.leader_ttl;
        let over = |v: &mut KeyRemoval| now > v.since + ttl;
        if self.election.key_removal.take_if(over).is_some() {
            return;
        }
        let Some(key_removal) = &mut self.election.key_removal else {
            return;
        };
        if key_removal.asking || now < key_removal.retry {
            return;
        }
        key_removal.asking = true;
        let claim = key_removal.claim;
        self.call(
            Purpose::RemoveLeaderKey { claim },
            StateRequest::Txn {
                conditions: vec![if_version(LEADER_KEY, claim)],
                changes: vec![delete(LEADER_KEY)],
            },
        );
    }

    pub(in crate::core) fn leader_key_removed(&mut self, claim: u64, reply: &StateReply) {
        let retry = self.now() + RETRY_DELAY;
        match reply {
            StateReply::Committed { .. } | StateReply::Conflict => {
                self.election.key_removal.take_if(|v| v.claim == claim);
            }
            _ => {
                if let Some(key_removal) = &mut self.election.key_removal {
                    key_removal.asking = false;
                    key_removal.retry = retry;
                }
            }
        }
    }
}
