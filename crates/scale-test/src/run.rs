//! Executes one run and computes its result.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use kiteyard_stand_ins::{
    availability::Availability,
    cloud::{CloudService, CloudSettings},
    http::{Connection, Traffic},
    state::{StateService, StateSettings},
};

use crate::{
    config::{Config, Fault},
    controllers::{Addresses, Controllers, Services, controller_name, free_addresses},
    fleet::{Controller, Fleet},
    guard::{self, Refusal},
    jobs::Jobs,
    observer::Observer,
    procfs,
    result::{RunResult, TasksResult, UsersResult},
    snapshot::{FleetSnapshot, Snapshot, UserSnapshot, Window, process_result},
    users::Users,
};

/// Time within which a controller must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Reason why a run has no result.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The run needs more resources than the machine should spare.
    #[error("run refused: {0}")]
    Refused(#[from] Refusal),
    /// A file, a socket or a process failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// No controller became ready in time.
    #[error("no controller was ready within {} s; see the logs in {directory}", READY_TIMEOUT.as_secs())]
    NotReady {
        /// Directory of the controllers' logs.
        directory: String,
    },
    /// The run was interrupted.
    #[error("run interrupted")]
    Interrupted,
}

/// Participants of a run.
struct Cell {
    config: Config,
    controllers: Controllers,
    addresses: Vec<Addresses>,
    observer: Arc<Observer>,
    fleet: Fleet,
    state: StateService,
    cloud: CloudService,
    users: Users,
    exited: Vec<usize>,
}

/// Runs the cell; writes settings and logs of the controllers to the directory.
pub async fn run(config: &Config, directory: &Path) -> Result<RunResult, RunError> {
    let total = procfs::machine_memory_kb();
    guard::check(config, total, procfs::available_memory_kb())?;
    std::fs::create_dir_all(directory)?;
    let load_average_before = procfs::load_average().unwrap_or(0.0);
    let mut cell = Cell::start(config, directory).await?;
    tokio::select! {
        result = cell.measure(load_average_before) => Ok(result),
        _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
    }
}

impl Cell {
    async fn start(config: &Config, directory: &Path) -> Result<Self, RunError> {
        let jobs = Arc::new(Jobs::default());
        let observer = Observer::new(config.team_limit_cpus());
        let addresses = free_addresses(config.controllers.count)?;
        let report_targets = addresses
            .iter()
            .enumerate()
            .map(|(index, controller)| Controller {
                name: controller_name(index),
                address: controller.api,
            });
        let fleet = Fleet::start(
            &config.fleet,
            config.seed,
            report_targets.collect(),
            jobs.clone(),
            observer.clone(),
        )?;
        let (state, state_address) = StateService::start(state_settings(config)).await?;
        let machines = Arc::new(fleet.clone());
        let (cloud, cloud_address) = CloudService::start(cloud_settings(config), machines).await?;
        let services = Services {
            state: state_address,
            cloud: cloud_address,
        };
        let controllers = Controllers::start(config, directory, &addresses, services)?;
        let api_addresses: Vec<SocketAddr> =
            addresses.iter().map(|controller| controller.api).collect();
        let users = Users::new(config, &api_addresses, jobs, observer.clone());
        let cell = Self {
            config: config.clone(),
            controllers,
            addresses,
            observer,
            fleet,
            state,
            cloud,
            users,
            exited: Vec::new(),
        };
        cell.fleet.start_workers(config.fleet.workers);
        match cell.wait_until_ready().await {
            true => Ok(cell),
            false => Err(RunError::NotReady {
                directory: directory.display().to_string(),
            }),
        }
    }

    /// Waits until a controller is ready; returns false on timeout.
    async fn wait_until_ready(&self) -> bool {
        let until = self.observer.now() + READY_TIMEOUT;
        let traffic: Arc<Traffic> = Arc::default();
        while self.observer.now() < until {
            for controller in &self.addresses {
                let mut connection = Connection::new(controller.api, traffic.clone());
                let response =
                    connection.call(Method::GET, "/ready", Bytes::new(), READY_POLL_INTERVAL);
                if matches!(response.await, Some((200, _))) {
                    return true;
                }
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        false
    }

    async fn measure(&mut self, load_average_before: f64) -> RunResult {
        let started_at = self.observer.now();
        let from = started_at + Duration::from_secs_f64(self.config.duration.warmup_s);
        let until = from + Duration::from_secs_f64(self.config.duration.measured_s);
        self.observer.set_window(from, until);
        let users = self.users.clone();
        let submission_task = tokio::spawn(async move { users.submit_until(until).await });
        self.inject_faults(started_at, from).await;
        let first = self.snapshot();
        self.inject_faults(started_at, until).await;
        let last = self.snapshot();
        submission_task.abort();
        let drain_until = until + Duration::from_secs_f64(self.config.duration.drain_s);
        self.drain(drain_until).await;
        self.result(&first, &last, load_average_before)
    }

    /// Injects the faults that are due until a time, and restarts killed controllers.
    async fn inject_faults(&mut self, started_at: Duration, until: Duration) {
        let mut restarts: Vec<(Duration, usize)> = Vec::new();
        let restart_after = Duration::from_secs_f64(self.config.controllers.restart_s);
        loop {
            let now = self.observer.now();
            let mut due = Vec::new();
            self.config.faults.retain(|fault| {
                let is_due = started_at + fault.at() <= now;
                if is_due {
                    due.push(fault.clone());
                }
                !is_due
            });
            for fault in due {
                match fault {
                    Fault::ControllerRestart { controller, .. } => {
                        self.controllers.kill_process(controller);
                        restarts.push((now + restart_after, controller));
                    }
                    Fault::MachinesFail { count, .. } => self.fleet.fail_machines(count),
                }
            }
            for (_, controller) in restarts.extract_if(.., |(at, _)| *at <= now) {
                // A controller that can't be restarted counts as ended.
                if self.controllers.start_process(controller).is_err() {
                    self.exited.push(controller);
                }
            }
            if now >= until && restarts.is_empty() {
                return;
            }
            let delay = match now < until {
                true => (until - now).min(CHECK_INTERVAL),
                false => CHECK_INTERVAL,
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Waits for accepted jobs to be done, until a time at most.
    async fn drain(&self, until: Duration) {
        while self.observer.now() < until {
            let counts = self.observer.job_counts();
            if counts.done == counts.accepted {
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn snapshot(&mut self) -> Snapshot {
        self.exited.extend(self.controllers.exited());
        let fleet = self.fleet.counts();
        let users = self.users.counts();
        let traffic = |pick: fn(&Traffic) -> u64| {
            pick(self.fleet.report_traffic()) + pick(self.fleet.direct_traffic())
        };
        let user_traffic = self.users.traffic();
        Snapshot {
            at: self.observer.now(),
            processes: self.controllers.sample(),
            harness: procfs::sample(std::process::id()).unwrap_or_default(),
            answered_by: fleet
                .answered_by
                .iter()
                .map(|answered| answered.load(Ordering::Relaxed))
                .collect(),
            state: self.state.counts(),
            stored: self.state.size(),
            cloud: self.cloud.counts(),
            fleet: FleetSnapshot {
                reports: fleet.reports.load(Ordering::Relaxed),
                redirects: fleet.redirects.load(Ordering::Relaxed),
                reports_failed: fleet.reports_failed.load(Ordering::Relaxed),
                answers_dropped: fleet.answers_dropped.load(Ordering::Relaxed),
                direct_commands: fleet.direct_commands.load(Ordering::Relaxed),
                direct_refused: fleet.direct_refused.load(Ordering::Relaxed),
                sent: traffic(Traffic::sent),
                received: traffic(Traffic::received),
            },
            users: UserSnapshot {
                submissions: users.submissions.load(Ordering::Relaxed),
                polls: users.polls.load(Ordering::Relaxed),
                retries: users.retries.load(Ordering::Relaxed),
                polls_failed: users.polls_failed.load(Ordering::Relaxed),
                bytes: user_traffic.sent() + user_traffic.received(),
            },
            starts: self.observer.starts(),
            completed: self.observer.completed_tasks(),
            running: self.observer.running(),
        }
    }

    fn result(&self, first: &Snapshot, last: &Snapshot, load_average_before: f64) -> RunResult {
        let window = Window {
            first,
            last,
            seconds: (last.at - first.at).as_secs_f64(),
        };
        let leader = window.leader();
        let latencies = self.observer.latencies();
        let workers = self.config.fleet.workers as f64;
        let load = &self.config.load;
        RunResult {
            measured_s: window.seconds,
            load_average_before,
            load_average_after: procfs::load_average().unwrap_or(0.0),
            leader: window.controller(leader),
            followers: window.followers(leader),
            controllers_ended: self.exited.clone(),
            state: window.state(),
            cloud: window.cloud(),
            workers: window.workers(workers),
            users: UsersResult {
                not_accepted: self.users.counts().not_accepted.load(Ordering::Relaxed),
                submit_latency: latencies.submissions,
                poll_latency: latencies.polls,
                ..window.users()
            },
            tasks: TasksResult {
                asked_starts_per_s: load.starts_per_worker_s * workers + load.urgent_jobs_per_s,
                starts_per_s: window.rate(|at| at.starts),
                completed_per_s: window.rate(|at| at.completed),
                running: last.running,
                urgent_start: latencies.urgent_starts,
                other_start: latencies.other_starts,
            },
            harness: process_result(Some(&first.harness), Some(&last.harness), window.seconds),
            jobs: self.observer.job_counts(),
            violations: self.observer.violations(),
            config: self.config.clone(),
        }
    }
}

fn state_settings(config: &Config) -> StateSettings {
    let state = &config.state;
    StateSettings {
        rps: state.rps,
        write_rps: state.write_rps,
        value_kb: state.value_kb,
        lowered: None,
        txn_ops: state.txn_ops,
        availability: Availability {
            latency: Duration::from_secs_f64(state.latency_ms / 1000.0),
            outages: state.outages.clone(),
        },
    }
}

fn cloud_settings(config: &Config) -> CloudSettings {
    let cloud = &config.cloud;
    CloudSettings {
        rps: cloud.rps,
        availability: Availability {
            latency: Duration::from_secs_f64(cloud.latency_ms / 1000.0),
            outages: cloud.outages.clone(),
        },
    }
}
