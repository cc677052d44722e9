//! Which machines a node hears, over which way, and what their silence means.
//!
//! One machine that stops reporting is gone or hangs. Many that stop reporting at once have
//! one cause, and that is first of all the way between them and this node: it is cut
//! off itself, or a zone is. What tells them apart is who else is heard over the same
//! way. So a machine's silence counts against it only while the rest of its zone is
//! heard, and a node that hears nobody any more doubts itself.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{
    attention::Attention,
    phi_accrual::{PhiAccrual, Source},
};
use crate::core::machine::MachineId;

/// The way by which a heartbeat came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatPath {
    /// The worker's own report to this node.
    Report,
    /// Another node passed the report on.
    Forwarded,
    /// The worker answered a direct question.
    Reply,
}

/// A silence less likely than one in a hundred million is none of the usual ones.
const PHI: f64 = 8.0;
/// However many report, a silence of the network's own delays says nothing.
const SILENCE_LEAST: Duration = Duration::from_millis(400);
/// Questions without an answer that make a node doubt itself, and machines that it
/// has to have heard for that.
const UNANSWERED: u32 = 3;
const MACHINES_LEAST: usize = 3;

#[derive(Debug)]
struct LastHeard {
    zone: Arc<str>,
    /// When it was heard by any way, and when without another node's help.
    any: Duration,
    own: Option<Duration>,
}

#[derive(Debug)]
struct Zone {
    reports: PhiAccrual,
    /// Direct questions in a row that were not answered.
    unanswered: u32,
}

/// What a node makes of the silence around it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reachability {
    /// Nobody is heard, and it is not known yet why.
    pub is_uncertain: bool,
    /// Nobody is heard and nobody answers: the fault is here.
    pub is_isolated: bool,
    /// Zones of which nobody is heard any more.
    pub partitioned_zones: BTreeSet<Arc<str>>,
    /// Zones of which most machines are heard: who is silent there is so by itself.
    pub reachable_zones: BTreeSet<Arc<str>>,
}

/// What a node knows of the machines, whether it leads or not.
#[derive(Debug)]
pub struct FailureDetector {
    report: Duration,
    /// After so long a machine that is not heard is forgotten.
    keep: Duration,
    attention: Attention,
    machines: HashMap<MachineId, LastHeard>,
    zones: BTreeMap<Arc<str>, Zone>,
    reports: PhiAccrual,
    unanswered: u32,
}

impl FailureDetector {
    pub fn new(report: Duration, keep: Duration) -> Self {
        Self {
            report,
            keep,
            attention: Attention::default(),
            machines: HashMap::new(),
            zones: BTreeMap::new(),
            reports: PhiAccrual::new(Source::Independent),
            unanswered: 0,
        }
    }

    /// Time goes on. Whatever is judged here is judged in time during which the
    /// process attended: one that stood still heard nobody, and nobody is to blame.
    pub fn tick(&mut self, now: Duration) {
        if self.attention.tick(now) {
            let at = self.attention.time();
            self.reports.skip(at);
            self.zones.values_mut().for_each(|z| z.reports.skip(at));
            self.unanswered = 0;
            self.zones.values_mut().for_each(|z| z.unanswered = 0);
        }
    }

    /// This node's part changes, and with it who reports to it.
    pub fn reset(&mut self) {
        self.reports = PhiAccrual::new(Source::Independent);
        self.zones.clear();
        self.unanswered = 0;
    }

    pub fn record_heartbeat(&mut self, machine: &MachineId, zone: &Arc<str>, path: HeartbeatPath) {
        let at = self.attention.time();
        let own = path != HeartbeatPath::Forwarded;
        match self.machines.get_mut(machine) {
            Some(last_heard) => {
                last_heard.any = at;
                if own {
                    last_heard.own = Some(at);
                }
            }
            None => {
                let last_heard = LastHeard {
                    zone: zone.clone(),
                    any: at,
                    own: own.then_some(at),
                };
                self.machines.insert(machine.clone(), last_heard);
            }
        }
        if !own {
            return;
        }
        let entry = self.zones.entry(zone.clone()).or_insert_with(|| Zone {
            reports: PhiAccrual::new(Source::Independent),
            unanswered: 0,
        });
        entry.unanswered = 0;
        self.unanswered = 0;
        if path == HeartbeatPath::Report {
            entry.reports.record(at);
            self.reports.record(at);
        }
    }

    /// A direct question was not answered.
    pub fn record_unanswered(&mut self, machine: &MachineId) {
        self.unanswered += 1;
        if let Some(last_heard) = self.machines.get(machine)
            && let Some(zone) = self.zones.get_mut(&last_heard.zone)
        {
            zone.unanswered += 1;
        }
    }

    /// The machine was returned.
    pub fn forget(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// Machines by zone that were heard within about a report, without help.
    pub fn machines_heard(&self) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        for last_heard in self
            .machines
            .values()
            .filter(|last_heard| self.is_recent(last_heard))
        {
            *zones.entry(last_heard.zone.clone()).or_insert(0) += 1;
        }
        zones
    }

    fn is_recent(&self, last_heard: &LastHeard) -> bool {
        last_heard
            .own
            .is_some_and(|at| self.attention.time() <= at + self.report * 3 / 2)
    }

    fn is_silent(&self, reports: &PhiAccrual) -> bool {
        let at = self.attention.time();
        reports.silence(at).is_some_and(|s| s > SILENCE_LEAST) && reports.phi(at) >= PHI
    }

    /// What the silence around this node means now.
    pub fn reachability(&mut self) -> Reachability {
        let at = self.attention.time();
        let keep = self.keep;
        self.machines
            .retain(|_, last_heard| at <= last_heard.any + keep);
        let mut counts: BTreeMap<&Arc<str>, (usize, usize)> = BTreeMap::new();
        for last_heard in self.machines.values() {
            let count = counts.entry(&last_heard.zone).or_insert((0, 0));
            count.0 += 1;
            count.1 += usize::from(self.is_recent(last_heard));
        }
        let sum = counts.values().fold((0, 0), |s, c| (s.0 + c.0, s.1 + c.1));
        let enough = sum.0 >= MACHINES_LEAST;
        let is_uncertain = enough && self.is_silent(&self.reports);
        let mut reachability = Reachability {
            is_uncertain,
            is_isolated: is_uncertain && self.unanswered >= UNANSWERED,
            ..Reachability::default()
        };
        for (name, zone) in &self.zones {
            let (known, lately) = counts.get(name).copied().unwrap_or((0, 0));
            if known >= MACHINES_LEAST && self.is_silent(&zone.reports) && zone.unanswered > 0 {
                reachability.partitioned_zones.insert(name.clone());
            }
            // With few machines in a zone, the others' say is more than its own.
            let (known, lately) = match known < MACHINES_LEAST {
                true => sum,
                false => (known, lately),
            };
            if !is_uncertain && lately * 2 >= known {
                reachability.reachable_zones.insert(name.clone());
            }
        }
        reachability
            .reachable_zones
            .retain(|zone| !reachability.partitioned_zones.contains(zone));
        reachability
    }

    /// Zones of which no report came for too long: somebody there is to be asked. Where
    /// nobody is heard at all, that is everywhere.
    pub fn silent_zones(&self) -> BTreeSet<Arc<str>> {
        let all = self.is_silent(&self.reports);
        let zones = self.zones.iter();
        let zones = zones.filter(|(_, z)| all || self.is_silent(&z.reports));
        zones.map(|(name, _)| name.clone()).collect()
    }
}
