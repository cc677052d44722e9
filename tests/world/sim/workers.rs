//! The workers: leases, sessions, tasks, reports and commands.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kiteyard::core::{
    Answer, CallId, Input, Output, RequestId,
    assignment_index::ShardRecord,
    cluster::DirectCommands,
    job::{JobId, JobState, Kind, TaskId},
    machine::{Command, DirectReply, ExitReason, ReportedTask, TaskPhase, WorkerReport},
    store::{ASSIGNMENTS_PREFIX, Entry},
};
use rand::RngExt;

use super::{CPUS, Defect, Event, NODES, Requester, World, ZONES, ms};
use crate::observer::Running;

/// Time at which machines without tasks stop reporting, for `Defect::IdleMachinesSilent`.
const IDLE_REPORTS_UNTIL: Duration = Duration::from_secs(20);

#[derive(Debug)]
pub enum WorkerMessage {
    Answer(u64, Answer),
    Do(usize, u64, CallId, DirectCommands),
}

pub struct WorkerTask {
    pub phase: TaskPhase,
    /// End of the current phase: image fetched, task ended, or wait given up.
    pub until: Duration,
}

pub struct Worker {
    pub zone: usize,
    pub spot: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: BTreeMap<(TaskId, u64), WorkerTask>,
    pub lease_started: Duration,
    pub node: usize,
    pub in_flight: Option<(u64, Duration)>,
    pub next_report: Duration,
    pub last_sent: Duration,
    pub hung_until: Duration,
    /// All tasks fail here until then.
    pub faulty_until: Duration,
    /// Rate of the worker's clock relative to real time.
    pub clock_rate: f64,
    pub reports: u64,
    pub notice: Option<Duration>,
}

impl Worker {
    pub fn has_recent_answer(&self, now: Duration) -> bool {
        now < self.lease_started + ms(1500)
    }

    /// Whether a task here has its image.
    pub fn has_started_task(&self) -> bool {
        self.tasks.values().any(|t| t.phase.has_image())
    }
}

impl World {
    /// The worker that waits for this answer.
    pub fn requesting_worker(&self, request: RequestId) -> Option<String> {
        let mut pending = self.pending_requests.iter();
        pending.find_map(|((_, _, pending), requester)| match requester {
            Requester::Worker(name, _) if *pending == request => Some(name.clone()),
            _ => None,
        })
    }

    pub(super) fn worker_tick(&mut self, name: &str) {
        let now = self.now;
        if let Some((zone, spot, _)) = self.booting.remove(name) {
            let clock_rate = 1.0 - 5e-4 + self.rng.random_range(0..10) as f64 * 1e-4;
            let node = self.rng.random_range(0..NODES);
            self.workers.insert(
                name.to_owned(),
                Worker {
                    zone,
                    spot,
                    session: 1,
                    seq: 0,
                    token: 0,
                    tasks: BTreeMap::new(),
                    lease_started: now,
                    node,
                    in_flight: None,
                    next_report: now,
                    last_sent: Duration::ZERO,
                    hung_until: Duration::ZERO,
                    faulty_until: Duration::ZERO,
                    clock_rate,
                    reports: 0,
                    notice: None,
                },
            );
            self.record_boot(name);
        }
        if !self.workers.contains_key(name) {
            return;
        }
        // A hung machine resumes within its lease or loses its tasks.
        self.check_lease(name);
        if self.workers[name].hung_until > now {
            self.push(
                now + self.scale.worker_interval,
                Event::WorkerTick(name.to_owned()),
            );
            return;
        }
        self.run_tasks(name);
        self.maybe_report(name);
        self.push(
            now + self.scale.worker_interval,
            Event::WorkerTick(name.to_owned()),
        );
    }

    fn check_lease(&mut self, name: &str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("known worker");
        if (now - worker.lease_started).mul_f64(worker.clock_rate) <= self.scale.lease {
            return;
        }
        worker.session += 1;
        worker.lease_started = now;
        worker.in_flight = None;
        worker.next_report = now;
        for ((task, _), t) in std::mem::take(&mut worker.tasks) {
            if t.phase.has_image() {
                self.observer.record_task_end(&task, name, false);
            }
        }
    }

    fn run_tasks(&mut self, name: &str) {
        let now = self.now;
        let keys: Vec<(TaskId, u64)> = self.workers[name].tasks.keys().cloned().collect();
        let mut changed = false;
        for key in keys {
            let spec = self.spec(&key.0).clone();
            let faulty = self.job(&key.0).faulty || self.workers[name].faulty_until > now;
            let (phase, until) = {
                let t = &self.workers[name].tasks[&key];
                (t.phase, t.until)
            };
            let is_complete = || {
                let members_on = |w: &Worker| {
                    w.tasks
                        .iter()
                        .filter(|((t, a), x)| {
                            t.job == key.0.job && *a == key.1 && x.phase.has_image()
                        })
                        .count()
                };
                self.workers.values().map(members_on).sum::<usize>() == spec.tasks as usize
            };
            let runs_until = match spec.kind {
                Kind::Service => self.scale.duration * 2,
                _ => {
                    now + ms((1500 + u64::from(key.0.index % 7) * 700) * self.scale.duration_factor)
                }
            };
            let next = match phase {
                TaskPhase::Fetching if now >= until => {
                    let (zone, spot) = (self.workers[name].zone, self.workers[name].spot);
                    let running = Running {
                        spec: spec.clone(),
                        machine: name.to_owned(),
                        zone: ZONES[zone].to_owned(),
                        spot,
                    };
                    self.observer.record_start(now, &key.0, running);
                    if self.completed_tasks.contains(&key.0) {
                        Some((TaskPhase::Exited(ExitReason::Done), now))
                    } else if spec.kind == Kind::Gang {
                        Some((TaskPhase::Waiting, now + self.scale.gang_wait))
                    } else {
                        Some((TaskPhase::Running, runs_until))
                    }
                }
                TaskPhase::Waiting if is_complete() => {
                    let until = now + ms(4000) * self.scale.duration_factor as u32;
                    Some((TaskPhase::Running, until))
                }
                TaskPhase::Waiting if now >= until => {
                    // With a complete gang, the branch above sets the task running instead.
                    Some((TaskPhase::Exited(ExitReason::Incomplete), now))
                }
                TaskPhase::Running if faulty => Some((TaskPhase::Exited(ExitReason::Error), now)),
                TaskPhase::Running if spec.kind == Kind::Gang && !is_complete() && now < until => {
                    Some((TaskPhase::Exited(ExitReason::Peers), now))
                }
                TaskPhase::Running if now >= until => {
                    Some((TaskPhase::Exited(ExitReason::Done), now))
                }
                TaskPhase::Saving if now >= until => {
                    Some((TaskPhase::Exited(ExitReason::Stopped { saved: true }), now))
                }
                _ => None,
            };
            let Some((phase, until)) = next else { continue };
            changed = true;
            if phase.exited() {
                let done = phase == TaskPhase::Exited(ExitReason::Done);
                if done {
                    // The tasks of a gang complete together.
                    let all = if spec.kind == Kind::Gang {
                        0..spec.tasks
                    } else {
                        key.0.index..key.0.index + 1
                    };
                    for index in all {
                        let task = TaskId {
                            job: key.0.job.clone(),
                            index,
                        };
                        self.completed_tasks.insert(task.clone());
                        self.observer.record_task_end(&task, "", true);
                    }
                    self.on_task_done(&key.0.job);
                }
                self.observer.record_task_end(&key.0, name, done);
            }
            let worker = self.workers.get_mut(name).expect("known worker");
            worker.tasks.insert(key, WorkerTask { phase, until });
        }
        if changed {
            self.report_soon(name);
        }
    }

    pub fn hang(&mut self, name: &str, until: Duration) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.hung_until = until;
        }
    }

    /// Jobs that have a task with its image on a machine.
    pub fn running_jobs(&self) -> Vec<usize> {
        (0..self.jobs.len())
            .filter(|job| !self.machines_of(&[*job]).is_empty())
            .collect()
    }

    pub fn machines_of(&self, jobs: &[usize]) -> Vec<String> {
        let ids: Vec<&JobId> = jobs.iter().map(|job| &self.jobs[*job].spec.id).collect();
        let holds = |worker: &Worker| {
            let mut tasks = worker.tasks.iter();
            tasks.any(|((task, _), t)| t.phase.has_image() && ids.contains(&&task.job))
        };
        let holding = self.workers.iter().filter(|(_, worker)| holds(worker));
        holding.map(|(name, _)| name.clone()).collect()
    }

    /// With `Defect::FollowersRenew`, turns a follower's redirect into an answer that renews the
    /// lease; with `Defect::IgnoresCancelledDependencies`, hides that a job is cancelled with a
    /// dependency.
    pub(super) fn tampered_answer(&self, output: Output) -> Output {
        match output {
            Output::Answer {
                request,
                answer: Answer::Redirect(_),
            } if self.defect == Defect::FollowersRenew
                && let Some(name) = self.requesting_worker(request)
                && let Some(worker) = self.workers.get(&name) =>
            {
                let (token, commands) = (worker.token, Vec::new());
                let answer = Answer::Commands { token, commands };
                Output::Answer { request, answer }
            }
            Output::Answer {
                request,
                answer:
                    Answer::Known(id, JobState::Cancelled) | Answer::Status(id, JobState::Cancelled, ..),
            } if self.hides_derived_cancellation(&id) => Output::Answer {
                request,
                answer: Answer::Status(id, JobState::Pending, 0, 0),
            },
            output => output,
        }
    }

    fn report_soon(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("known worker");
        worker.next_report = worker.next_report.min(worker.last_sent + ms(500));
    }

    fn report(&mut self, name: &str) -> WorkerReport {
        let now = self.now;
        let reports_running_as_done = self.defect == Defect::RunningReportedDone;
        let token_bits = u64::from(self.defect == Defect::AssumesUnansweredVoid) * 0xff;
        let worker = self.workers.get_mut(name).expect("known worker");
        worker.seq += 1;
        let mut report = WorkerReport {
            machine: Arc::from(name),
            addr: "127.0.0.1:9".parse().expect("valid address"),
            machine_type: Arc::from("m"),
            zone: Arc::from(ZONES[worker.zone]),
            spot: worker.spot,
            session: worker.session,
            seq: worker.seq,
            token: worker.token | token_bits,
            notice_s: worker.notice.map(|at| at.saturating_sub(now).as_secs_f64()),
            tasks: worker
                .tasks
                .iter()
                .map(|((task, attempt), t)| ReportedTask {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: match t.phase {
                        TaskPhase::Running if reports_running_as_done => {
                            TaskPhase::Exited(ExitReason::Done)
                        }
                        phase => phase,
                    },
                })
                .collect(),
        };
        report
            .tasks
            .retain(|task| !self.hides_attempt(&task.task, task.attempt));
        report
    }

    fn maybe_report(&mut self, name: &str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("known worker");
        if let Some((_, sent)) = worker.in_flight {
            if now < sent + Duration::from_secs(4) {
                return;
            }
            worker.in_flight = None;
            worker.node = (worker.node + 1) % NODES;
            worker.next_report = now + ms(1000);
        }
        let hides_idle = self.defect == Defect::IdleMachinesSilent && now > IDLE_REPORTS_UNTIL;
        if now < worker.next_report || (hides_idle && worker.tasks.is_empty()) {
            return;
        }
        worker.reports += 1;
        let id = worker.reports;
        worker.in_flight = Some((id, now));
        worker.last_sent = now;
        let (node, zone) = (worker.node, worker.zone);
        let report = self.report(name);
        let at = match self.worker_path(node, zone) {
            Some(at)
                if self.nodes[node].is_some() && !self.blocked_reports.is_blocked(name, now) =>
            {
                at
            }
            _ => {
                let worker = self.workers.get_mut(name).expect("known worker");
                worker.in_flight = None;
                worker.node = (worker.node + 1) % NODES;
                worker.next_report = now + ms(1000);
                return;
            }
        };
        self.next_request += 1;
        let request = self.next_request;
        let epoch = self.epochs[node];
        self.pending_requests.insert(
            (node, epoch, request),
            Requester::Worker(name.to_owned(), id),
        );
        if self.intercept_report(&report) {
            return;
        }
        self.duplicate_report(&report);
        self.push(
            at,
            Event::NodeInput(node, epoch, Input::Report { request, report }),
        );
    }

    pub(super) fn handle_worker_message(&mut self, name: String, message: WorkerMessage) {
        let now = self.now;
        let Some(worker) = self.workers.get(&name) else {
            return;
        };
        if self.network_faults.is_delivery_blocked(&name, now) {
            return;
        }
        if worker.hung_until > now {
            // A hung machine receives the message when it resumes, before anything else.
            let at = worker.hung_until;
            self.push(at, Event::WorkerMessage(name, message));
            return;
        }
        self.check_lease(&name);
        match message {
            WorkerMessage::Answer(id, answer) => {
                let worker = self.workers.get_mut(&name).expect("known worker");
                let Some((in_flight, sent)) = worker.in_flight else {
                    return;
                };
                if in_flight != id || now > sent + Duration::from_secs(4) {
                    return;
                }
                worker.in_flight = None;
                worker.next_report = now + self.scale.report;
                match answer {
                    Answer::Commands { token, commands } if token >= worker.token => {
                        let is_newer = token > worker.token;
                        worker.token = token;
                        worker.lease_started = sent;
                        self.execute(&name, &commands);
                        if is_newer {
                            self.report_soon(&name);
                        }
                    }
                    Answer::Commands { .. } => {}
                    Answer::Redirect(Some(node)) => {
                        worker.node = node[1..].parse().expect("node name");
                        worker.next_report = now + ms(200);
                    }
                    _ => {
                        worker.node = (worker.node + 1) % NODES;
                        worker.next_report = now + ms(1000);
                    }
                }
            }
            WorkerMessage::Do(node, epoch, call, mut direct) => {
                let worker = self.workers.get_mut(&name).expect("known worker");
                let zone = worker.zone;
                let (token, session) = (worker.token, worker.session);
                self.blocked_reports.count_command(&name, now);
                self.count_late_command((direct.token, token), (direct.session, session));
                let is_of_same_leader = direct.token >> 16 == token >> 16;
                let accepts_earlier =
                    self.defect == Defect::AcceptsEarlierTokensOfLeader && is_of_same_leader;
                if self.defect == Defect::AcceptsOldTokens || accepts_earlier {
                    direct.token = direct.token.max(token);
                }
                if direct.session == session {
                    self.count_repeated_command(&name, &direct);
                }
                let worker = self.workers.get_mut(&name).expect("known worker");
                let is_current = direct.token >= token && direct.session == session;
                if is_current {
                    worker.token = direct.token;
                    self.execute(&name, &direct.commands);
                }
                let report = self.report(&name);
                let reply = match is_current {
                    true => DirectReply::Executed(report),
                    false => DirectReply::Refused(report),
                };
                // Epoch 0 marks a command whose answer nobody waits for.
                if is_current && epoch > 0 {
                    self.repeat_command(&name, node, call, direct);
                }
                if let Some(at) = self.worker_path(node, zone) {
                    let at = at + self.command_delay();
                    self.push(
                        at,
                        Event::NodeInput(node, epoch, Input::Direct { call, reply }),
                    );
                }
            }
        }
    }

    fn execute(&mut self, name: &str, commands: &[Command]) {
        let now = self.now;
        for command in commands {
            if self.targets_unrunnable_job(command) {
                continue;
            }
            match command {
                Command::Start { task, attempt } => {
                    self.check_assignment_index(name, task);
                    let spec = self.spec(task).clone();
                    let fetch = ms(self.rng.random_range(100..2500));
                    let used: f64 = self.workers[name]
                        .tasks
                        .iter()
                        .filter(|(_, t)| !t.phase.exited())
                        .map(|((task, _), _)| self.spec(task).need.cpus)
                        .sum();
                    let worker = self.workers.get_mut(name).expect("known worker");
                    let key = (task.clone(), *attempt);
                    if worker.tasks.contains_key(&key) {
                        continue;
                    }
                    self.check_executed_start(name, task, *attempt);
                    let worker = self.workers.get_mut(name).expect("known worker");
                    let phase = if worker.tasks.keys().any(|(t, _)| t == task) {
                        TaskPhase::Exited(ExitReason::Busy)
                    } else if used + spec.need.cpus > CPUS + 1e-6 {
                        TaskPhase::Exited(ExitReason::NoRoom)
                    } else {
                        TaskPhase::Fetching
                    };
                    let until = now + fetch;
                    worker.tasks.insert(key, WorkerTask { phase, until });
                    self.blocked_reports
                        .count_start(name, now, self.scale.lease);
                    self.crash_leader_on_start(name);
                }
                Command::Stop {
                    task,
                    attempt,
                    grace,
                } => {
                    let spec = self.spec(task).clone();
                    let worker = self.workers.get_mut(name).expect("known worker");
                    if self.defect == Defect::HungMachinesIgnoreStop && !worker.hung_until.is_zero()
                    {
                        continue;
                    }
                    let Some(t) = worker.tasks.get_mut(&(task.clone(), *attempt)) else {
                        continue;
                    };
                    let save = Duration::from_secs_f64(spec.save_s);
                    let had_image = t.phase.has_image();
                    match t.phase {
                        TaskPhase::Exited(_) => continue,
                        TaskPhase::Running if spec.checkpoint_s > 0.0 && *grace >= save => {
                            t.phase = TaskPhase::Saving;
                            t.until = now + save;
                            continue;
                        }
                        TaskPhase::Saving if !grace.is_zero() => continue,
                        _ => t.phase = TaskPhase::Exited(ExitReason::Stopped { saved: false }),
                    }
                    if had_image {
                        self.observer.record_task_end(task, name, false);
                    }
                }
                Command::Forget { task, attempt } => {
                    let worker = self.workers.get_mut(name).expect("known worker");
                    let key = (task.clone(), *attempt);
                    if worker.tasks.get(&key).is_some_and(|t| t.phase.exited()) {
                        worker.tasks.remove(&key);
                        self.record_forgotten(name, key);
                    }
                }
            }
        }
        self.report_soon(name);
    }

    /// Checks that the assignment index lists the job, since a new leader relies on the index for
    /// the jobs that an unresponsive machine may hold.
    fn check_assignment_index(&mut self, name: &str, task: &TaskId) {
        let holds = |entry: &&Entry| entry.value.get().contains(name);
        let mut shards = self.state.entries(ASSIGNMENTS_PREFIX);
        shards.retain(|entry| holds(&entry));
        let mut listed = false;
        for entry in shards {
            let record: ShardRecord = serde_json::from_str(entry.value.get())
                .expect("valid shard of the assignment index");
            // The shard read last is authoritative where several name the machine.
            if let Some(machine) = record.machines().find(|m| &*m.id == name) {
                listed = machine.jobs.contains(&task.job);
            }
        }
        if !listed {
            self.observer.report_unlisted(self.now, task, name);
        }
    }
}
