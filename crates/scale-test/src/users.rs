//! Simulated users: an arrival process, submissions with retries, and polls until a job is
//! done.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use kiteyard_stand_ins::http::{Connection, Traffic};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, Geometric};
use serde::Deserialize;
use serde_json::json;

use crate::{
    checks::JobState,
    config::{Config, LoadConfig},
    controllers::team_name,
    jobs::{JobDescription, Jobs},
    observer::Observer,
};

/// Times fixed by the protocol.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const SUBMIT_RETRY_DELAY: Duration = Duration::from_secs(1);
const SUBMIT_RETRY_TIME: Duration = Duration::from_secs(60);
const POLL_INTERVAL_S: f64 = 5.0;
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Relative jitter of the poll interval, which keeps users from polling in step.
const POLL_JITTER: f64 = 0.2;

const TASK_CPUS: f64 = 1.0;
const TASK_MEM_GB: f64 = 1.0;
const MAX_TASKS: u64 = 10_000;
/// Distinguishes the random sequence of urgent jobs from that of the others.
const URGENT_SEED: u64 = 0x5eed;

/// Counters since the start.
#[derive(Debug, Default)]
pub struct UserCounts {
    /// Jobs submitted for the first time.
    pub submissions: AtomicU64,
    /// Jobs that were refused, or not accepted in time.
    pub not_accepted: AtomicU64,
    /// Retries of submissions.
    pub retries: AtomicU64,
    /// Polls.
    pub polls: AtomicU64,
    /// Polls that got neither a state nor 404.
    pub polls_failed: AtomicU64,
}

/// Simulated users of one run.
#[derive(Clone)]
pub struct Users {
    shared: Arc<Shared>,
}

struct Shared {
    config: Config,
    pools: Vec<ConnectionPool>,
    jobs: Arc<Jobs>,
    observer: Arc<Observer>,
    counts: UserCounts,
    traffic: Arc<Traffic>,
    next_job: AtomicU64,
}

/// Pool of idle connections to one controller.
struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobKind {
    Ordinary,
    Urgent,
}

#[derive(Deserialize)]
struct JobResponse {
    attitude: JobState,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Users {
    /// Creates users of the controllers at these addresses.
    pub fn new(
        config: &Config,
        controllers: &[SocketAddr],
        jobs: Arc<Jobs>,
        observer: Arc<Observer>,
    ) -> Self {
        let pools = controllers.iter().map(|address| ConnectionPool {
            address: *address,
            idle: Mutex::default(),
        });
        Self {
            shared: Arc::new(Shared {
                config: config.clone(),
                pools: pools.collect(),
                jobs,
                observer,
                counts: UserCounts::default(),
                traffic: Arc::default(),
                next_job: AtomicU64::new(1),
            }),
        }
    }

    /// Returns the counters.
    pub fn counts(&self) -> &UserCounts {
        &self.shared.counts
    }

    /// Returns the bytes exchanged between users and controllers.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// Submits jobs until a time; a task of its own follows each job.
    pub async fn submit_until(&self, end: Duration) {
        let load = &self.shared.config.load;
        let workers = self.shared.config.fleet.workers as f64;
        let jobs_per_s = load.starts_per_worker_s * workers / load.tasks_per_job;
        tokio::join!(
            self.arrivals(JobKind::Ordinary, jobs_per_s, end),
            self.arrivals(JobKind::Urgent, load.urgent_jobs_per_s, end),
        );
    }

    async fn arrivals(&self, kind: JobKind, jobs_per_s: f64, end: Duration) {
        let seed = self.shared.config.seed;
        let mut random = SmallRng::seed_from_u64(match kind {
            JobKind::Ordinary => seed,
            JobKind::Urgent => seed ^ URGENT_SEED,
        });
        let observer = &self.shared.observer;
        let mut at = observer.now();
        loop {
            let rate = jobs_per_s * arrival_factor(&self.shared.config.load, at);
            let Ok(gaps) = Exp::new(rate) else { return };
            let gap: f64 = gaps.sample(&mut random);
            match Duration::try_from_secs_f64(gap) {
                Ok(gap) if at + gap < end => at += gap,
                _ => return,
            }
            tokio::time::sleep(at.saturating_sub(observer.now())).await;
            let job = self.draw_job(kind, &mut random);
            let seed = random.random();
            tokio::spawn(self.clone().run_job(job, SmallRng::seed_from_u64(seed)));
        }
    }

    fn draw_job(&self, kind: JobKind, random: &mut SmallRng) -> JobDescription {
        let config = &self.shared.config;
        let load = &config.load;
        let urgent = kind == JobKind::Urgent;
        let number = self.shared.next_job.fetch_add(1, Ordering::Relaxed);
        JobDescription {
            id: format!("run-{number:06}"),
            team: random.random_range(0..config.teams.count),
            urgent,
            tasks: if urgent { 1 } else { draw_tasks(load, random) },
            cpus: TASK_CPUS,
            mem_gb: TASK_MEM_GB,
            image: match urgent {
                true => "img-urgent".to_owned(),
                false => format!("img-{}", random.random_range(0..load.images)),
            },
            // Urgent starts are measured without an image download.
            image_gb: if urgent { 0.0 } else { load.image_gb },
            run_s: if urgent {
                load.urgent_run_s
            } else {
                load.run_s
            },
            run_sigma: load.run_sigma,
        }
    }

    async fn run_job(self, job: JobDescription, mut random: SmallRng) {
        let shared = &self.shared;
        let text = submission(&job);
        let id = job.id.clone();
        let job = shared.jobs.upload(job);
        let submitted = shared.observer.record_submission(job);
        increment(&shared.counts.submissions);
        if !self.submit(&id, &text, submitted, &mut random).await {
            increment(&shared.counts.not_accepted);
            return;
        }
        self.poll_until_done(&id, &mut random).await;
    }

    async fn submit(
        &self,
        id: &str,
        text: &str,
        submitted: Duration,
        random: &mut SmallRng,
    ) -> bool {
        let shared = &self.shared;
        loop {
            let body = Bytes::from(text.to_owned());
            let response = self
                .request(Method::POST, "/work", body, SUBMIT_TIMEOUT, random)
                .await;
            match response {
                Some((200 | 201, body)) => {
                    shared.observer.record_acceptance(id, submitted);
                    if let Ok(response) = serde_json::from_slice::<JobResponse>(&body) {
                        shared.observer.record_state(id, response.attitude);
                    }
                    return true;
                }
                Some((400 | 422, _)) => return false,
                _ => {}
            }
            if shared.observer.now() > submitted + SUBMIT_RETRY_TIME {
                return false;
            }
            increment(&shared.counts.retries);
            tokio::time::sleep(SUBMIT_RETRY_DELAY).await;
        }
    }

    async fn poll_until_done(&self, id: &str, random: &mut SmallRng) {
        let shared = &self.shared;
        let path = format!("/work/{id}");
        loop {
            let jitter = 1.0 + POLL_JITTER * (2.0 * random.random::<f64>() - 1.0);
            tokio::time::sleep(Duration::from_secs_f64(POLL_INTERVAL_S * jitter)).await;
            let sent = shared.observer.now();
            increment(&shared.counts.polls);
            let response = self
                .request(Method::GET, &path, Bytes::new(), POLL_TIMEOUT, random)
                .await;
            match response {
                Some((200, body)) => {
                    shared.observer.record_poll(sent);
                    let Ok(response) = serde_json::from_slice::<JobResponse>(&body) else {
                        continue;
                    };
                    shared.observer.record_state(id, response.attitude);
                    if response.attitude == JobState::Done {
                        return;
                    }
                }
                Some((404, _)) => shared.observer.record_not_found(id),
                _ => increment(&shared.counts.polls_failed),
            }
        }
    }

    /// Sends a request to a random controller, over an idle connection if there is one.
    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
        random: &mut SmallRng,
    ) -> Option<(u16, Bytes)> {
        let pools = &self.shared.pools;
        let pool = &pools[random.random_range(0..pools.len())];
        let connection = {
            let mut idle = pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.pop()
        };
        let mut connection = connection
            .unwrap_or_else(|| Connection::new(pool.address, self.shared.traffic.clone()));
        let response = connection.call(method, path, body, timeout).await;
        if response.is_some() {
            let mut idle = pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.push(connection);
        }
        response
    }
}

/// Returns the factor of the arrival rate at a time.
pub fn arrival_factor(load: &LoadConfig, at: Duration) -> f64 {
    let at = at.as_secs_f64();
    match &load.peak {
        Some(peak) if peak.at_s <= at && at < peak.at_s + peak.for_s => peak.times,
        _ => 1.0,
    }
}

fn draw_tasks(load: &LoadConfig, random: &mut SmallRng) -> u32 {
    // The number of failures before the first success has the mean 1/p - 1.
    let failures = match Geometric::new(1.0 / load.tasks_per_job) {
        Ok(distribution) => distribution.sample(random),
        Err(_) => 0,
    };
    (failures + 1).min(MAX_TASKS) as u32
}

fn submission(job: &JobDescription) -> String {
    let (class, priority) = match job.urgent {
        true => ("urgent", "urgent"),
        false => ("batch", "standard"),
    };
    json!({
        "uid": job.id, "flight": class, "crew": team_name(job.team), "shape": "array",
        "lift": priority, "strings": job.tasks, "cpus": job.cpus, "gpus": 0.0,
        "mem_gb": job.mem_gb, "sail": job.image, "size_gb": job.image_gb, "frames": null,
        "field": null, "same_place": false, "spread": false, "gusts": false,
        "airtime_s": job.run_s, "tether_s": 0.0, "reel_s": 0.0, "landby_s": null,
    })
    .to_string()
}
