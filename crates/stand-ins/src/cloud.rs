//! The cloud's interface over HTTP, with limits, latency and outages. Machines are kept by
//! whoever plays them, behind `Machines`.

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
    http::{Asked, Reply, Traffic, serve},
    rate_limit::RateLimit,
};

const PAGE_MOST: usize = 500;
const RENT_MOST: u32 = 50;
const RELEASE_MOST: usize = 100;
/// Bursts are worth so many seconds.
const BURST_S: f64 = 2.0;

/// What the service admits and how it behaves.
#[derive(Debug, Clone)]
pub struct CloudSettings {
    /// Requests a second.
    pub rps: f64,
    /// Latency and outages.
    pub availability: Availability,
}

/// A machine type as the interface lists it.
#[derive(Debug, Clone, Serialize)]
pub struct MachineType {
    /// The type's name.
    pub label: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    pub gpus: f64,
    /// Memory of a machine, in GB.
    pub mem_gb: f64,
    /// Image cache of a machine, in GB.
    pub local_gb: f64,
    /// How fast a machine fetches images, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine.
    pub hourly: f64,
    /// Price of a spot machine.
    pub market_price: f64,
    /// How long a machine usually takes to boot, in seconds.
    pub boot_s: f64,
    /// Zones that offer the type.
    pub fields: Vec<String>,
}

/// A machine as the interface lists it.
#[derive(Debug, Clone, Serialize)]
pub struct Machine {
    /// The machine's name.
    pub uid: String,
    /// Where its worker listens.
    pub endpoint: SocketAddr,
    /// Its type.
    pub frame: String,
    /// Its zone.
    pub field: String,
    /// It is a spot machine.
    pub gusts: bool,
    /// How far it is.
    pub attitude: MachineState,
    /// Time since it was rented, in seconds.
    pub age_s: f64,
}

/// How far a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It boots.
    Starting,
    /// It is up.
    Running,
    /// It has failed.
    Failed,
}

/// A request for machines.
#[derive(Debug, Clone, Deserialize)]
pub struct Rental {
    /// The request's name: repeated, it rents nothing more.
    pub charter: String,
    /// The machine type.
    pub frame: String,
    /// The zone.
    pub field: String,
    /// Spot machines are asked for.
    #[serde(default)]
    pub gusts: bool,
    /// How many machines.
    pub how_many: u32,
}

/// The machines behind the interface.
pub trait Machines: Send + Sync + 'static {
    /// The machine types on offer.
    fn types(&self) -> Vec<MachineType>;
    /// Machines in the order of their names, beyond `after`, and whether there are more.
    fn list(&self, after: &str, most: usize) -> (Vec<Machine>, bool);
    /// Names of the machines rented; none: there is no capacity.
    fn rent(&self, rental: &Rental) -> Vec<String>;
    /// Takes machines back; unknown names are passed over.
    fn release(&self, names: &[String]);
}

/// Counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudCounts {
    /// Requests of any kind.
    pub requests: u64,
    /// Requests refused by the limit.
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
    limit: Mutex<RateLimit>,
    /// Answers of rentals by their name: repeated, they rent nothing.
    rentals: Mutex<BTreeMap<String, Vec<String>>>,
    requests: AtomicU64,
    refused: AtomicU64,
    traffic: Arc<Traffic>,
    started: Instant,
}

#[derive(Serialize)]
struct Types {
    frames: Vec<MachineType>,
}

#[derive(Serialize)]
struct Listed {
    perches: Vec<Machine>,
    more: bool,
}

#[derive(Serialize, Deserialize)]
struct Names {
    perches: Vec<String>,
}

impl CloudService {
    /// Starts to serve on a free port of loopback.
    pub async fn start(
        settings: CloudSettings,
        machines: Arc<dyn Machines>,
    ) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let limit = RateLimit::new(settings.rps, settings.rps * BURST_S);
        let service = Self {
            shared: Arc::new(Shared {
                settings,
                machines,
                limit: Mutex::new(limit),
                rentals: Mutex::default(),
                requests: AtomicU64::new(0),
                refused: AtomicU64::new(0),
                traffic: Arc::default(),
                started: Instant::now(),
            }),
        };
        let answering = service.clone();
        let traffic = service.shared.traffic.clone();
        tokio::spawn(serve(listener, traffic, move |asked| {
            answering.clone().answer(asked)
        }));
        Ok((service, address))
    }

    /// What was counted so far.
    pub fn counts(&self) -> CloudCounts {
        CloudCounts {
            requests: self.shared.requests.load(Ordering::Relaxed),
            refused: self.shared.refused.load(Ordering::Relaxed),
            bytes_received: self.shared.traffic.received(),
            bytes_sent: self.shared.traffic.sent(),
        }
    }

    fn admit(&self, now: Duration) -> bool {
        let limit = self.shared.limit.lock();
        limit
            .unwrap_or_else(PoisonError::into_inner)
            .admit(now, 1.0)
    }

    async fn answer(self, asked: Asked) -> Reply {
        let shared = &self.shared;
        shared.requests.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(shared.settings.availability.latency).await;
        let now = shared.started.elapsed();
        if shared.settings.availability.is_out(now) {
            return Reply::new(503, r#"{"error":"trouble"}"#);
        }
        if !self.admit(now) {
            shared.refused.fetch_add(1, Ordering::Relaxed);
            return Reply::too_many_requests();
        }
        match (&asked.method, asked.path.as_str()) {
            (&Method::GET, "/flavors") => Reply::json(
                200,
                &Types {
                    frames: shared.machines.types(),
                },
            ),
            (&Method::GET, "/hosts") => self.list(&asked),
            (&Method::POST, "/hosts") => self.rent(&asked),
            (&Method::POST, "/hosts/release") => self.release(&asked),
            _ => Reply::malformed(),
        }
    }

    fn list(&self, asked: &Asked) -> Reply {
        let after = asked.query("after").unwrap_or_default();
        let page = asked.query("page").and_then(|page| page.parse().ok());
        let most = page.unwrap_or(PAGE_MOST).min(PAGE_MOST);
        let (perches, more) = self.shared.machines.list(after, most);
        Reply::json(200, &Listed { perches, more })
    }

    fn rent(&self, asked: &Asked) -> Reply {
        let rental = match serde_json::from_slice::<Rental>(&asked.body) {
            Ok(rental) if (1..=RENT_MOST).contains(&rental.how_many) => rental,
            _ => return Reply::malformed(),
        };
        let mut rentals = self
            .shared
            .rentals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = rentals.get(&rental.charter) {
            let perches = known.clone();
            return Reply::json(200, &Names { perches });
        }
        let perches = self.shared.machines.rent(&rental);
        if perches.is_empty() {
            return Reply::new(503, r#"{"error":"no capacity"}"#);
        }
        rentals.insert(rental.charter, perches.clone());
        Reply::json(200, &Names { perches })
    }

    fn release(&self, asked: &Asked) -> Reply {
        match serde_json::from_slice::<Names>(&asked.body) {
            Ok(names) if names.perches.len() <= RELEASE_MOST => {
                self.shared.machines.release(&names.perches);
                Reply::new(200, "{}")
            }
            _ => Reply::malformed(),
        }
    }
}
