//! The state service as the nodes see it: slow, refusing, or unreachable.

use kiteyard::core::{
    CallId, Input,
    store::{ASSIGNMENTS_PREFIX, CLAIMS_KEY, Change, PROGRESS_PREFIX, StateReply, StateRequest},
};
use rand::RngExt;

use super::{Defect, Event, World, ms, pipelines::remove_terminal_times};

impl World {
    pub(super) fn handle_state_call(
        &mut self,
        node: usize,
        epoch: u64,
        call: CallId,
        request: StateRequest,
    ) {
        let now = self.now;
        if self.state_unreachable_until[node] > now {
            // The sender has given up by then; half of the requests still arrive after the
            // partition.
            if self.rng.random_bool(0.5) {
                let late = self.state_unreachable_until[node] + ms(self.rng.random_range(1..50));
                self.push(late, Event::StateCall(node, 0, call, request));
            }
            let unclear = Input::State {
                call,
                reply: StateReply::Unclear,
            };
            self.push(now + ms(1500), Event::NodeInput(node, epoch, unclear));
            return;
        }
        let reply = if self.outage || self.refused_until[node] > now {
            StateReply::Refused {
                retry_after: None,
                rate_limited: false,
            }
        } else {
            let mut request =
                self.without_generation_conditions(node, self.tampered_request(request));
            self.drop_conditions(&mut request);
            if self.crashes_before(node, &request) {
                return;
            }
            if self.drops_watch(node, &request) {
                return;
            }
            let before = self.state.revision();
            let reply = match (&request, self.defect) {
                (StateRequest::Watch { after, wait, .. }, defect)
                    if wait.is_zero() && self.skips_watch_proof(node, defect) =>
                {
                    Some(StateReply::Events {
                        events: Vec::new(),
                        revision: *after,
                    })
                }
                // The write is never applied to the store.
                _ if self.fakes_zone_removal(&request) => Some(StateReply::Committed {
                    revision: u64::MAX >> 20,
                }),
                _ => self.state.call(now, &request),
            };
            let reply = reply.map(|mut reply| {
                self.tamper_terminal_state(&request, &mut reply);
                reply
            });
            self.observe_commit(&request, reply.as_ref());
            self.record_claim(node, &request, reply.as_ref());
            if self.state.revision() != before {
                self.wake_watches();
                self.track_stage();
            }
            if self.crashes_after(node) {
                return;
            }
            match reply {
                Some(reply) if self.loses_answer(&request, &reply) => return,
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
            // Expired watches, and open watches of a partitioned node, get no answer.
            if self.now >= until || self.state_unreachable_until[node] > self.now {
                continue;
            }
            if self.drops_watch(node, &request) {
                continue;
            }
            // While a node is refused, its open watches wait as they would during an outage.
            if self.outage || self.refused_until[node] > self.now {
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
        self.tamper_assignments(&mut reply);
        let mut at = self.now + self.delay();
        if self.now < self.state_slow_until {
            at += ms(self.rng.random_range(50..500));
        }
        if let StateReply::Events { events, .. } = &mut reply {
            match self.defect {
                Defect::MissesCancellations => {
                    events.retain(|e| e.value.is_some() || !e.key.starts_with("live/job"));
                }
                Defect::EndedJobsLookNew => self.announce_ended_jobs(events),
                Defect::UnverifiedAnswers if !events.is_empty() => at += ms(6000),
                _ => {}
            }
        }
        // One in 200 answers is lost.
        if self.rng.random_range(0..200) != 0 {
            self.push(
                at,
                Event::NodeInput(node, epoch, Input::State { call, reply }),
            );
        }
    }

    /// Removes the jobs of machines from the shards of the assignment index.
    fn tamper_assignments(&self, reply: &mut StateReply) {
        let StateReply::Entries { entries, .. } = reply else {
            return;
        };
        if self.defect != Defect::AssignmentsWithoutJobs {
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

    pub fn tampered_request(&self, mut request: StateRequest) -> StateRequest {
        if let (Defect::LosesTerminalStates, StateRequest::Txn { changes, .. }) =
            (self.defect, &mut request)
        {
            changes.retain(|c| !matches!(c, Change::Put { key, .. } if key.starts_with("final/")));
        }
        if let (Defect::LosesTerminalTimes, StateRequest::Txn { changes, .. }) =
            (self.defect, &mut request)
        {
            remove_terminal_times(changes);
        }
        let dropped = match self.defect {
            Defect::UnconditionalResults => PROGRESS_PREFIX,
            Defect::ClaimChecksKeyAlone => CLAIMS_KEY,
            _ => return request,
        };
        if let StateRequest::Txn { conditions, .. } = &mut request {
            conditions.retain(|c| !c.key.starts_with(dropped));
        }
        request
    }
}
