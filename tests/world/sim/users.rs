//! Users: their jobs, their requests, and the answers they get.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kiteyard::core::{
    Answer, Input,
    job::{JobId, JobSpec, JobState, Kind, Priority, Resources, TaskId},
};
use rand::RngExt;

use super::{Asker, Event, Sabotage, World, ZONES, ms, workers::ToWorker};

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Asking {
    Submit,
    Status,
    Withdraw,
    Stranger,
}

pub struct Job {
    pub spec: JobSpec,
    pub accepted: bool,
    pub withdraw_at: Option<Duration>,
    pub over: bool,
    pub faulty: bool,
}

impl World {
    pub(super) fn make_job(&mut self, i: usize) -> Job {
        let scale = self.scale;
        let rng = &mut self.rng;
        let kind = match rng.random_range(0..10) {
            0..6 => Kind::Array,
            6..8 => Kind::Service,
            _ => Kind::Gang,
        };
        let tasks = match kind {
            Kind::Array => rng.random_range(1..12) * scale.tasks,
            Kind::Service => rng.random_range(1..4),
            Kind::Gang => rng.random_range(2..4),
        };
        let priorities = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Production,
        ];
        let spec = JobSpec {
            id: JobId::parse(&format!("run-{i:06}")).expect("valid job id"),
            class: Arc::from("work"),
            team: Arc::from(if rng.random_bool(0.6) { "red" } else { "blue" }),
            kind,
            priority: priorities[rng.random_range(0..4)],
            tasks,
            need: Resources {
                cpus: f64::from(rng.random_range(1..5u32)),
                gpus: 0.0,
                memory_gb: 1.0,
            },
            image: Arc::from(format!("img-{}", rng.random_range(0..3))),
            image_gb: 1.0,
            types: None,
            zone: rng
                .random_bool(0.2)
                .then(|| ZONES[rng.random_range(0..3)].to_owned()),
            one_zone: rng.random_bool(0.2),
            spread: false,
            spot: rng.random_bool(0.5),
            estimate_s: 5.0,
            checkpoint_s: if rng.random_bool(0.3) { 2.0 } else { 0.0 },
            save_s: 1.0,
            deadline_s: None,
            licences: BTreeMap::new(),
            needs: Vec::new(),
        };
        let spec = JobSpec {
            spread: spec.zone.is_none() && !spec.one_zone && rng.random_bool(0.2),
            ..spec
        };
        let mut spec = spec;
        if scale.seats > 0 && rng.random_bool(0.6) {
            let seats = rng.random_range(1..3);
            spec.licences.insert("solver".into(), seats);
        }
        let service = kind == Kind::Service;
        let withdraw = service || rng.random_bool(0.15);
        Job {
            withdraw_at: withdraw.then(|| ms(rng.random_range(3_000..130_000))),
            accepted: false,
            over: false,
            faulty: rng.random_bool(0.05),
            spec,
        }
    }

    pub(crate) fn spec(&self, task: &TaskId) -> &JobSpec {
        &self.job(task).spec
    }

    pub(super) fn job(&self, task: &TaskId) -> &Job {
        let index: usize = task.job.as_str()[4..].parse().expect("job number");
        &self.jobs[index]
    }

    /// Accepted services, which run until somebody cancels them.
    pub fn services(&self) -> Vec<usize> {
        let running = |job: &Job| job.spec.kind == Kind::Service && job.accepted && !job.over;
        (0..self.jobs.len())
            .filter(|i| running(&self.jobs[*i]))
            .collect()
    }

    pub fn withdraw(&mut self, i: usize, at: Duration) {
        self.jobs[i].withdraw_at = Some(at);
    }

    pub(super) fn user(&mut self, i: usize, node: usize) {
        let now = self.now;
        if self.nodes[node].is_none() {
            return;
        }
        let job = &self.jobs[i];
        let withdraw = job.accepted && !job.over && job.withdraw_at.is_some_and(|at| now > at);
        let stranger = self.rng.random_range(0..40) == 0;
        let repeat = self.rng.random_range(0..25) == 0;
        let asking = if stranger {
            Asking::Stranger
        } else if !job.accepted || repeat {
            Asking::Submit
        } else if withdraw {
            Asking::Withdraw
        } else {
            Asking::Status
        };
        self.ask(i, node, asking);
    }

    /// Sends a user's request about a job to a node.
    pub(super) fn ask(&mut self, i: usize, node: usize, asking: Asking) {
        let now = self.now;
        if self.nodes[node].is_none() {
            return;
        }
        let job = &self.jobs[i];
        self.next_request += 1;
        let request = self.next_request;
        let id = job.spec.id.clone();
        let input = if asking == Asking::Stranger {
            let id = JobId::parse(&format!("run-9{i:05}")).expect("valid job id");
            Input::Status { request, id }
        } else if asking == Asking::Submit {
            let mut spec = job.spec.clone();
            if self.sabotage == Sabotage::BlindForPriorities {
                spec.priority = Priority::Low;
            }
            if self.sabotage == Sabotage::BlindForPlaces {
                spec.zone = None;
                spec.one_zone = false;
                spec.spot = true;
            }
            let spec = Arc::new(spec);
            Input::Submit { request, spec }
        } else if asking == Asking::Withdraw {
            self.observer.withdrawn(&id);
            Input::Withdraw { request, id }
        } else {
            Input::Status { request, id }
        };
        let before = self.observer.state(&self.jobs[i].spec.id);
        let epoch = self.epochs[node];
        self.meetings.unanswered.insert(i, node);
        self.asked
            .insert((node, epoch, request), Asker::User(i, asking, before));
        let at = now + self.delay();
        self.copy_user(&input);
        if self.sabotage == Sabotage::PassesOver && i < 3 && asking == Asking::Status {
            return;
        }
        self.push(at, Event::ToNode(node, epoch, input));
    }

    pub(super) fn answered(&mut self, node: usize, asker: Asker, answer: Answer) {
        let now = self.now;
        match asker {
            Asker::Worker(name, id) => {
                let Some(zone) = self.workers.get(&name).map(|w| w.zone) else {
                    return;
                };
                if let Some(at) = self.worker_path(node, zone) {
                    self.push(at, Event::AtWorker(name, ToWorker::Answer(id, answer)));
                }
            }
            Asker::Odd(reason, id) => self.odd_answered(node, reason, &id, &answer),
            Asker::UnknownNeed(number) => self.unknown_need_answered(number, &answer),
            Asker::User(i, asking, before) => {
                self.meetings.unanswered.remove(&i);
                let spec = self.jobs[i].spec.clone();
                let state = match &answer {
                    Answer::Accepted(id) => {
                        if before.is_some() {
                            self.observer.breaks(now, "accepted_again", id.to_string());
                        }
                        JobState::Pending
                    }
                    Answer::Known(_, state) | Answer::Status(_, state, _, _) => *state,
                    Answer::Waiting(_, on) => {
                        self.told_waiting(i, on);
                        JobState::Pending
                    }
                    Answer::NotFound => {
                        if asking != Asking::Stranger {
                            self.observer.not_found(now, &spec.id, before.is_some());
                        }
                        return;
                    }
                    Answer::Impossible(reason) => {
                        if self.is_stage(i) {
                            let what = format!("{}: {reason}", spec.id);
                            self.observer.breaks(now, "refused", what);
                        }
                        self.observer.rejected(now, &spec.id);
                        // Users stop polling a job that can never run.
                        self.jobs[i].over = true;
                        return;
                    }
                    _ => return,
                };
                if asking == Asking::Stranger {
                    self.observer.known_without_submission(now, &spec.id);
                    return;
                }
                self.jobs[i].accepted = true;
                self.jobs[i].over |= matches!(state, JobState::Done | JobState::Cancelled);
                self.observer.told(now, &spec, state, before);
                let accepted = matches!(answer, Answer::Accepted(_));
                if !accepted && matches!(state, JobState::Pending | JobState::Running) {
                    self.observer.told_active(now, &spec.id, state);
                }
                self.observer.answered(now, &spec.id);
                self.stage_told(i);
                self.look_closely(i, state);
            }
        }
    }
}
