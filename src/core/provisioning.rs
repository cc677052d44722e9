//! Provisioning and releasing machines.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use kiteyard_recovery::request_window::{Outcome, RequestWindow};
use tracing::info;

use super::{
    cluster::ClusterState,
    job::{JobSpec, Kind},
    machine::{
        ListedMachine, ListedState, Machine, MachineId, MachineKind, MachineState, MachineType,
    },
};

#[derive(Debug, Clone)]
pub enum CloudRequest {
    Types,
    List { after: String },
    Provision(ProvisioningRequest),
    Release { machines: Vec<MachineId> },
}

#[derive(Debug, Clone, PartialEq)]
pub struct ProvisioningRequest {
    pub id: String,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub count: u32,
}

impl ProvisioningRequest {
    pub(super) fn kind(&self) -> MachineKind {
        MachineKind {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }
}

#[derive(Debug, Clone)]
pub enum CloudReply {
    Types(Vec<MachineType>),
    Machines {
        machines: Vec<ListedMachine>,
        more: bool,
    },
    Provisioned(Vec<MachineId>),
    NoCapacity,
    Released,
    /// Not executed: rate limited, or the cloud has an outage.
    Refused,
    /// No answer: the request may have been executed, or may still be.
    Unclear,
}

/// Provisioning request without a final answer.
#[derive(Debug)]
struct OpenRequest {
    request: ProvisioningRequest,
    in_flight: bool,
    retry_at: Duration,
}

/// State of the leader's requests to the cloud.
#[derive(Debug)]
pub struct Provisioning {
    /// Prefix of every request ID, unique to this leader.
    prefix: String,
    request_count: u64,
    open: Vec<OpenRequest>,
    listing: Option<Vec<ListedMachine>>,
    /// Time at which the last completely read list was requested.
    pub(super) complete_list_requested_at: Option<Duration>,
    list_requested_at: Duration,
    next_list: Duration,
    next_types: Duration,
    next_plan: Duration,
    pub(super) next_consolidation: Duration,
    /// Time at which a task was last seen waiting.
    pub(super) last_waiting_at: Duration,
    next_call: Duration,
    releasing: BTreeSet<MachineId>,
    /// Machine kinds that the cloud refused, and the time until which none are requested.
    refused: HashMap<MachineKind, Duration>,
    /// Adaptive bound on the number of open requests.
    request_window: RequestWindow,
    /// Released machines and the time of their release; the cloud's list lags behind.
    released: BTreeMap<MachineId, Duration>,
}

impl Provisioning {
    pub fn new(prefix: String) -> Self {
        Self {
            prefix,
            request_count: 0,
            open: Vec::new(),
            listing: None,
            complete_list_requested_at: None,
            list_requested_at: Duration::ZERO,
            next_list: Duration::ZERO,
            next_types: Duration::ZERO,
            next_plan: Duration::ZERO,
            next_consolidation: Duration::ZERO,
            last_waiting_at: Duration::ZERO,
            next_call: Duration::ZERO,
            releasing: BTreeSet::new(),
            refused: HashMap::new(),
            request_window: RequestWindow::new(MAX_OPEN_REQUESTS),
            released: BTreeMap::new(),
        }
    }

    /// Returns whether the machine was released. The cloud never reuses a machine ID.
    pub(super) fn was_released(&self, id: &MachineId) -> bool {
        self.released.contains_key(id)
    }

    /// Returns whether the adaptive bound allows another open request.
    pub(super) fn may_request(&self) -> bool {
        self.open.len() < self.request_window.window()
    }

    /// Returns the requests without a final answer.
    pub(super) fn open_requests(&self) -> impl Iterator<Item = &ProvisioningRequest> {
        self.open.iter().map(|open| &open.request)
    }

    /// Queues a request, and returns the ID assigned to it.
    pub(super) fn open_request(&mut self, mut request: ProvisioningRequest) -> &str {
        self.request_count += 1;
        request.id = format!("{}-{}", self.prefix, self.request_count);
        self.open.push(OpenRequest {
            request,
            in_flight: false,
            retry_at: Duration::ZERO,
        });
        self.open.last().map_or("", |open| &open.request.id)
    }

    pub(super) fn is_refused(&self, kind: &MachineKind) -> bool {
        self.refused.contains_key(kind)
    }

    pub(super) fn expire_refusals(&mut self, now: Duration) {
        self.refused.retain(|_, until| *until > now);
    }

    /// Returns the refusals in effect, with the time that each one has left.
    pub(super) fn refusals(&self, now: Duration) -> Vec<(MachineKind, Duration)> {
        let left = self
            .refused
            .iter()
            .map(|(kind, until)| (kind, until.saturating_sub(now)));
        let left = left.filter(|(_, left)| !left.is_zero());
        left.map(|(kind, left)| (kind.clone(), left)).collect()
    }

    /// Takes over the refusals that the previous leader received.
    pub(super) fn restore_refusals(
        &mut self,
        refused: Vec<(MachineKind, Duration)>,
        now: Duration,
    ) {
        for (kind, left) in refused {
            self.refused
                .entry(kind)
                .or_insert(now + left.min(REFUSAL_TTL));
        }
    }

    /// Returns whether a release of the machine is in flight.
    pub(super) fn is_being_released(&self, id: &MachineId) -> bool {
        self.releasing.contains(id)
    }
}

impl ClusterState {
    /// Returns the next request to the cloud, if one is due. Requests are spaced evenly.
    pub fn due_cloud_request(&mut self, now: Duration) -> Option<CloudRequest> {
        if now < self.provisioning.next_call {
            return None;
        }
        let request = self.next_cloud_request(now)?;
        self.provisioning.next_call = now + self.config.cloud_request_interval;
        Some(request)
    }

    fn next_cloud_request(&mut self, now: Duration) -> Option<CloudRequest> {
        if now >= self.provisioning.next_plan {
            self.provisioning.next_plan = now + Duration::from_millis(500);
            self.update_image_values();
            // A leader that receives no reports can't tell which machines are needed.
            if !self.reachability.is_uncertain {
                self.plan_scale_in(now);
                self.advance_drains(now);
                self.plan_consolidation(now);
                self.plan_scale_out(now);
            }
        }
        let unresponsive = self.plan_unresponsive_releases(now);
        if !unresponsive.is_empty() {
            self.provisioning
                .releasing
                .extend(unresponsive.iter().cloned());
            return Some(CloudRequest::Release {
                machines: unresponsive,
            });
        }
        if let Some(open) = self
            .provisioning
            .open
            .iter_mut()
            .find(|o| !o.in_flight && now >= o.retry_at)
        {
            open.in_flight = true;
            return Some(CloudRequest::Provision(open.request.clone()));
        }
        let to_release: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Leaving && m.tasks.is_empty() && !m.unresolved)
            // Removed from the assignment index first, so that a new leader doesn't wait for it.
            .filter(|m| !m.assignment.may_be_stored)
            .filter(|m| !self.provisioning.releasing.contains(&m.id))
            .map(|m| m.id.clone())
            .take(100)
            .collect();
        if !to_release.is_empty() {
            info!(machines = ?to_release, "releasing machines");
            self.provisioning
                .releasing
                .extend(to_release.iter().cloned());
            return Some(CloudRequest::Release {
                machines: to_release,
            });
        }
        if now >= self.provisioning.next_list {
            self.provisioning.next_list = now + self.config.list_lag.max(Duration::from_secs(4));
            self.provisioning.listing = Some(Vec::new());
            self.provisioning.list_requested_at = now;
            return Some(CloudRequest::List {
                after: String::new(),
            });
        }
        if now >= self.provisioning.next_types {
            self.provisioning.next_types = now + Duration::from_secs(60);
            return Some(CloudRequest::Types);
        }
        None
    }

    pub fn apply_cloud_reply(
        &mut self,
        request: &CloudRequest,
        reply: CloudReply,
        now: Duration,
    ) -> Option<CloudRequest> {
        match (request, reply) {
            (CloudRequest::Provision(request), reply) => self.provision_reply(request, reply, now),
            (CloudRequest::Release { machines }, reply) => {
                for id in machines {
                    self.provisioning.releasing.remove(id);
                    if matches!(reply, CloudReply::Released) {
                        // Nothing runs on the machine any more once the cloud has answered.
                        self.remove_machine(id, now);
                        self.provisioning.released.insert(id.clone(), now);
                    }
                }
                // The list may still show released machines, and late copies of their reports
                // may arrive: the latest releases are kept, whatever the machines' names.
                while self.provisioning.released.len() > MAX_RELEASED_KEPT {
                    let oldest = self.provisioning.released.iter().min_by_key(|(_, at)| **at);
                    let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
                        break;
                    };
                    self.provisioning.released.remove(&oldest);
                }
                self.requeue();
            }
            (CloudRequest::List { .. }, CloudReply::Machines { machines, more }) => {
                let last = machines.last().map(|m| m.id.to_string());
                let Some(listing) = &mut self.provisioning.listing else {
                    return None;
                };
                listing.extend(machines);
                if let (true, Some(after)) = (more, last) {
                    return Some(CloudRequest::List { after });
                }
                let listing = self.provisioning.listing.take().unwrap_or_default();
                self.provisioning.complete_list_requested_at =
                    Some(self.provisioning.list_requested_at);
                self.merge_machine_list(&listing, now);
                self.record_complete_list(now);
            }
            (CloudRequest::Types, CloudReply::Types(types)) => self.types = Arc::new(types),
            _ => {}
        }
        None
    }

    fn provision_reply(&mut self, request: &ProvisioningRequest, reply: CloudReply, now: Duration) {
        let kind = request.kind();
        self.provisioning.request_window.step(match reply {
            CloudReply::Provisioned(_) => Outcome::Done,
            CloudReply::NoCapacity => Outcome::Refused,
            _ => Outcome::Unclear,
        });
        match reply {
            CloudReply::Provisioned(ids) => {
                info!(request = %request.id, count = ids.len(), requested = request.count, "machines provisioned");
                if (ids.len() as u32) < request.count {
                    self.provisioning.refused.insert(kind, now + REFUSAL_TTL);
                }
                for id in ids {
                    self.ensure_machine(
                        &id,
                        &request.machine_type,
                        &request.zone,
                        request.spot,
                        now,
                    );
                }
                self.provisioning.open.retain(|o| o.request != *request);
            }
            CloudReply::NoCapacity => {
                self.provisioning.refused.insert(kind, now + REFUSAL_TTL);
                self.provisioning.open.retain(|o| o.request != *request);
            }
            _ => {
                // Retried under the same ID, which the cloud executes at most once.
                for open in &mut self.provisioning.open {
                    if open.request == *request {
                        open.in_flight = false;
                        open.retry_at = now + Duration::from_secs(2);
                    }
                }
            }
        }
    }

    fn merge_machine_list(&mut self, listing: &[ListedMachine], now: Duration) {
        for listed in listing {
            let is_lagging = self
                .provisioning
                .released
                .get(&listed.id)
                .is_some_and(|at| now < *at + self.config.list_lag * 3);
            if is_lagging {
                continue;
            }
            if !self.machines.contains_key(&listed.id) {
                let age = listed.age;
                let machine = self.ensure_machine(
                    &listed.id,
                    &listed.machine_type,
                    &listed.zone,
                    listed.spot,
                    now,
                );
                machine.first_seen = now.saturating_sub(age);
            }
            let machine = self
                .machines
                .get_mut(&listed.id)
                .expect("machine was added");
            machine.listed_at = Some(now);
            machine.listed_failed = listed.state == ListedState::Failed;
        }
    }

    /// Marks the machines to release: those that failed, did not boot in time, are
    /// unresponsive, fail tasks repeatedly, or are idle.
    fn plan_scale_in(&mut self, now: Duration) {
        let has_unresolved = self.has_unresolved_machines();
        let boot_times: HashMap<Arc<str>, f64> = self
            .types
            .iter()
            .map(|t| (t.name.clone(), t.boot_s))
            .collect();
        let mut marked: Vec<(MachineId, &'static str)> = Vec::new();
        for m in self.machines.values() {
            let boot_s = boot_times.get(&m.machine_type).copied().unwrap_or(60.0);
            let boot_timeout = Duration::from_secs_f64(boot_s * 4.0 + 30.0);
            let last_heard = m.heard_at.unwrap_or(m.first_seen);
            match m.state {
                MachineState::Leaving => {}
                _ if m.listed_failed && now > last_heard + self.config.worker_lease_bound => {
                    marked.push((m.id.clone(), "failed"));
                }
                MachineState::Booting if !m.unresolved && now > m.first_seen + boot_timeout => {
                    marked.push((m.id.clone(), "boot timed out"));
                }
                MachineState::Lost if now > last_heard + self.config.worker_lease_bound * 5 => {
                    marked.push((m.id.clone(), "unresponsive"));
                }
                // An unresolved machine may yet execute a delayed start of a previous leader.
                MachineState::Up if !m.unresolved && m.failures.len() >= 2 => {
                    marked.push((m.id.clone(), "faulty"));
                }
                _ => {}
            }
        }
        if !has_unresolved {
            let idle = self.idle_machines(now).into_iter();
            marked.extend(idle.map(|id| (id, "idle")));
        }
        for (id, why) in marked {
            info!(machine = %id, why, "machine marked for release");
            let machine = self.machines.get_mut(&id).expect("known machine");
            machine.state = MachineState::Leaving;
            machine.unresolved = false;
        }
    }

    /// Returns idle machines that can be released while spare capacity for services remains: the
    /// most expensive first, and at equal prices those with the least useful images.
    fn idle_machines(&self, now: Duration) -> Vec<MachineId> {
        let mut idle: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.state == MachineState::Up && m.tasks.is_empty())
            .filter(|m| now > m.idle_since + self.idle_time(&m.machine_type))
            .collect();
        idle.sort_by(|a, b| {
            let price = |m: &Machine| self.price(&m.machine_type, m.spot);
            let by_price = price(b).total_cmp(&price(a));
            by_price.then(a.image_value.total_cmp(&b.image_value))
        });
        let slots_on = |spec: &JobSpec, m: &Machine| {
            let is_allowed =
                spec.allows_type(&m.machine_type) && spec.allows_placement(&m.zone, m.spot);
            if is_allowed {
                spec.need.count_fitting(&m.free())
            } else {
                0
            }
        };
        // Capacity for two replicas of each service class, and for the expected arrivals.
        let services = self.largest_services().into_iter().map(|spec| (spec, 2));
        let wanted: Vec<(Arc<JobSpec>, u32)> = services.chain(self.expected_arrivals()).collect();
        let mut spare: Vec<(Arc<JobSpec>, u32)> = Vec::new();
        for (spec, wanted) in wanted {
            let usable = self.machines.values().filter(|m| self.usable(m, now));
            let total: u32 = usable.map(|m| slots_on(&spec, m)).sum();
            spare.push((spec, total.saturating_sub(wanted)));
        }
        let mut removable = Vec::new();
        for machine in idle {
            let usable = self.usable(machine, now);
            let slots = |spec: &JobSpec| if usable { slots_on(spec, machine) } else { 0 };
            if spare
                .iter()
                .all(|(spec, remaining)| *remaining >= slots(spec))
            {
                spare
                    .iter_mut()
                    .for_each(|(spec, remaining)| *remaining -= slots(spec));
                removable.push(machine.id.clone());
            }
        }
        removable
    }

    /// Returns the time that a machine may stay idle: a multiple of its boot time, since the cost
    /// of keeping it is weighed against the time and money to boot a new one.
    pub(super) fn idle_time(&self, machine_type: &str) -> Duration {
        let boot = self.types.iter().find(|t| &*t.name == machine_type);
        let boot = crate::settings::seconds(boot.map_or(0.0, |t| t.boot_s));
        boot.mul_f64(self.config.options.idle_boots)
    }

    /// Returns the largest active service of each class.
    fn largest_services(&self) -> Vec<Arc<JobSpec>> {
        let mut by_class: BTreeMap<Arc<str>, Arc<JobSpec>> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.spec.kind == Kind::Service) {
            let entry = by_class
                .entry(job.spec.class.clone())
                .or_insert_with(|| job.spec.clone());
            if job.spec.need.dominant_share_of(&entry.need) > 1.0 {
                *entry = job.spec.clone();
            }
        }
        by_class.into_values().collect()
    }

    pub(super) fn price(&self, machine_type: &str, spot: bool) -> f64 {
        self.types
            .iter()
            .find(|t| &*t.name == machine_type)
            .map_or(0.0, |t| if spot { t.spot_price } else { t.price })
    }
}

/// Maximum number of provisioning requests without a final answer.
const MAX_OPEN_REQUESTS: usize = 8;
/// Number of released machines to remember: the cloud's list may still show a whole fleet.
const MAX_RELEASED_KEPT: usize = 16_384;
/// Time during which a refused machine kind is not requested again.
const REFUSAL_TTL: Duration = Duration::from_secs(15);
