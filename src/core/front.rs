//! Users' requests. Any node answers them: jobs live in the state service, and
//! an answer is given only from a copy proven as new as the question.

use std::{sync::Arc, time::Duration};

use super::{
    Answer, Node, Purpose, RequestId,
    job::{FinalRecord, JobId, JobRecord, JobSpec, JobState, Kind, Resources},
    machine::MachineType,
    store::{LIVE, StateReply, StateRequest, delete, final_key, job_key, put, when},
};

/// What is to be answered about a job once its state is known for sure.
#[derive(Debug, Clone)]
pub enum Question {
    Status,
    /// A submission of a job that may be known.
    Repeat,
    /// A submission that can never run, unless the job was accepted before.
    Reject(String),
    Withdraw,
}

#[derive(Debug)]
struct Asked {
    request: RequestId,
    id: JobId,
    question: Question,
}

#[derive(Debug, Default)]
pub struct Front {
    /// Not covered by a proof yet.
    asked: Vec<Asked>,
    /// Covered by the proof under way.
    proving: Vec<Asked>,
    in_flight: bool,
    next_sync: Duration,
}

const RETRY: Duration = Duration::from_secs(1);
/// Questions that wait for a proof at a time.
const ASKED_MOST: usize = 2000;

impl Node {
    pub(super) fn submit(&mut self, request: RequestId, spec: Arc<JobSpec>) {
        let Some(types) = self.mirror.types.clone().filter(|_| self.mirror.loaded) else {
            self.answer(request, Answer::Later { retry: RETRY });
            return;
        };
        let id = spec.id.clone();
        if self.mirror.jobs.contains_key(&id) || self.finals.contains_key(&id) {
            self.ask(request, id, Question::Repeat);
            return;
        }
        if let Some(reason) = self.never_runs(&spec, &types) {
            self.ask(request, id, Question::Reject(reason));
            return;
        }
        let accepted_ms = self.clock.wall_ms;
        let record = JobRecord {
            spec: spec.clone(),
            accepted_ms,
        };
        self.call(
            Purpose::Accept {
                request,
                spec,
                accepted_ms,
            },
            StateRequest::Txn {
                conditions: vec![when(job_key(&id), 0), when(final_key(&id), 0)],
                changes: vec![put(job_key(&id), &record)],
            },
        );
    }

    /// Why a job can never run, if it can't.
    fn never_runs(&self, spec: &JobSpec, types: &[MachineType]) -> Option<String> {
        let Some(team) = self.config.teams.get(&spec.team) else {
            return Some("unknown team".into());
        };
        let fits = types.iter().any(|t| {
            spec.allows_type(&t.name)
                && spec.need.fits_in(&t.size)
                && spec
                    .zone
                    .as_ref()
                    .is_none_or(|zone| t.zones.iter().any(|z| **z == **zone))
        });
        if !fits {
            return Some("a task fits no allowed machine type".into());
        }
        let at_once = match spec.kind {
            Kind::Array => 1,
            Kind::Gang | Kind::Service => spec.tasks,
        };
        let licences = self.config.options.licences.as_deref();
        for (name, seats) in &spec.licences {
            let Some(licence) = licences.and_then(|l| l.licences.get(name)) else {
                return Some(format!("unknown licence {name}"));
            };
            let wanted = u64::from(*seats) * u64::from(at_once);
            if wanted > u64::from(licence.most_for(&spec.team)) {
                return Some(format!("more seats of {name} than the team can have"));
            }
        }
        let sum = Resources::default().plus_times(&spec.need, f64::from(at_once));
        let over = |limit: f64, value: f64| limit > 0.0 && value > limit + 1e-6;
        (over(team.cpus_max, sum.cpus) || over(team.gpus_max, sum.gpus))
            .then(|| "more than the team's limit".into())
    }

    pub(super) fn accepted(
        &mut self,
        request: RequestId,
        spec: Arc<JobSpec>,
        accepted_ms: u64,
        reply: StateReply,
    ) {
        let id = spec.id.clone();
        match reply {
            StateReply::Committed { revision } => {
                let record = JobRecord { spec, accepted_ms };
                if self.mirror.committed_job(&id, record, revision) {
                    self.job_added(&id);
                }
                self.answer(request, Answer::Accepted(id));
            }
            StateReply::Conflict => self.ask(request, id, Question::Repeat),
            StateReply::Refused { retry, .. } => {
                let retry = retry.unwrap_or(RETRY);
                self.answer(request, Answer::Later { retry });
            }
            _ => self.answer(request, Answer::Later { retry: RETRY }),
        }
    }

    pub(super) fn ask(&mut self, request: RequestId, id: JobId, question: Question) {
        if let Some(record) = self.finals.get(&id).copied() {
            self.answer_final(request, &id, &question, record);
        } else if !self.mirror.loaded || self.front.asked.len() >= ASKED_MOST {
            self.answer(request, Answer::Later { retry: RETRY });
        } else {
            self.front.asked.push(Asked {
                request,
                id,
                question,
            });
        }
    }

    pub(super) fn pump_polls(&mut self) {
        let now = self.now();
        if self.front.asked.is_empty() || self.front.in_flight || now < self.front.next_sync {
            return;
        }
        if !self.mirror.loaded {
            self.front.proving = std::mem::take(&mut self.front.asked);
            self.synced(false);
            return;
        }
        self.front.in_flight = true;
        self.front.next_sync = now + self.config.sync_every;
        self.front.proving = std::mem::take(&mut self.front.asked);
        let after = self.mirror.cursor;
        self.call(
            Purpose::Sync,
            StateRequest::Watch {
                prefix: LIVE.into(),
                after,
                wait: Duration::ZERO,
            },
        );
    }

    pub(super) fn synced(&mut self, proven: bool) {
        self.front.in_flight = false;
        for asked in std::mem::take(&mut self.front.proving) {
            if proven {
                self.resolve(asked);
            } else {
                self.answer(asked.request, Answer::Later { retry: RETRY });
            }
        }
    }

    /// The copy is newer than the question.
    fn resolve(&mut self, asked: Asked) {
        let Asked {
            request,
            id,
            question,
        } = asked;
        let Some(job) = self.mirror.jobs.get(&id) else {
            if let Some(record) = self.finals.get(&id).copied() {
                self.answer_final(request, &id, &question, record);
                return;
            }
            // Neither active nor known to be over: its end, if it had one, was
            // stored with its removal from the active ones.
            let key = final_key(&id);
            let waiting = vec![(request, question)];
            self.call(
                Purpose::ReadFinal { id, waiting },
                StateRequest::Get { key },
            );
            return;
        };
        let (done, running) = self.counts(&id);
        let state = match running {
            0 => JobState::Pending,
            _ => JobState::Running,
        };
        match question {
            Question::Status => self.answer(request, Answer::Status(id, state, done, running)),
            Question::Repeat | Question::Reject(_) => {
                self.answer(request, Answer::Known(id, state));
            }
            Question::Withdraw => {
                let record = FinalRecord {
                    state: JobState::Cancelled,
                    done,
                };
                let conditions = vec![when(job_key(&id), job.version)];
                let changes = vec![delete(job_key(&id)), put(final_key(&id), &record)];
                self.call(
                    Purpose::Cancel { request, id },
                    StateRequest::Txn {
                        conditions,
                        changes,
                    },
                );
            }
        }
    }

    fn counts(&self, id: &JobId) -> (u32, u32) {
        match &self.leader {
            Some(leader) => leader.job_counts(id).unwrap_or((0, 0)),
            None => self.relays.counts(id),
        }
    }

    pub(super) fn cancelled(&mut self, request: RequestId, id: JobId, reply: StateReply) {
        let now = self.now();
        match reply {
            StateReply::Committed { revision } => {
                let record = FinalRecord {
                    state: JobState::Cancelled,
                    done: 0,
                };
                self.keep_final(id.clone(), record);
                if revision > self.mirror.cursor {
                    self.mirror.jobs.remove(&id);
                }
                if let Some(leader) = &mut self.leader {
                    leader.remove_job(&id, now);
                }
                self.answer(request, Answer::Known(id, JobState::Cancelled));
            }
            // Done or cancelled meanwhile: asked again.
            StateReply::Conflict => self.ask(request, id, Question::Withdraw),
            _ => self.answer(request, Answer::Later { retry: RETRY }),
        }
    }

    pub(super) fn final_read(
        &mut self,
        id: JobId,
        waiting: Vec<(RequestId, Question)>,
        reply: StateReply,
    ) {
        let record = match &reply {
            StateReply::Entry(entry) => serde_json::from_str(entry.value.get()).ok(),
            _ => None,
        };
        if let Some(record) = record {
            self.keep_final(id.clone(), record);
        }
        for (request, question) in waiting {
            match (record, &reply, &question) {
                (Some(record), _, question) => {
                    self.answer_final(request, &id, question, record);
                }
                (None, StateReply::Missing, Question::Status | Question::Withdraw) => {
                    self.answer(request, Answer::NotFound);
                }
                (None, StateReply::Missing, Question::Reject(reason)) => {
                    self.answer(request, Answer::Impossible(reason.clone()));
                }
                _ => self.answer(request, Answer::Later { retry: RETRY }),
            }
        }
    }

    fn answer_final(
        &mut self,
        request: RequestId,
        id: &JobId,
        question: &Question,
        record: FinalRecord,
    ) {
        let answer = match question {
            Question::Status => Answer::Status(id.clone(), record.state, record.done, 0),
            _ => Answer::Known(id.clone(), record.state),
        };
        self.answer(request, answer);
    }
}
