//! Users: their jobs, their requests, and the answers they get.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kiteyard::core::{
    Answer, Input,
    job::{JobId, JobSpec, JobState, Kind, Priority, Resources, TaskId},
};
use rand::RngExt;

use super::{Defect, Event, Requester, World, ZONES, ms, workers::WorkerMessage};

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UserAction {
    Submit,
    Status,
    Withdraw,
    UnknownJob,
}

pub struct Job {
    pub spec: JobSpec,
    pub accepted: bool,
    pub withdraw_at: Option<Duration>,
    pub ended: bool,
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
            Kind::Array => rng.random_range(1..12) * scale.array_factor,
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
            ended: false,
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
        let running = |job: &Job| job.spec.kind == Kind::Service && job.accepted && !job.ended;
        (0..self.jobs.len())
            .filter(|i| running(&self.jobs[*i]))
            .collect()
    }

    pub fn withdraw(&mut self, i: usize, at: Duration) {
        self.jobs[i].withdraw_at = Some(at);
    }

    pub(super) fn poll_job(&mut self, i: usize, node: usize) {
        let now = self.now;
        if self.nodes[node].is_none() {
            return;
        }
        let job = &self.jobs[i];
        let withdraw = job.accepted && !job.ended && job.withdraw_at.is_some_and(|at| now > at);
        let unknown_job = self.rng.random_range(0..40) == 0;
        let repeat = self.rng.random_range(0..25) == 0;
        let action = if unknown_job {
            UserAction::UnknownJob
        } else if !job.accepted || repeat {
            UserAction::Submit
        } else if withdraw {
            UserAction::Withdraw
        } else {
            UserAction::Status
        };
        self.send_user_request(i, node, action);
    }

    /// Sends a user's request about a job to a node.
    pub(super) fn send_user_request(&mut self, i: usize, node: usize, action: UserAction) {
        let now = self.now;
        if self.nodes[node].is_none() {
            return;
        }
        let job = &self.jobs[i];
        self.next_request += 1;
        let request = self.next_request;
        let id = job.spec.id.clone();
        let input = if action == UserAction::UnknownJob {
            let id = JobId::parse(&format!("run-9{i:05}")).expect("valid job id");
            Input::Status { request, id }
        } else if action == UserAction::Submit {
            let mut spec = job.spec.clone();
            if self.defect == Defect::IgnoresPriorities {
                spec.priority = Priority::Low;
            }
            if self.defect == Defect::IgnoresPlacement {
                spec.zone = None;
                spec.one_zone = false;
                spec.spot = true;
            }
            let spec = Arc::new(spec);
            Input::Submit { request, spec }
        } else if action == UserAction::Withdraw {
            self.observer.record_withdrawal(&id);
            Input::Withdraw { request, id }
        } else {
            Input::Status { request, id }
        };
        let before = self.observer.state(&self.jobs[i].spec.id);
        let epoch = self.epochs[node];
        self.combined_faults.unanswered.insert(i, node);
        self.pending_requests
            .insert((node, epoch, request), Requester::User(i, action, before));
        let at = now + self.delay();
        self.duplicate_user_request(&input);
        if self.defect == Defect::IgnoresRequests && i < 3 && action == UserAction::Status {
            return;
        }
        self.push(at, Event::NodeInput(node, epoch, input));
    }

    pub(super) fn handle_answer(&mut self, node: usize, requester: Requester, answer: Answer) {
        let now = self.now;
        match requester {
            Requester::Worker(name, id) => {
                let Some(zone) = self.workers.get(&name).map(|w| w.zone) else {
                    return;
                };
                if let Some(at) = self.worker_path(node, zone) {
                    self.push(
                        at,
                        Event::WorkerMessage(name, WorkerMessage::Answer(id, answer)),
                    );
                }
            }
            Requester::Unrunnable(reason, id) => {
                self.handle_unrunnable_answer(node, reason, &id, &answer)
            }
            Requester::UnknownDependency(number) => {
                self.handle_unknown_dependency_answer(number, &answer)
            }
            Requester::User(i, action, before) => {
                self.combined_faults.unanswered.remove(&i);
                let spec = self.jobs[i].spec.clone();
                let state = match &answer {
                    Answer::Accepted(id) => {
                        if before.is_some() {
                            self.observer
                                .report_violation(now, "accepted_again", id.to_string());
                        }
                        JobState::Pending
                    }
                    Answer::Known(_, state) | Answer::Status(_, state, _, _) => *state,
                    Answer::Waiting(_, on) => {
                        self.check_waiting_answer(i, on);
                        JobState::Pending
                    }
                    Answer::NotFound => {
                        if action != UserAction::UnknownJob {
                            self.observer
                                .check_not_found(now, &spec.id, before.is_some());
                        }
                        return;
                    }
                    Answer::Impossible(reason) => {
                        if self.in_pipeline(i) {
                            let detail = format!("{}: {reason}", spec.id);
                            self.observer.report_violation(now, "refused", detail);
                        }
                        self.observer.check_rejected(now, &spec.id);
                        // Users stop polling a job that can never run.
                        self.jobs[i].ended = true;
                        return;
                    }
                    _ => return,
                };
                if action == UserAction::UnknownJob {
                    self.observer.report_unsubmitted(now, &spec.id);
                    return;
                }
                self.jobs[i].accepted = true;
                self.jobs[i].ended |= matches!(state, JobState::Done | JobState::Cancelled);
                self.observer.record_state(now, &spec, state, before);
                let accepted = matches!(answer, Answer::Accepted(_));
                if !accepted && matches!(state, JobState::Pending | JobState::Running) {
                    self.observer.record_active(now, &spec.id, state);
                }
                self.observer.record_answer(now, &spec.id);
                self.record_stage_answer(i);
                self.poll_all_nodes(i, state);
            }
        }
    }
}
