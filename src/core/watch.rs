//! Reading what is stored, once and then by watching, and what each change means here.

use std::time::Duration;

use super::{
    BACK_OFF, Node, Purpose, WATCH_WAIT,
    job::JobId,
    results::Results,
    state_cache::{StateCache, StateChange},
    store::{LIVE, StateReply, StateRequest},
};

impl Node {
    pub(super) fn drive_watch(&mut self) {
        let now = self.now();
        if !self.cache.loaded {
            if !self.loading && now >= self.retry_load {
                self.loading = true;
                self.cache = StateCache::default();
                self.call(
                    Purpose::Load { after: false },
                    StateRequest::List {
                        prefix: LIVE.into(),
                        after: None,
                    },
                );
            }
        } else if !self.watching && now >= self.retry_watch {
            self.watching = true;
            let watch = self.watch(WATCH_WAIT);
            self.call(Purpose::Watch, watch);
        }
    }

    /// Asks for what is not in the cache yet. One that does not wait proves the cache.
    pub(super) fn watch(&self, wait: Duration) -> StateRequest {
        StateRequest::Watch {
            prefix: LIVE.into(),
            after: self.cache.cursor,
            wait,
        }
    }

    pub(super) fn loaded(&mut self, after: bool, reply: StateReply) {
        let StateReply::Entries {
            entries,
            more,
            revision,
        } = reply
        else {
            self.loading = false;
            self.retry_load = self.now() + BACK_OFF;
            return;
        };
        // Pages are read one after another; the watch from the first page's
        // revision on brings whatever changed meanwhile.
        if !after {
            self.cache.cursor = revision;
        }
        let last = entries.last().map(|e| e.key.clone());
        self.cache.load(entries);
        if let (true, Some(last)) = (more, last) {
            self.call(
                Purpose::Load { after: true },
                StateRequest::List {
                    prefix: LIVE.into(),
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

    /// Takes in the events of a watch; says whether the cache is proven.
    ///
    /// While everything is read again there is no copy that events could continue: what is
    /// set before the first page and deleted before it as well would stay for ever, and an
    /// empty copy is no proof that a job is unknown.
    pub(super) fn take_events(&mut self, reply: StateReply) -> bool {
        if !self.cache.loaded {
            return false;
        }
        match reply {
            StateReply::Events { events, revision } => {
                for change in self.cache.advance(&events, revision) {
                    self.apply_change(change);
                }
                true
            }
            StateReply::TooOld => {
                // Too much was missed: everything is read again.
                self.cache.loaded = false;
                self.drop_leadership("fell behind the state service");
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
            StateChange::Cluster => {}
            StateChange::StoredHeartbeat(stored_heartbeat) => self
                .membership
                .nodes
                .stored_heartbeat(stored_heartbeat, now),
            StateChange::Types => {
                if let (Some(cluster), Some(types)) = (&mut self.cluster, &self.cache.types) {
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
