//! Loads the live keys from the state service, watches them, and applies each change to the node.

use std::time::Duration;

use super::{
    Node, Purpose, RETRY_DELAY, WATCH_WAIT,
    job::JobId,
    results::Results,
    state_cache::{StateCache, StateChange},
    store::{LIVE_PREFIX, StateReply, StateRequest},
};

impl Node {
    pub(super) fn drive_watch(&mut self) {
        let now = self.now();
        if !self.cache.loaded {
            if !self.loading && now >= self.load_retry_at {
                self.loading = true;
                self.cache = StateCache::default();
                self.call(
                    Purpose::Load {
                        is_next_page: false,
                    },
                    StateRequest::List {
                        prefix: LIVE_PREFIX.into(),
                        after: None,
                    },
                );
            }
        } else if !self.watching && now >= self.watch_retry_at {
            self.watching = true;
            let watch = self.watch_request(WATCH_WAIT);
            self.call(Purpose::Watch, watch);
        }
    }

    /// Builds the request for the changes after the cursor. With a zero wait, its reply verifies
    /// that the cache is current.
    pub(super) fn watch_request(&self, wait: Duration) -> StateRequest {
        StateRequest::Watch {
            prefix: LIVE_PREFIX.into(),
            after: self.cache.cursor,
            wait,
        }
    }

    pub(super) fn load_answered(&mut self, is_next_page: bool, reply: StateReply) {
        let StateReply::Entries {
            entries,
            more,
            revision,
        } = reply
        else {
            self.loading = false;
            self.load_retry_at = self.now() + RETRY_DELAY;
            return;
        };
        // Pages are read one after another. The watch starts at the revision of the first page,
        // so it delivers every change made while the others were read.
        if !is_next_page {
            self.cache.cursor = revision;
        }
        let last = entries.last().map(|e| e.key.clone());
        self.cache.apply_entries(entries);
        if let (true, Some(last)) = (more, last) {
            self.call(
                Purpose::Load { is_next_page: true },
                StateRequest::List {
                    prefix: LIVE_PREFIX.into(),
                    after: Some(last),
                },
            );
        } else {
            self.loading = false;
            self.cache.loaded = true;
            self.rebuild_graph();
            self.observe_leader();
        }
    }

    /// Applies the reply to a watch. Returns whether the cache is as recent as the reply.
    ///
    /// Events are ignored during a reload: a key set and deleted before the first page was
    /// listed would stay in the cache for good. An incomplete cache also can't confirm that a
    /// job is unknown.
    pub(super) fn apply_watch_reply(&mut self, reply: StateReply) -> bool {
        if !self.cache.loaded {
            return false;
        }
        match reply {
            StateReply::Events { events, revision } => {
                for change in self.cache.apply_events(&events, revision) {
                    self.apply_change(change);
                }
                true
            }
            StateReply::TooOld => {
                // The state service no longer has the changes after the cursor: reload all keys.
                self.cache.loaded = false;
                self.drop_leadership("the watch fell behind the state service's history");
                false
            }
            _ => false,
        }
    }

    fn apply_change(&mut self, change: StateChange) {
        let now = self.now();
        match change {
            StateChange::JobAdded(id) => self.job_added(&id),
            StateChange::JobRemoved(id) => {
                self.write_queue.charge(2.0);
                self.remove_from_graph(&id);
                if let Some(cluster) = &mut self.cluster {
                    cluster.remove_job(&id, now);
                }
            }
            StateChange::LeaderKey => self.leader_changed(),
            StateChange::Generation => {}
            StateChange::StoredHeartbeat(stored_heartbeat) => self
                .membership
                .nodes
                .record_stored_heartbeat(stored_heartbeat, now),
            StateChange::MachineTypes => {
                if let (Some(cluster), Some(types)) = (&mut self.cluster, &self.cache.machine_types)
                {
                    cluster.types = types.clone();
                }
            }
        }
    }

    pub(super) fn job_added(&mut self, id: &JobId) {
        self.write_queue.charge(1.0);
        if let (Some(cluster), Some(job)) = (&mut self.cluster, self.cache.jobs.get(id)) {
            cluster.add_job(id, job, Results::default());
        }
        self.add_to_graph(id);
        self.apply_graph_to_job(id);
    }
}
