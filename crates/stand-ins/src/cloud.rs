//! HTTP interface of the cloud, with limits, latency and outages. An implementation of
//! `Machines` holds the machines.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use http::Method;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::{
    availability::Availability,
    http::{IncomingRequest, Reply, Traffic, serve},
    rate_limit::RateLimit,
};

const MAX_PAGE_MACHINES: usize = 500;
const MAX_RENTED_MACHINES: u32 = 50;
const MAX_RELEASED_MACHINES: usize = 100;
/// Size of a burst, in seconds of the rate limit.
const BURST_S: f64 = 2.0;

/// Limits, latency and outages of the service.
#[derive(Debug, Clone)]
pub struct CloudSettings {
    /// Requests per second.
    pub rps: f64,
    /// Latency and outages.
    pub availability: Availability,
}

/// Machine type as the interface lists it.
#[derive(Debug, Clone, Serialize)]
pub struct MachineType {
    /// Name of the type.
    pub label: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    pub gpus: f64,
    /// Memory of a machine, in GB.
    pub mem_gb: f64,
    /// Image cache of a machine, in GB.
    pub local_gb: f64,
    /// Image download rate of a machine, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine.
    pub hourly: f64,
    /// Price of a spot machine.
    pub market_price: f64,
    /// Nominal boot time of a machine, in seconds.
    pub boot_s: f64,
    /// Zones that offer the type.
    pub fields: Vec<String>,
}

/// Machine as the interface lists it.
#[derive(Debug, Clone, Serialize)]
pub struct Machine {
    /// Name of the machine.
    pub uid: String,
    /// Address at which its worker listens.
    pub endpoint: SocketAddr,
    /// Machine type.
    pub frame: String,
    /// Zone.
    pub field: String,
    /// Whether it is a spot machine.
    pub gusts: bool,
    /// State of the machine.
    pub attitude: MachineState,
    /// Time since it was rented, in seconds.
    pub age_s: f64,
}

/// State of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine is booting.
    Starting,
    /// The machine is up.
    Running,
    /// The machine has failed.
    Failed,
}

/// Request for machines.
#[derive(Debug, Clone, Deserialize)]
pub struct Rental {
    /// Idempotency key: a repeated request rents no further machines.
    pub charter: String,
    /// Machine type.
    pub frame: String,
    /// Zone.
    pub field: String,
    /// Whether spot machines are requested.
    #[serde(default)]
    pub gusts: bool,
    /// Number of machines.
    pub how_many: u32,
}

/// Machines behind the interface.
pub trait Machines: Send + Sync + 'static {
    /// Returns the machine types on offer.
    fn types(&self) -> Vec<MachineType>;
    /// Returns machines in the order of their names, from the one after `after`, and whether there
    /// are more.
    fn list(&self, after: &str, limit: usize) -> (Vec<Machine>, bool);
    /// Rents machines and returns their names; none if there is no capacity.
    fn rent(&self, rental: &Rental) -> Vec<String>;
    /// Releases machines; unknown names are ignored.
    fn release(&self, names: &[String]);
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudCounts {
    /// Requests of any kind.
    pub requests: u64,
    /// Requests refused by the rate limit.
    pub refused: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
}

/// A running cloud interface.
#[derive(Clone)]
pub struct CloudService {
    shared: Arc<Shared>,
}

struct Shared {
    settings: CloudSettings,
    machines: Arc<dyn Machines>,
    rate_limit: Mutex<RateLimit>,
    /// Rented machines by the request's idempotency key.
    rentals: Mutex<BTreeMap<String, Vec<String>>>,
    requests: AtomicU64,
    refused: AtomicU64,
    traffic: Arc<Traffic>,
    started_at: Instant,
}

#[derive(Serialize)]
struct MachineTypesBody {
    frames: Vec<MachineType>,
}

#[derive(Serialize)]
struct MachineListBody {
    perches: Vec<Machine>,
    more: bool,
}

#[derive(Serialize, Deserialize)]
struct MachineNamesBody {
    perches: Vec<String>,
}

impl CloudService {
    /// Starts serving on a free loopback port.
    pub async fn start(
        settings: CloudSettings,
        machines: Arc<dyn Machines>,
    ) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let rate_limit = RateLimit::new(settings.rps, settings.rps * BURST_S);
        let service = Self {
            shared: Arc::new(Shared {
                settings,
                machines,
                rate_limit: Mutex::new(rate_limit),
                rentals: Mutex::default(),
                requests: AtomicU64::new(0),
                refused: AtomicU64::new(0),
                traffic: Arc::default(),
                started_at: Instant::now(),
            }),
        };
        let handler = service.clone();
        let traffic = service.shared.traffic.clone();
        tokio::spawn(serve(listener, traffic, move |request| {
            handler.clone().handle(request)
        }));
        Ok((service, address))
    }

    /// Returns the counters.
    pub fn counts(&self) -> CloudCounts {
        CloudCounts {
            requests: self.shared.requests.load(Ordering::Relaxed),
            refused: self.shared.refused.load(Ordering::Relaxed),
            bytes_received: self.shared.traffic.received(),
            bytes_sent: self.shared.traffic.sent(),
        }
    }

    fn admit(&self, now: Duration) -> bool {
        let rate_limit = self.shared.rate_limit.lock();
        rate_limit
            .unwrap_or_else(PoisonError::into_inner)
            .admit(now, 1.0)
    }

    async fn handle(self, request: IncomingRequest) -> Reply {
        let shared = &self.shared;
        shared.requests.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(shared.settings.availability.latency).await;
        let now = shared.started_at.elapsed();
        if shared.settings.availability.in_outage(now) {
            return Reply::new(503, r#"{"error":"trouble"}"#);
        }
        if !self.admit(now) {
            shared.refused.fetch_add(1, Ordering::Relaxed);
            return Reply::too_many_requests();
        }
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/flavors") => Reply::json(
                200,
                &MachineTypesBody {
                    frames: shared.machines.types(),
                },
            ),
            (&Method::GET, "/hosts") => self.list(&request),
            (&Method::POST, "/hosts") => self.rent(&request),
            (&Method::POST, "/hosts/release") => self.release(&request),
            _ => Reply::malformed(),
        }
    }

    fn list(&self, request: &IncomingRequest) -> Reply {
        let after = request.query("after").unwrap_or_default();
        let page = request.query("page").and_then(|page| page.parse().ok());
        let limit = page.unwrap_or(MAX_PAGE_MACHINES).min(MAX_PAGE_MACHINES);
        let (perches, more) = self.shared.machines.list(after, limit);
        Reply::json(200, &MachineListBody { perches, more })
    }

    fn rent(&self, request: &IncomingRequest) -> Reply {
        let rental = match serde_json::from_slice::<Rental>(&request.body) {
            Ok(rental) if (1..=MAX_RENTED_MACHINES).contains(&rental.how_many) => rental,
            _ => return Reply::malformed(),
        };
        let mut rentals = self
            .shared
            .rentals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(rented) = rentals.get(&rental.charter) {
            let perches = rented.clone();
            return Reply::json(200, &MachineNamesBody { perches });
        }
        let perches = self.shared.machines.rent(&rental);
        if perches.is_empty() {
            return Reply::new(503, r#"{"error":"no capacity"}"#);
        }
        rentals.insert(rental.charter, perches.clone());
        Reply::json(200, &MachineNamesBody { perches })
    }

    fn release(&self, request: &IncomingRequest) -> Reply {
        match serde_json::from_slice::<MachineNamesBody>(&request.body) {
            Ok(names) if names.perches.len() <= MAX_RELEASED_MACHINES => {
                self.shared.machines.release(&names.perches);
                Reply::new(200, "{}")
            }
            _ => Reply::malformed(),
        }
    }
}
