//! Reading what is stored, once and then by watching, and what each change means here.

use std::time::Duration;

use super::{
    BACK_OFF, Node, Purpose, WATCH_WAIT,
    job::JobId,
    mirror::{Mirror, Noticed},
    results::Results,
    store::{LIVE, StateReply, StateRequest},
};

impl Node {
    pub(super) fn pump_mirror(&mut self) {
        let now = self.now();
        if !self.mirror.loaded {
            if !self.loading && now >= self.retry_load {
                self.loading = true;
                self.mirror = Mirror::default();
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

    /// Asks for what is not in the copy yet. One that does not wait proves the copy.
    pub(super) fn watch(&self, wait: Duration) -> StateRequest {
        StateRequest::Watch {
            prefix: LIVE.into(),
            after: self.mirror.cursor,
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
            self.mirror.cursor = revision;
        }
        let last = entries.last().map(|e| e.key.clone());
        self.mirror.load(entries);
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
            self.mirror.loaded = true;
            self.leader_seen();
        }
    }

    /// Takes in the events of a watch; says whether the copy is proven.
    ///
    /// While everything is read again there is no copy that events could continue: what is
    /// set before the first page and deleted before it as well would stay for ever, and an
    /// empty copy is no proof that a job is unknown.
    pub(super) fn take_events(&mut self, reply: StateReply) -> bool {
        if !self.mirror.loaded {
            return false;
        }
        match reply {
            StateReply::Events { events, revision } => {
                for noticed in self.mirror.advance(&events, revision) {
                    self.notice(noticed);
                }
                true
            }
            StateReply::TooOld => {
                // Too much was missed: everything is read again.
                self.mirror.loaded = false;
                self.drop_leader("fell behind the state service");
                false
            }
            _ => false,
        }
    }

    fn notice(&mut self, noticed: Noticed) {
        let now = self.now();
        match noticed {
            Noticed::JobAdded(id) => self.job_added(&id),
            Noticed::JobRemoved(id) => {
                self.saves.charge(2.0);
                if let Some(leader) = &mut self.leader {
                    leader.remove_job(&id, now);
                }
            }
            Noticed::Leader => self.leader_changed(),
            Noticed::Cluster => {}
            Noticed::Sign(sign) => self.members.nodes.sign(sign, now),
            Noticed::Types => {
                if let (Some(leader), Some(types)) = (&mut self.leader, &self.mirror.types) {
                    leader.types = types.clone();
                }
            }
        }
    }

    pub(super) fn job_added(&mut self, id: &JobId) {
        self.saves.charge(1.0);
        if let (Some(leader), Some(job)) = (&mut self.leader, self.mirror.jobs.get(id)) {
            leader.add_job(id, job, Results::default());
        }
    }
}
