//! Which machines a node hears, over which way, and what their silence means.
//!
//! One machine that falls silent is gone or hangs. Many that fall silent at once have
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
    accrual::{Accrual, Source},
    attention::Attention,
};
use crate::core::machine::MachineId;

/// The way by which a sign of life came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The worker's own report to this node.
    Report,
    /// Another node passed the report on.
    Relay,
    /// The worker answered a direct question.
    Answer,
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
struct Seen {
    zone: Arc<str>,
    /// When it was heard by any way, and when without another node's help.
    any: Duration,
    own: Option<Duration>,
}

#[derive(Debug)]
struct Zone {
    reports: Accrual,
    /// Direct questions in a row that were not answered.
    unanswered: u32,
}

/// What a node makes of the silence around it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outlook {
    /// Nobody is heard, and it is not known yet why.
    pub doubts: bool,
    /// Nobody is heard and nobody answers: the fault is here.
    pub blind: bool,
    /// Zones of which nobody is heard any more.
    pub apart: BTreeSet<Arc<str>>,
    /// Zones of which most machines are heard: who is silent there is so by itself.
    pub clear: BTreeSet<Arc<str>>,
}

/// What a node knows of the machines, whether it leads or not.
#[derive(Debug)]
pub struct Sight {
    report: Duration,
    /// After so long a machine that is not heard is forgotten.
    keep: Duration,
    attention: Attention,
    machines: HashMap<MachineId, Seen>,
    zones: BTreeMap<Arc<str>, Zone>,
    reports: Accrual,
    unanswered: u32,
}

impl Sight {
    pub fn new(report: Duration, keep: Duration) -> Self {
        Self {
            report,
            keep,
            attention: Attention::default(),
            machines: HashMap::new(),
            zones: BTreeMap::new(),
            reports: Accrual::new(Source::Many),
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
    pub fn begin(&mut self) {
        self.reports = Accrual::new(Source::Many);
        self.zones.clear();
        self.unanswered = 0;
    }

    pub fn heard(&mut self, machine: &MachineId, zone: &Arc<str>, way: Way) {
        let at = self.attention.time();
        let own = way != Way::Relay;
        match self.machines.get_mut(machine) {
            Some(seen) => {
                seen.any = at;
                if own {
                    seen.own = Some(at);
                }
            }
            None => {
                let seen = Seen {
                    zone: zone.clone(),
                    any: at,
                    own: own.then_some(at),
                };
                self.machines.insert(machine.clone(), seen);
            }
        }
        if !own {
            return;
        }
        let entry = self.zones.entry(zone.clone()).or_insert_with(|| Zone {
            reports: Accrual::new(Source::Many),
            unanswered: 0,
        });
        entry.unanswered = 0;
        self.unanswered = 0;
        if way == Way::Report {
            entry.reports.heard(at);
            self.reports.heard(at);
        }
    }

    /// A direct question was not answered.
    pub fn unanswered(&mut self, machine: &MachineId) {
        self.unanswered += 1;
        if let Some(seen) = self.machines.get(machine)
            && let Some(zone) = self.zones.get_mut(&seen.zone)
        {
            zone.unanswered += 1;
        }
    }

    /// The machine was returned.
    pub fn forget(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// Machines by zone that were heard within about a report, without help.
    pub fn hears(&self) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        for seen in self.machines.values().filter(|seen| self.lately(seen)) {
            *zones.entry(seen.zone.clone()).or_insert(0) += 1;
        }
        zones
    }

    fn lately(&self, seen: &Seen) -> bool {
        seen.own
            .is_some_and(|at| self.attention.time() <= at + self.report * 3 / 2)
    }

    fn silent(&self, reports: &Accrual) -> bool {
        let at = self.attention.time();
        reports.silence(at).is_some_and(|s| s > SILENCE_LEAST) && reports.phi(at) >= PHI
    }

    /// What the silence around this node means now.
    pub fn outlook(&mut self) -> Outlook {
        let at = self.attention.time();
        let keep = self.keep;
        self.machines.retain(|_, seen| at <= seen.any + keep);
        let mut counts: BTreeMap<&Arc<str>, (usize, usize)> = BTreeMap::new();
        for seen in self.machines.values() {
            let count = counts.entry(&seen.zone).or_insert((0, 0));
            count.0 += 1;
            count.1 += usize::from(self.lately(seen));
        }
        let sum = counts.values().fold((0, 0), |s, c| (s.0 + c.0, s.1 + c.1));
        let enough = sum.0 >= MACHINES_LEAST;
        let doubts = enough && self.silent(&self.reports);
        let mut outlook = Outlook {
            doubts,
            blind: doubts && self.unanswered >= UNANSWERED,
            ..Outlook::default()
        };
        for (name, zone) in &self.zones {
            let (known, lately) = counts.get(name).copied().unwrap_or((0, 0));
            if known >= MACHINES_LEAST && self.silent(&zone.reports) && zone.unanswered > 0 {
                outlook.apart.insert(name.clone());
            }
            // With few machines in a zone, the others' say is more than its own.
            let (known, lately) = match known < MACHINES_LEAST {
                true => sum,
                false => (known, lately),
            };
            if !doubts && lately * 2 >= known {
                outlook.clear.insert(name.clone());
            }
        }
        outlook.clear.retain(|zone| !outlook.apart.contains(zone));
        outlook
    }

    /// Zones of which no report came for too long: somebody there is to be asked. Where
    /// nobody is heard at all, that is everywhere.
    pub fn doubtful_zones(&self) -> BTreeSet<Arc<str>> {
        let all = self.silent(&self.reports);
        let zones = self.zones.iter();
        let zones = zones.filter(|(_, z)| all || self.silent(&z.reports));
        zones.map(|(name, _)| name.clone()).collect()
    }
}
