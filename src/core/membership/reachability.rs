//! Failure detector for machines: which machines reach a node, and by which path.
//!
//! A single machine that stops reporting has failed or hangs. Many that stop at once have a
//! common cause, most likely the network between them and this node: either this node or a zone
//! is partitioned. The other machines on the same path distinguish the two cases: a machine's
//! silence counts against it only while the rest of its zone is reachable, and a node that no
//! machine reaches suspects itself.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    active_time::ActiveTime,
    phi_accrual::{ArrivalPattern, PhiAccrual},
};
use crate::core::machine::MachineId;

/// Path by which a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatPath {
    /// The worker reported to this node directly.
    Report,
    /// Another node forwarded the report.
    Forwarded,
    /// The worker answered a direct command.
    Reply,
}

/// Suspicion level of a silence: a probability below one in a hundred million.
const PHI_THRESHOLD: f64 = 8.0;
/// Shortest silence that counts, above ordinary network delays even if many machines report.
const MIN_SILENCE: Duration = Duration::from_millis(400);
/// Number of unanswered direct commands in a row after which a silent node is isolated.
const MIN_UNANSWERED: u32 = 3;
/// Number of known machines needed to judge a node or a zone.
const MIN_MACHINES: usize = 3;

#[derive(Debug)]
struct LastHeartbeat {
    zone: Arc<str>,
    /// Time of the last heartbeat by any path.
    any_path: Duration,
    /// Time of the last heartbeat that no other node forwarded.
    direct: Option<Duration>,
}

#[derive(Debug)]
struct Zone {
    reports: PhiAccrual,
    /// Number of unanswered direct commands in a row.
    unanswered: u32,
}

/// Reachability of machines and zones as seen by a node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reachability {
    /// Whether no machine is reachable and the cause is not known yet.
    pub is_uncertain: bool,
    /// Whether this node is partitioned: no machine is reachable and none answers direct commands.
    pub is_isolated: bool,
    /// Zones in which no machine is reachable any more.
    pub partitioned_zones: BTreeSet<Arc<str>>,
    /// Zones in which at least half of the machines are reachable, so that a silent machine there
    /// has failed on its own.
    pub reachable_zones: BTreeSet<Arc<str>>,
}

/// Failure detector for the machines, used by leader and followers.
#[derive(Debug)]
pub struct FailureDetector {
    report_interval: Duration,
    /// Time after which a silent machine is forgotten.
    retention: Duration,
    active_time: ActiveTime,
    machines: HashMap<MachineId, LastHeartbeat>,
    zones: BTreeMap<Arc<str>, Zone>,
    reports: PhiAccrual,
    unanswered: u32,
}

impl FailureDetector {
    pub fn new(report_interval: Duration, retention: Duration) -> Self {
        Self {
            report_interval,
            retention,
            active_time: ActiveTime::default(),
            machines: HashMap::new(),
            zones: BTreeMap::new(),
            reports: PhiAccrual::new(ArrivalPattern::Independent),
            unanswered: 0,
        }
    }

    /// Advances the clock, which counts only the time during which the process was running. After a
    /// stall, in which it could not receive anything, all silences start again.
    pub fn tick(&mut self, now: Duration) {
        if self.active_time.tick(now) {
            let at = self.active_time.elapsed();
            self.reports.restart_silence(at);
            self.zones
                .values_mut()
                .for_each(|z| z.reports.restart_silence(at));
            self.unanswered = 0;
            self.zones.values_mut().for_each(|z| z.unanswered = 0);
        }
    }

    /// Discards the recorded gaps when this node's role changes, and with it which workers report.
    pub fn reset(&mut self) {
        self.reports = PhiAccrual::new(ArrivalPattern::Independent);
        self.zones.clear();
        self.unanswered = 0;
    }

    pub fn record_heartbeat(&mut self, machine: &MachineId, zone: &Arc<str>, path: HeartbeatPath) {
        let at = self.active_time.elapsed();
        let is_direct = path != HeartbeatPath::Forwarded;
        match self.machines.get_mut(machine) {
            Some(last_heartbeat) => {
                last_heartbeat.any_path = at;
                if is_direct {
                    last_heartbeat.direct = Some(at);
                }
            }
            None => {
                let last_heartbeat = LastHeartbeat {
                    zone: zone.clone(),
                    any_path: at,
                    direct: is_direct.then_some(at),
                };
                self.machines.insert(machine.clone(), last_heartbeat);
            }
        }
        if !is_direct {
            return;
        }
        let entry = self.zones.entry(zone.clone()).or_insert_with(|| Zone {
            reports: PhiAccrual::new(ArrivalPattern::Independent),
            unanswered: 0,
        });
        entry.unanswered = 0;
        self.unanswered = 0;
        if path == HeartbeatPath::Report {
            entry.reports.record(at);
            self.reports.record(at);
        }
    }

    /// Records that a machine did not answer a direct command.
    pub fn record_unanswered(&mut self, machine: &MachineId) {
        self.unanswered += 1;
        if let Some(last_heartbeat) = self.machines.get(machine)
            && let Some(zone) = self.zones.get_mut(&last_heartbeat.zone)
        {
            zone.unanswered += 1;
        }
    }

    /// Removes a machine that was released to the cloud.
    pub fn forget(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// Returns the number of machines per zone with a direct heartbeat within 1.5 report intervals.
    pub fn reachable_machines(&self) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        for last_heartbeat in self
            .machines
            .values()
            .filter(|last_heartbeat| self.is_recent(last_heartbeat))
        {
            *zones.entry(last_heartbeat.zone.clone()).or_insert(0) += 1;
        }
        zones
    }

    fn is_recent(&self, last_heartbeat: &LastHeartbeat) -> bool {
        last_heartbeat
            .direct
            .is_some_and(|at| self.active_time.elapsed() <= at + self.report_interval * 3 / 2)
    }

    fn is_silent(&self, reports: &PhiAccrual) -> bool {
        let at = self.active_time.elapsed();
        reports.silence(at).is_some_and(|s| s > MIN_SILENCE) && reports.phi(at) >= PHI_THRESHOLD
    }

    /// Evaluates the current silences.
    pub fn reachability(&mut self) -> Reachability {
        let at = self.active_time.elapsed();
        let retention = self.retention;
        self.machines
            .retain(|_, last_heartbeat| at <= last_heartbeat.any_path + retention);
        let mut counts: BTreeMap<&Arc<str>, (usize, usize)> = BTreeMap::new();
        for last_heartbeat in self.machines.values() {
            let count = counts.entry(&last_heartbeat.zone).or_insert((0, 0));
            count.0 += 1;
            count.1 += usize::from(self.is_recent(last_heartbeat));
        }
        let total = counts.values().fold((0, 0), |s, c| (s.0 + c.0, s.1 + c.1));
        let has_enough_machines = total.0 >= MIN_MACHINES;
        let is_uncertain = has_enough_machines && self.is_silent(&self.reports);
        let mut reachability = Reachability {
            is_uncertain,
            is_isolated: is_uncertain && self.unanswered >= MIN_UNANSWERED,
            ..Reachability::default()
        };
        for (name, zone) in &self.zones {
            let (known, recent) = counts.get(name).copied().unwrap_or((0, 0));
            if known >= MIN_MACHINES && self.is_silent(&zone.reports) && zone.unanswered > 0 {
                reachability.partitioned_zones.insert(name.clone());
            }
            // In a zone with few machines, the machines of all zones decide.
            let (known, recent) = match known < MIN_MACHINES {
                true => total,
                false => (known, recent),
            };
            if !is_uncertain && recent * 2 >= known {
                reachability.reachable_zones.insert(name.clone());
            }
        }
        reachability
            .reachable_zones
            .retain(|zone| !reachability.partitioned_zones.contains(zone));
        reachability
    }

    /// Returns the zones that were silent for too long and should be probed; all zones if no
    /// machine is reachable.
    pub fn silent_zones(&self) -> BTreeSet<Arc<str>> {
        let all_silent = self.is_silent(&self.reports);
        let zones = self.zones.iter();
        let zones = zones.filter(|(_, z)| all_silent || self.is_silent(&z.reports));
        zones.map(|(name, _)| name.clone()).collect()
    }
}
