//! The state service as the nodes see it: slow, refusing, or unreachable.

use kiteyard::core::{
    CallId, Input,
    store::{ASSIGNMENTS_PREFIX, CLAIMS_KEY, Change, PROGRESS_PREFIX, StateReply, StateRequest},
};
use rand::RngExt;

use super::{Event, Sabotage, World, ms, pipelines::without_end_times};

impl World {
    pub(super) fn at_state(
        &mut self,
        node: usize,
        epoch: u64,
        call: CallId,
        request: StateRequest,
    ) {
        let now = self.now;
        if self.unreached[node] > now {
            // The sender has given up by then; half of the requests still arrive when the partition
            // is over.
            if self.rng.random_bool(0.5) {
                let late = self.unreached[node] + ms(self.rng.random_range(1..50));
                self.push(late, Event::AtState(node, 0, call, request));
            }
            let unclear = Input::State {
                call,
                reply: StateReply::Unclear,
            };
            self.push(now + ms(1500), Event::ToNode(node, epoch, unclear));
            return;
        }
        let reply = if self.outage || self.refused[node] > now {
            StateReply::Refused {
                retry_after: None,
                rate_limited: false,
            }
        } else {
            let mut request = self.tampered_forms(node, self.tampered(request));
            self.drop_conditions(&mut request);
            if self.crashes_before(node, &request) {
                return;
            }
            if self.swallowed(node, &request) {
                return;
            }
            let before = self.state.revision();
            let reply = match (&request, self.sabotage) {
                (StateRequest::Watch { after, wait, .. }, sabotage)
                    if wait.is_zero() && self.believes(node, sabotage) =>
                {
                    Some(StateReply::Events {
                        events: Vec::new(),
                        revision: *after,
                    })
                }
                // The write is never applied to the store.
                _ if self.pretends(&request) => Some(StateReply::Committed {
                    revision: u64::MAX >> 20,
                }),
                _ => self.state.call(now, &request),
            };
            let reply = reply.map(|mut reply| {
                self.tampered_end(&request, &mut reply);
                reply
            });
            self.look_at_commit(&request, reply.as_ref());
            self.note_claim(node, &request, reply.as_ref());
            if self.state.revision() != before {
                self.wake_watches();
                self.look_at_stage();
            }
            if self.crashes_after(node) {
                return;
            }
            match reply {
                Some(reply) if self.answer_lost(&request, &reply) => return,
                Some(reply) => reply,
                None => {
                    self.watches
                        .push((node, epoch, call, request, now + ms(9000)));
                    return;
                }
            }
        };
        self.reply_state(node, epoch, call, reply);
    }

    pub fn wake_watches(&mut self) {
        for (node, epoch, call, request, until) in std::mem::take(&mut self.watches) {
            // Watches that are open when a node is partitioned return nothing more either.
            if self.now >= until || self.unreached[node] > self.now {
                continue;
            }
            if self.swallowed(node, &request) {
                continue;
            }
            // While a node is refused, its open watches wait as they would during an outage.
            if self.outage || self.refused[node] > self.now {
                self.watches.push((node, epoch, call, request, until));
                continue;
            }
            match self.state.call(self.now, &request) {
                Some(reply) => self.reply_state(node, epoch, call, reply),
                None => self.watches.push((node, epoch, call, request, until)),
            }
        }
    }

    fn reply_state(&mut self, node: usize, epoch: u64, call: CallId, mut reply: StateReply) {
        self.tamper_reply(node, &mut reply);
        self.tamper_roster(&mut reply);
        let mut at = self.now + self.delay();
        if self.now < self.slow_until {
            at += ms(self.rng.random_range(50..500));
        }
        if let StateReply::Events { events, .. } = &mut reply {
            match self.sabotage {
                Sabotage::DeafForCancellations => {
                    events.retain(|e| e.value.is_some() || !e.key.starts_with("live/job"));
                }
                Sabotage::EndsLookNew => self.ends_look_new(events),
                Sabotage::UnprovenAnswers if !events.is_empty() => at += ms(6000),
                _ => {}
            }
        }
        // One in 200 answers is lost.
        if self.rng.random_range(0..200) != 0 {
            self.push(at, Event::ToNode(node, epoch, Input::State { call, reply }));
        }
    }

    /// Removes the jobs of machines from the shards of the assignment index.
    fn tamper_roster(&self, reply: &mut StateReply) {
        let StateReply::Entries { entries, .. } = reply else {
            return;
        };
        if self.sabotage != Sabotage::RosterWithoutJobs {
            return;
        }
        for entry in entries
            .iter_mut()
            .filter(|e| e.key.starts_with(ASSIGNMENTS_PREFIX))
        {
            let mut shard: serde_json::Value = serde_json::from_str(entry.value.get())
                .expect("valid shard of the assignment index");
            let machines = shard["machines"]
                .as_array_mut()
                .expect("machines of the shard");
            for machine in machines {
                machine[2] = serde_json::json!([]);
            }
            let text = shard.to_string();
            entry.value = serde_json::value::RawValue::from_string(text).expect("valid JSON");
        }
    }

    pub fn tampered(&self, mut request: StateRequest) -> StateRequest {
        if let (Sabotage::ForgetEnds, StateRequest::Txn { changes, .. }) =
            (self.sabotage, &mut request)
        {
            changes.retain(|c| !matches!(c, Change::Put { key, .. } if key.starts_with("final/")));
        }
        if let (Sabotage::ForgetsEndTimes, StateRequest::Txn { changes, .. }) =
            (self.sabotage, &mut request)
        {
            without_end_times(changes);
        }
        let dropped = match self.sabotage {
            Sabotage::ResultsByKeyAlone => PROGRESS_PREFIX,
            Sabotage::ClaimsByKeyAlone => CLAIMS_KEY,
            _ => return request,
        };
        if let StateRequest::Txn { conditions, .. } = &mut request {
            conditions.retain(|c| !c.key.starts_with(dropped));
        }
        request
    }
}
