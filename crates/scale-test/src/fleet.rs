//! Fleet of hollow workers: their reports, the server that receives direct commands, and the
//! machines that the cloud lists.
//!
//! One listener serves every worker, since a listener for each would cost one more of the
//! process's limited sockets per worker. Each worker has its own address in 127.0.0.0/8 with
//! the listener's port, and the local address of a connection identifies the worker. The
//! listener is bound to the loopback device.

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    ops::Bound,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use kiteyard_stand_ins::{
    cloud::{Machine, MachineState, MachineType, Machines, Rental},
    http::{Connection, IncomingRequest, Reply, Traffic, serve},
};
use serde::Deserialize;
use tokio::{net::TcpSocket, sync::Notify};

use crate::{
    config::FleetConfig,
    jobs::Jobs,
    observer::Observer,
    worker::{Commands, DirectOutcome, HollowWorker, SentReport, WorkerSpec},
};

/// Only machine type of the fleet.
pub const MACHINE_TYPE: &str = "m4";
const LOOPBACK_DEVICE: &[u8] = b"lo";
const BACKLOG: u32 = 4096;
/// Address of the first worker; the others follow it.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 64, 0, 1);

/// Times fixed by the protocol.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
const NEXT_CONTROLLER_DELAY: Duration = Duration::from_secs(1);
const MAX_REDIRECT_DELAY_S: f64 = 0.5;
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Relative jitter of the report interval, in both directions.
const REPORT_JITTER: f64 = 0.25;
/// Shortest and longest boot, as factors of the nominal boot time.
const BOOT_TIME_FACTORS: (f64, f64) = (0.6, 1.5);

/// Controller that workers report to.
#[derive(Debug, Clone)]
pub struct Controller {
    /// Name, as redirects give it.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
}

struct Slot {
    number: u64,
    zone: String,
    rented_at: Duration,
    booted_at: Duration,
    worker: Mutex<HollowWorker>,
    changed: Notify,
    state: Mutex<SlotState>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotState {
    Up,
    Failed,
    Released,
}

/// Counters since the start.
#[derive(Debug, Default)]
pub struct FleetCounts {
    /// Reports that were sent.
    pub reports: AtomicU64,
    /// Reports answered with 421.
    pub redirects: AtomicU64,
    /// Reports that got another response, or none.
    pub reports_failed: AtomicU64,
    /// Responses of 200 that the worker had to drop.
    pub answers_dropped: AtomicU64,
    /// Requests with direct commands.
    pub direct_commands: AtomicU64,
    /// Requests with direct commands that the worker refused.
    pub direct_refused: AtomicU64,
    /// Reports answered with 200, by controller.
    pub answered_by: Vec<AtomicU64>,
}

/// Fleet of hollow workers.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<Shared>,
}

struct Shared {
    config: FleetConfig,
    seed: u64,
    port: u16,
    controllers: Vec<Controller>,
    jobs: Arc<Jobs>,
    observer: Arc<Observer>,
    inner: RwLock<Inner>,
    counts: FleetCounts,
    report_traffic: Arc<Traffic>,
    direct_traffic: Arc<Traffic>,
}

#[derive(Default)]
struct Inner {
    created: u64,
    by_name: BTreeMap<String, Arc<Slot>>,
    by_address: HashMap<IpAddr, Arc<Slot>>,
}

#[derive(Deserialize)]
struct Redirect {
    #[serde(default)]
    spotter: Option<String>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Fleet {
    /// Starts the listener for direct commands, without workers.
    pub fn start(
        config: &FleetConfig,
        seed: u64,
        controllers: Vec<Controller>,
        jobs: Arc<Jobs>,
        observer: Arc<Observer>,
    ) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind_device(Some(LOOPBACK_DEVICE))?;
        socket.bind(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))?;
        let listener = socket.listen(BACKLOG)?;
        let counts = FleetCounts {
            answered_by: controllers.iter().map(|_| AtomicU64::new(0)).collect(),
            ..FleetCounts::default()
        };
        let fleet = Self {
            shared: Arc::new(Shared {
                config: config.clone(),
                seed,
                port: listener.local_addr()?.port(),
                controllers,
                jobs,
                observer,
                inner: RwLock::default(),
                counts,
                report_traffic: Arc::default(),
                direct_traffic: Arc::default(),
            }),
        };
        let handler = fleet.clone();
        let traffic = fleet.shared.direct_traffic.clone();
        tokio::spawn(serve(listener, traffic, move |request| {
            let reply = handler.handle_direct(&request);
            async move { reply }
        }));
        Ok(fleet)
    }

    /// Returns the counters.
    pub fn counts(&self) -> &FleetCounts {
        &self.shared.counts
    }

    /// Returns the bytes of reports and their responses, from the workers' side.
    pub fn report_traffic(&self) -> &Traffic {
        &self.shared.report_traffic
    }

    /// Returns the bytes of direct commands and their responses, from the workers' side.
    pub fn direct_traffic(&self) -> &Traffic {
        &self.shared.direct_traffic
    }

    /// Starts workers on machines that need no boot, spread over the zones. Their reports begin
    /// within one interval.
    pub fn start_workers(&self, workers: usize) {
        let zones = &self.shared.config.zones;
        for number in 0..workers {
            self.start_worker(&zones[number % zones.len()], Duration::ZERO);
        }
    }

    fn start_worker(&self, zone: &str, boot_time: Duration) -> String {
        let shared = &self.shared;
        let now = shared.observer.now();
        let mut inner = shared.inner.write().unwrap_or_else(PoisonError::into_inner);
        inner.created += 1;
        let number = inner.created;
        let address = Ipv4Addr::from(u32::from(FIRST_ADDRESS) + number as u32 - 1);
        let spec = WorkerSpec {
            name: format!("vm-{number:06}"),
            endpoint: SocketAddr::from((address, shared.port)),
            machine_type: MACHINE_TYPE.to_owned(),
            zone: zone.to_owned(),
            cpus: shared.config.cpus,
            mem_gb: shared.config.mem_gb,
            fetch_gb_per_s: shared.config.fetch_gb_per_s,
            lease: Duration::from_secs_f64(shared.config.lease_s),
        };
        let name = spec.name.clone();
        let booted_at = now + boot_time;
        let worker = HollowWorker::new(spec, shared.jobs.clone(), shared.seed ^ number, booted_at);
        let slot = Arc::new(Slot {
            number,
            zone: zone.to_owned(),
            rented_at: now,
            booted_at,
            worker: Mutex::new(worker),
            changed: Notify::new(),
            state: Mutex::new(SlotState::Up),
        });
        inner.by_name.insert(name.clone(), slot.clone());
        inner.by_address.insert(IpAddr::V4(address), slot.clone());
        tokio::spawn(self.clone().report_loop(slot));
        name
    }

    /// Fails machines without notice.
    pub fn fail_machines(&self, count: usize) {
        let up: Vec<Arc<Slot>> = {
            let inner = self.inner();
            let up = inner
                .by_name
                .values()
                .filter(|slot| *lock(&slot.state) == SlotState::Up);
            up.take(count).cloned().collect()
        };
        for slot in up {
            self.stop(&slot, SlotState::Failed);
        }
    }

    fn stop(&self, slot: &Slot, new_state: SlotState) {
        *lock(&slot.state) = new_state;
        let mut worker = lock(&slot.worker);
        worker.stop(self.shared.observer.now());
        self.publish_events(&mut worker);
        drop(worker);
        slot.changed.notify_one();
    }

    fn inner(&self) -> std::sync::RwLockReadGuard<'_, Inner> {
        self.shared
            .inner
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the worker's events to the observer; the worker's lock keeps them in order.
    fn publish_events(&self, worker: &mut HollowWorker) {
        let events = worker.take_events();
        self.shared
            .observer
            .record_events(&worker.spec().name, &events);
    }

    /// Handles a request of a controller to a worker.
    fn handle_direct(&self, request: &IncomingRequest) -> Reply {
        let slot = self
            .inner()
            .by_address
            .get(&request.local_addr.ip())
            .cloned();
        let now = self.shared.observer.now();
        let Some(slot) = slot.filter(|slot| slot.booted_at <= now) else {
            return Reply::new(503, "{}");
        };
        if *lock(&slot.state) != SlotState::Up {
            return Reply::new(503, "{}");
        }
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/do") => self.execute(&slot, now, &request.body),
            (&Method::GET, "/show") => {
                let mut worker = lock(&slot.worker);
                let (report, _) = worker.report(now);
                self.publish_events(&mut worker);
                Reply::new(200, report)
            }
            _ => Reply::new(404, "{}"),
        }
    }

    fn execute(&self, slot: &Slot, now: Duration, body: &[u8]) -> Reply {
        let counts = &self.shared.counts;
        increment(&counts.direct_commands);
        let Ok(commands) = serde_json::from_slice::<Commands>(body) else {
            return Reply::new(400, "{}");
        };
        let mut worker = lock(&slot.worker);
        let outcome = worker.handle_direct(now, &commands);
        let (report, _) = worker.report(now);
        self.publish_events(&mut worker);
        drop(worker);
        slot.changed.notify_one();
        match outcome {
            DirectOutcome::Executed => Reply::new(200, report),
            DirectOutcome::Refused => {
                increment(&counts.direct_refused);
                Reply::new(409, report)
            }
            DirectOutcome::Malformed => Reply::new(400, "{}"),
        }
    }

    async fn report_loop(self, slot: Arc<Slot>) {
        let shared = self.shared.clone();
        let interval = shared.config.report_s;
        let boot_remaining = slot.booted_at.saturating_sub(shared.observer.now());
        tokio::time::sleep(boot_remaining).await;
        let first_delay_s = lock(&slot.worker).random_fraction() * interval;
        let mut due = shared.observer.now() + Duration::from_secs_f64(first_delay_s);
        let mut reporter = Reporter {
            controller: slot.number as usize % shared.controllers.len(),
            connection: None,
        };
        let mut last_sent = None;
        loop {
            let now = shared.observer.now();
            let wake_at = self.advance(&slot, now, &mut due, last_sent);
            if *lock(&slot.state) != SlotState::Up {
                return;
            }
            if now < due {
                let delay = wake_at.saturating_sub(now);
                let _ = tokio::time::timeout(delay, slot.changed.notified()).await;
                continue;
            }
            last_sent = Some(now);
            let delay = self.report(&slot, &mut reporter).await;
            let jitter = 1.0 + REPORT_JITTER * (2.0 * lock(&slot.worker).random_fraction() - 1.0);
            due = match delay {
                Some(delay) => shared.observer.now() + delay,
                None => now + Duration::from_secs_f64(interval * jitter),
            };
        }
    }

    /// Advances the worker, and brings its report forward if something changed. Returns the
    /// time of the next check.
    fn advance(
        &self,
        slot: &Slot,
        now: Duration,
        due: &mut Duration,
        last_sent: Option<Duration>,
    ) -> Duration {
        let mut worker = lock(&slot.worker);
        worker.advance(now);
        self.publish_events(&mut worker);
        if worker.take_changed() {
            let earliest = last_sent.map_or(now, |sent| now.max(sent + MIN_REPORT_INTERVAL));
            *due = (*due).min(earliest);
        }
        worker.next_due().min(*due)
    }

    /// Sends one report. Returns a delay if the next one goes to another controller.
    async fn report(&self, slot: &Slot, reporter: &mut Reporter) -> Option<Duration> {
        let shared = &self.shared;
        let counts = &shared.counts;
        let (text, sent) = {
            let mut worker = lock(&slot.worker);
            let report = worker.report(shared.observer.now());
            // The report includes all changes up to now.
            worker.take_changed();
            self.publish_events(&mut worker);
            report
        };
        increment(&counts.reports);
        let to = &shared.controllers[reporter.controller];
        let traffic = &shared.report_traffic;
        let connection = reporter
            .connection
            .get_or_insert_with(|| Connection::new(to.address, traffic.clone()));
        let body = Bytes::from(text);
        let response = connection
            .call(Method::POST, "/checkin", body, REPORT_TIMEOUT)
            .await;
        match response {
            Some((200, body)) => {
                increment(&counts.answered_by[reporter.controller]);
                self.handle_response(slot, sent, &body);
                None
            }
            Some((421, body)) => {
                increment(&counts.redirects);
                reporter.connection = None;
                let fraction = lock(&slot.worker).random_fraction();
                Some(reporter.follow_redirect(&shared.controllers, &body, fraction))
            }
            _ => {
                increment(&counts.reports_failed);
                reporter.connection = None;
                Some(reporter.switch_to_next(&shared.controllers))
            }
        }
    }

    fn handle_response(&self, slot: &Slot, sent: SentReport, body: &[u8]) {
        let commands: Commands = serde_json::from_slice(body).unwrap_or_default();
        let mut worker = lock(&slot.worker);
        if !worker.handle_response(self.shared.observer.now(), sent, &commands) {
            increment(&self.shared.counts.answers_dropped);
        }
        self.publish_events(&mut worker);
    }
}

/// Controller that a worker reports to, and the connection to it.
struct Reporter {
    controller: usize,
    connection: Option<Connection>,
}

impl Reporter {
    fn switch_to_next(&mut self, controllers: &[Controller]) -> Duration {
        self.controller = (self.controller + 1) % controllers.len();
        NEXT_CONTROLLER_DELAY
    }

    fn follow_redirect(
        &mut self,
        controllers: &[Controller],
        body: &[u8],
        fraction: f64,
    ) -> Duration {
        let target = serde_json::from_slice::<Redirect>(body)
            .ok()
            .and_then(|redirect| redirect.spotter)
            .and_then(|name| controllers.iter().position(|other| other.name == name));
        match target {
            Some(other) if other != self.controller => {
                self.controller = other;
                Duration::from_secs_f64(fraction * MAX_REDIRECT_DELAY_S)
            }
            _ => self.switch_to_next(controllers),
        }
    }
}

impl Machines for Fleet {
    fn types(&self) -> Vec<MachineType> {
        let config = &self.shared.config;
        vec![MachineType {
            label: MACHINE_TYPE.to_owned(),
            cpus: config.cpus,
            gpus: 0.0,
            mem_gb: config.mem_gb,
            local_gb: 1_000.0,
            fetch_gb_per_s: config.fetch_gb_per_s,
            hourly: 1.0,
            market_price: 0.4,
            boot_s: config.boot_s,
            fields: config.zones.clone(),
        }]
    }

    fn list(&self, after: &str, limit: usize) -> (Vec<Machine>, bool) {
        let now = self.shared.observer.now();
        let inner = self.inner();
        let range = (Bound::Excluded(after), Bound::Unbounded);
        let mut slots = inner.by_name.range::<str, _>(range);
        let machines = slots.by_ref().take(limit).map(|(name, slot)| {
            let attitude = match *lock(&slot.state) {
                SlotState::Up if slot.booted_at > now => MachineState::Starting,
                SlotState::Up => MachineState::Running,
                SlotState::Failed | SlotState::Released => MachineState::Failed,
            };
            Machine {
                uid: name.clone(),
                endpoint: lock(&slot.worker).spec().endpoint,
                frame: MACHINE_TYPE.to_owned(),
                field: slot.zone.clone(),
                gusts: false,
                attitude,
                age_s: now.saturating_sub(slot.rented_at).as_secs_f64(),
            }
        });
        let machines = machines.collect();
        (machines, slots.next().is_some())
    }

    /// Rents machines up to the configured size of the fleet.
    fn rent(&self, rental: &Rental) -> Vec<String> {
        let zone_known = self.shared.config.zones.contains(&rental.field);
        if rental.frame != MACHINE_TYPE || rental.gusts || !zone_known {
            return Vec::new();
        }
        let available = {
            let inner = self.inner();
            let up = inner.by_name.values();
            let up = up.filter(|slot| *lock(&slot.state) == SlotState::Up);
            self.shared.config.workers.saturating_sub(up.count())
        };
        let rented = available.min(rental.how_many as usize);
        let (min_factor, max_factor) = BOOT_TIME_FACTORS;
        let numbers = 0..rented;
        let names = numbers.map(|number| {
            // Spread evenly over the range of boot times, which needs no random numbers.
            let fraction = (number as f64 + 0.5) / rented as f64;
            let boot_s =
                self.shared.config.boot_s * (min_factor + (max_factor - min_factor) * fraction);
            self.start_worker(&rental.field, Duration::from_secs_f64(boot_s))
        });
        names.collect()
    }

    fn release(&self, names: &[String]) {
        for name in names {
            let slot = self.inner().by_name.get(name).cloned();
            let Some(slot) = slot else { continue };
            self.stop(&slot, SlotState::Released);
            let mut inner = self
                .shared
                .inner
                .write()
                .unwrap_or_else(PoisonError::into_inner);
            inner.by_name.remove(name);
            let address = lock(&slot.worker).spec().endpoint.ip();
            inner.by_address.remove(&address);
        }
    }
}
