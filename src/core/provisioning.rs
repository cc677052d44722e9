//! Renting and returning machines.

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
    machine::{ListedMachine, ListedState, Machine, MachineId, MachineKind, MachineType, Standing},
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
    pub request: String,
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
    /// Not executed: over the limit or in an outage.
    Refused,
    /// No answer: it may have been executed, or may be later.
    Unclear,
}

/// A rental that has no final answer yet.
#[derive(Debug)]
struct Open {
    rental: ProvisioningRequest,
    in_flight: bool,
    next_try: Duration,
}

/// What the leader has going with the cloud.
#[derive(Debug)]
pub struct Provisioning {
    /// Begins the name of every rental, so that no other leader uses it.
    prefix: String,
    request_count: u64,
    open: Vec<Open>,
    listing: Option<Vec<ListedMachine>>,
    /// When the last list that was read whole was asked for.
    pub(super) list_read: Option<Duration>,
    list_asked: Duration,
    next_list: Duration,
    next_types: Duration,
    next_plan: Duration,
    pub(super) next_consolidation: Duration,
    /// When a task waited last.
    pub(super) waited_at: Duration,
    next_call: Duration,
    releasing: BTreeSet<MachineId>,
    /// Kinds of machine that were refused, until when they are not asked for again.
    refused: HashMap<MachineKind, Duration>,
    /// How many scale-out requests may be without an answer.
    pace: RequestWindow,
    /// Machines that were returned; the list may still show them for a while.
    returned: BTreeMap<MachineId, Duration>,
}

impl Provisioning {
    pub fn new(prefix: String) -> Self {
        Self {
            prefix,
            request_count: 0,
            open: Vec::new(),
            listing: None,
            list_read: None,
            list_asked: Duration::ZERO,
            next_list: Duration::ZERO,
            next_types: Duration::ZERO,
            next_plan: Duration::ZERO,
            next_consolidation: Duration::ZERO,
            waited_at: Duration::ZERO,
            next_call: Duration::ZERO,
            releasing: BTreeSet::new(),
            refused: HashMap::new(),
            pace: RequestWindow::new(OPEN_MOST),
            returned: BTreeMap::new(),
        }
    }

    /// The cloud has taken it back. Names are never used again.
    pub(super) fn was_returned(&self, id: &MachineId) -> bool {
        self.returned.contains_key(id)
    }

    /// No more orders than the cloud answers.
    pub(super) fn may_request(&self) -> bool {
        self.open.len() < self.pace.window()
    }

    /// Rentals without a final answer.
    pub(super) fn open_requests(&self) -> impl Iterator<Item = &ProvisioningRequest> {
        self.open.iter().map(|open| &open.rental)
    }

    /// Takes an order, and says the name that it gets.
    pub(super) fn open_request(&mut self, mut rental: ProvisioningRequest) -> &str {
        self.request_count += 1;
        rental.request = format!("{}-{}", self.prefix, self.request_count);
        self.open.push(Open {
            rental,
            in_flight: false,
            next_try: Duration::ZERO,
        });
        self.open.last().map_or("", |open| &open.rental.request)
    }

    pub(super) fn is_refused(&self, kind: &MachineKind) -> bool {
        self.refused.contains_key(kind)
    }

    pub(super) fn forget_refusals(&mut self, now: Duration) {
        self.refused.retain(|_, until| *until > now);
    }

    /// What was refused lately, and for how long that still counts.
    pub(super) fn refusals(&self, now: Duration) -> Vec<(MachineKind, Duration)> {
        let left = self
            .refused
            .iter()
            .map(|(kind, until)| (kind, until.saturating_sub(now)));
        let left = left.filter(|(_, left)| !left.is_zero());
        left.map(|(kind, left)| (kind.clone(), left)).collect()
    }

    /// What the previous leader was refused is not asked for again at once.
    pub(super) fn restore_refusals(
        &mut self,
        refused: Vec<(MachineKind, Duration)>,
        now: Duration,
    ) {
        for (kind, left) in refused {
            self.refused
                .entry(kind)
                .or_insert(now + left.min(REFUSED_FOR));
        }
    }

    /// The machine is being returned.
    pub(super) fn is_being_returned(&self, id: &MachineId) -> bool {
        self.releasing.contains(id)
    }
}

impl ClusterState {
    /// The next request to the cloud, if one is due. Calls are spaced evenly.
    pub fn cloud_work(&mut self, now: Duration) -> Option<CloudRequest> {
        if now < self.provisioning.next_call {
            return None;
        }
        let request = self.next_cloud_request(now)?;
        self.provisioning.next_call = now + self.config.cloud_every;
        Some(request)
    }

    fn next_cloud_request(&mut self, now: Duration) -> Option<CloudRequest> {
        if now >= self.provisioning.next_plan {
            self.provisioning.next_plan = now + Duration::from_millis(500);
            self.value_images();
            // One that hears nobody can't tell what is needed.
            if !self.reachability.is_uncertain {
                self.plan_scale_in(now);
                self.plan_drains(now);
                self.plan_consolidation(now);
                self.plan_scale_out(now);
            }
        }
        let silent = self.plan_unresponsive_returns(now);
        if !silent.is_empty() {
            self.provisioning.releasing.extend(silent.iter().cloned());
            return Some(CloudRequest::Release { machines: silent });
        }
        if let Some(open) = self
            .provisioning
            .open
            .iter_mut()
            .find(|o| !o.in_flight && now >= o.next_try)
        {
            open.in_flight = true;
            return Some(CloudRequest::Provision(open.rental.clone()));
        }
        let leaving: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Leaving && m.tasks.is_empty() && !m.unresolved)
            // Off the assignment index first: a next leader need not wait for it then.
            .filter(|m| !m.assignment.stored)
            .filter(|m| !self.provisioning.releasing.contains(&m.id))
            .map(|m| m.id.clone())
            .take(100)
            .collect();
        if !leaving.is_empty() {
            info!(machines = ?leaving, "scale in");
            self.provisioning.releasing.extend(leaving.iter().cloned());
            return Some(CloudRequest::Release { machines: leaving });
        }
        if now >= self.provisioning.next_list {
            self.provisioning.next_list = now + self.config.list_lag.max(Duration::from_secs(4));
            self.provisioning.listing = Some(Vec::new());
            self.provisioning.list_asked = now;
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

    pub fn cloud_reply(
        &mut self,
        request: &CloudRequest,
        reply: CloudReply,
        now: Duration,
    ) -> Option<CloudRequest> {
        match (request, reply) {
            (CloudRequest::Provision(rental), reply) => self.provision_reply(rental, reply, now),
            (CloudRequest::Release { machines }, reply) => {
                for id in machines {
                    self.provisioning.releasing.remove(id);
                    if matches!(reply, CloudReply::Released) {
                        // All that was on it is gone by the time of the answer.
                        self.machine_gone(id, now);
                        self.provisioning.returned.insert(id.clone(), now);
                    }
                }
                // The list may show them yet, and copies of what they sent may come: those
                // that were returned last are kept, whatever their names.
                while self.provisioning.returned.len() > RETURNED_KEPT {
                    let oldest = self.provisioning.returned.iter().min_by_key(|(_, at)| **at);
                    let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
                        break;
                    };
                    self.provisioning.returned.remove(&oldest);
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
                self.provisioning.list_read = Some(self.provisioning.list_asked);
                self.compare_list(&listing, now);
                self.reconcile_list(now);
            }
            (CloudRequest::Types, CloudReply::Types(types)) => self.types = Arc::new(types),
            _ => {}
        }
        None
    }

    fn provision_reply(&mut self, rental: &ProvisioningRequest, reply: CloudReply, now: Duration) {
        let kind = rental.kind();
        self.provisioning.pace.step(match reply {
            CloudReply::Provisioned(_) => Outcome::Done,
            CloudReply::NoCapacity => Outcome::Refused,
            _ => Outcome::Unclear,
        });
        match reply {
            CloudReply::Provisioned(ids) => {
                info!(request = %rental.request, got = ids.len(), asked = rental.count, "scaled out");
                if (ids.len() as u32) < rental.count {
                    self.provisioning.refused.insert(kind, now + REFUSED_FOR);
                }
                for id in ids {
                    self.ensure_machine(&id, &rental.machine_type, &rental.zone, rental.spot, now);
                }
                self.provisioning.open.retain(|o| o.rental != *rental);
            }
            CloudReply::NoCapacity => {
                self.provisioning.refused.insert(kind, now + REFUSED_FOR);
                self.provisioning.open.retain(|o| o.rental != *rental);
            }
            _ => {
                // The same name again: it never rents twice.
                for open in &mut self.provisioning.open {
                    if open.rental == *rental {
                        open.in_flight = false;
                        open.next_try = now + Duration::from_secs(2);
                    }
                }
            }
        }
    }

    fn compare_list(&mut self, listing: &[ListedMachine], now: Duration) {
        for listed in listing {
            let lagging = self
                .provisioning
                .returned
                .get(&listed.id)
                .is_some_and(|at| now < *at + self.config.list_lag * 3);
            if lagging {
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
            let machine = self.machines.get_mut(&listed.id).expect("met");
            machine.listed_at = Some(now);
            machine.listed_failed = listed.state == ListedState::Failed;
        }
    }

    /// Which machines are to go: those that never came up, failed, stay silent,
    /// fail many jobs, or have nothing to do.
    fn plan_scale_in(&mut self, now: Duration) {
        let unresolved = self.unresolved();
        let boot: HashMap<Arc<str>, f64> = self
            .types
            .iter()
            .map(|t| (t.name.clone(), t.boot_s))
            .collect();
        let mut leave: Vec<(MachineId, &'static str)> = Vec::new();
        for m in self.machines.values() {
            let boot = boot.get(&m.machine_type).copied().unwrap_or(60.0);
            let boot_limit = Duration::from_secs_f64(boot * 4.0 + 30.0);
            let silent = m.heard_at.unwrap_or(m.first_seen);
            match m.standing {
                Standing::Leaving => {}
                _ if m.listed_failed && now > silent + self.config.worker_lease_bound => {
                    leave.push((m.id.clone(), "failed"));
                }
                Standing::Booting if !m.unresolved && now > m.first_seen + boot_limit => {
                    leave.push((m.id.clone(), "never came up"));
                }
                Standing::Lost if now > silent + self.config.worker_lease_bound * 5 => {
                    leave.push((m.id.clone(), "unresponsive"));
                }
                Standing::Up if m.failures.len() >= 2 => leave.push((m.id.clone(), "faulty")),
                _ => {}
            }
        }
        if !unresolved {
            let idle = self.idle_machines(now).into_iter();
            leave.extend(idle.map(|id| (id, "idle")));
        }
        for (id, why) in leave {
            info!(machine = %id, why, "leaving");
            let machine = self.machines.get_mut(&id).expect("just listed");
            machine.standing = Standing::Leaving;
            machine.unresolved = false;
        }
    }

    /// Idle machines that can go without taking the spare room for services: the
    /// dearest first, and among them those without images that services want.
    fn idle_machines(&self, now: Duration) -> Vec<MachineId> {
        let mut idle: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Up && m.tasks.is_empty())
            .filter(|m| now > m.idle_since + self.idle_time(&m.machine_type))
            .collect();
        idle.sort_by(|a, b| {
            let price = |m: &Machine| self.price(&m.machine_type, m.spot);
            let dearer = price(b).total_cmp(&price(a));
            dearer.then(a.image_value.total_cmp(&b.image_value))
        });
        let holds = |spec: &JobSpec, m: &Machine| {
            let may = spec.allows_type(&m.machine_type) && spec.allows_place(&m.zone, m.spot);
            if may {
                spec.need.times_in(&m.free())
            } else {
                0
            }
        };
        // Room for two replicas of each class, and for what is about to come.
        let services = self.services().into_iter().map(|spec| (spec, 2));
        let wanted: Vec<(Arc<JobSpec>, u32)> = services.chain(self.expected()).collect();
        let mut spare: Vec<(Arc<JobSpec>, u32)> = Vec::new();
        for (spec, wanted) in wanted {
            let usable = self.machines.values().filter(|m| self.usable(m, now));
            let slots: u32 = usable.map(|m| holds(&spec, m)).sum();
            spare.push((spec, slots.saturating_sub(wanted)));
        }
        let mut go = Vec::new();
        for machine in idle {
            let usable = self.usable(machine, now);
            let takes = |spec: &JobSpec| if usable { holds(spec, machine) } else { 0 };
            if spare.iter().all(|(spec, left)| *left >= takes(spec)) {
                spare
                    .iter_mut()
                    .for_each(|(spec, left)| *left -= takes(spec));
                go.push(machine.id.clone());
            }
        }
        go
    }

    /// How long a machine may stay idle: what it costs meanwhile is weighed
    /// against the time and money that another one takes to boot.
    pub(super) fn idle_time(&self, machine_type: &str) -> Duration {
        let boot = self.types.iter().find(|t| &*t.name == machine_type);
        let boot = crate::settings::seconds(boot.map_or(0.0, |t| t.boot_s));
        boot.mul_f64(self.config.options.idle_boots)
    }

    /// The largest service of each class that is active.
    fn services(&self) -> Vec<Arc<JobSpec>> {
        let mut by_class: BTreeMap<Arc<str>, Arc<JobSpec>> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.spec.kind == Kind::Service) {
            let entry = by_class
                .entry(job.spec.class.clone())
                .or_insert_with(|| job.spec.clone());
            if job.spec.need.share_of(&entry.need) > 1.0 {
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

/// Rentals without a final answer at a time.
const OPEN_MOST: usize = 8;
/// Returned machines whose names are kept: the cloud's list may show all of a fleet yet.
const RETURNED_KEPT: usize = 16_384;
/// What the cloud refused is not asked for again for so long.
const REFUSED_FOR: Duration = Duration::from_secs(15);
