//! Zones that are cut off, as stored: a promise to whoever leads next.
//!
//! A leader that ends while a zone is cut off leaves a successor that does not know since
//! when the workers there were not answered, and which would wait a whole lease again
//! before their tasks start elsewhere. So the leader stores, once a zone is apart, when it
//! answered anybody there last. While that stands,
//!
//! - nobody answers a report of that zone with 200, and
//! - nobody sends a start there,
//!
//! neither this leader nor a later one: whoever wants to removes the zone first, by a write
//! that depends on its claim and that it has seen committed. So no lease there lasts longer
//! than one that began at the stored time, and what begins there late ends by then.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use kiteyard_rollout::generation::Feature;
use serde::{Deserialize, Serialize};
use tracing::info;

use super::{
    Answer, BACK_OFF, Node, Output, Purpose, RequestId,
    machine::WorkerReport,
    pulse::turning,
    relay::PeerMessage,
    store::{APART, GENERATION, LEADER, StateReply, StateRequest, put, when},
};

pub const ZONES_APART: Feature = Feature {
    name: "zones-apart",
    since: 3,
    way_back: true,
    forms: &["live/apart"],
};

/// When workers of these zones were answered last, in milliseconds of the time of day.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApartRecord {
    pub zones: BTreeMap<Arc<str>, u64>,
}

/// Where a report came from that has to wait.
#[derive(Debug)]
enum Asker {
    Worker(RequestId),
    Node(String, u64),
}

#[derive(Debug)]
struct Waiting {
    asker: Asker,
    report: WorkerReport,
    until: Duration,
}

#[derive(Debug, Default)]
pub struct Apart {
    /// When this node answered somebody in a zone last, since it keeps count of it.
    answered: HashMap<Arc<str>, Duration>,
    counting_since: Option<Duration>,
    /// A write is under way, or was and may be done yet, that would list these.
    writing: bool,
    unsure: BTreeSet<Arc<str>>,
    /// Zones that were heard again: they are to be removed.
    heard: BTreeSet<Arc<str>>,
    waiting: Vec<Waiting>,
    /// Tasks that the waiting reports list.
    waiting_tasks: usize,
    retry: Duration,
}

/// How long a report waits for its zone: less than the second that another node gives a
/// relay, and than a worker waits.
const WAITS: Duration = Duration::from_millis(900);
/// A zone that was heard again is not listed again at once.
const RESTS: Duration = Duration::from_secs(5);

impl Node {
    fn lists_zones(&self) -> bool {
        self.mirror.cluster.0.written() >= ZONES_APART.since
    }

    /// Nobody in that zone may be answered, or sent a start.
    fn withholds(&self, zone: &str) -> bool {
        let apart = &self.apart;
        self.mirror.apart.0.zones.contains_key(zone) || apart.unsure.contains(zone)
    }

    /// An answer with 200 was given.
    pub(super) fn zone_answered(&mut self, zone: &Arc<str>) {
        if self.apart.counting_since.is_some() {
            let now = self.now();
            self.apart.answered.insert(zone.clone(), now);
        }
    }

    /// A sign of life: the zone has to be removed before anybody there is answered.
    pub(super) fn zone_heard(&mut self, zone: &Arc<str>) {
        if self.withholds(zone) {
            self.apart.heard.insert(zone.clone());
        }
    }

    /// Keeps a report that may not be answered yet; gives it back where it may.
    pub(super) fn wait_for_zone(
        &mut self,
        request: RequestId,
        report: WorkerReport,
    ) -> Option<WorkerReport> {
        self.keep_waiting(Asker::Worker(request), report)
    }

    /// The same for one that another node relayed.
    pub(super) fn relay_waits_for_zone(
        &mut self,
        from: &str,
        relay: u64,
        report: WorkerReport,
    ) -> Option<WorkerReport> {
        self.keep_waiting(Asker::Node(from.to_owned(), relay), report)
    }

    fn keep_waiting(&mut self, asker: Asker, report: WorkerReport) -> Option<WorkerReport> {
        if !self.leads() || !self.withholds(&report.zone) {
            return Some(report);
        }
        let waiting = Waiting {
            asker,
            until: self.now() + WAITS,
            report,
        };
        let tasks = self.apart.waiting_tasks + waiting.report.tasks.len();
        let full = self.apart.waiting.len() >= self.config.requests_most
            || tasks > self.config.waiting_tasks_most;
        if full {
            self.turn_away(waiting.asker);
            return None;
        }
        self.apart.waiting_tasks = tasks;
        self.apart.waiting.push(waiting);
        None
    }

    fn turn_away(&mut self, asker: Asker) {
        match asker {
            Asker::Worker(request) => self.answer(request, Answer::Redirect(None)),
            Asker::Node(to, relay) => {
                let answer = None;
                let message = PeerMessage::Reported { relay, answer };
                self.out.push(Output::Peer { to, message });
            }
        }
    }

    /// Whether a waiting report can be answered or has waited too long.
    fn waiting_due(&self, now: Duration) -> bool {
        let Some(first) = self.apart.waiting.first() else {
            return false;
        };
        // They wait equally long, so the first is over before the others.
        if !self.leads() || now >= first.until {
            return true;
        }
        let mut waiting = self.apart.waiting.iter();
        waiting.any(|waiting| !self.withholds(&waiting.report.zone))
    }

    /// Reports whose zone was removed are answered; those that waited too long, or whose
    /// node leads no more, are sent on.
    fn pump_waiting(&mut self) {
        let now = self.now();
        if !self.waiting_due(now) {
            return;
        }
        self.apart.waiting_tasks = 0;
        for waiting in std::mem::take(&mut self.apart.waiting) {
            let free = self.leads() && !self.withholds(&waiting.report.zone);
            if !free && self.leads() && now < waiting.until {
                self.apart.waiting_tasks += waiting.report.tasks.len();
                self.apart.waiting.push(waiting);
                continue;
            }
            if !free {
                self.turn_away(waiting.asker);
                continue;
            }
            match waiting.asker {
                Asker::Worker(request) => self.report(request, waiting.report),
                Asker::Node(to, relay) => {
                    let answer = self.lead_report(&waiting.report);
                    let message = PeerMessage::Reported { relay, answer };
                    self.out.push(Output::Peer { to, message });
                }
            }
        }
    }

    pub(super) fn pump_apart(&mut self) {
        let now = self.now();
        if self.lists_zones() {
            self.apart.counting_since.get_or_insert(now);
        }
        self.pump_waiting();
        if self.claim().is_none() {
            // A write of that claim that comes late fails. While the claim may stand again,
            // as after an outage, one that was not answered may still be done.
            self.apart.unsure.clear();
            self.apart.heard.clear();
        }
        if !self.leads() {
            return;
        }
        let listed = &self.mirror.apart.0.zones;
        let unsure = &self.apart.unsure;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !listed.is_empty() || !unsure.is_empty() || !leader.withheld.is_empty() {
            let withheld: BTreeSet<Arc<str>> = listed.keys().chain(unsure).cloned().collect();
            // The machines of a zone that was reopened have not changed: none of their
            // reports would bring the waiting jobs back to the heap.
            if withheld != leader.withheld {
                leader.withheld = withheld;
                leader.requeue();
            }
        }
        if self.apart.writing || now < self.apart.retry {
            return;
        }
        let mut zones = self.mirror.apart.0.zones.clone();
        let lists = self.lists_zones();
        zones.retain(|zone, _| lists && !self.apart.heard.contains(zone));
        if lists && self.former_stopped() {
            for zone in self.newly_apart() {
                let last = self.answered_last(&zone);
                let ago = now.saturating_sub(last).as_millis() as u64;
                zones.insert(zone, self.clock.wall_ms.saturating_sub(ago));
            }
        }
        // One that may have been listed is settled by the next write, whatever it says.
        if zones != self.mirror.apart.0.zones || !self.apart.unsure.is_empty() {
            self.store_apart(zones);
        }
    }

    /// Zones that are apart now, whose workers were answered some time ago, and that are
    /// not listed.
    fn newly_apart(&self) -> Vec<Arc<str>> {
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        let lease = self.config.worker_lease_bound;
        let silence = turning(self.config.report).min(lease / 3);
        let apart = leader.outlook.apart.iter();
        let apart = apart.filter(|zone| !self.withholds(zone));
        let silent = |zone: &Arc<str>| self.now() > self.answered_last(zone) + silence;
        apart.filter(|zone| silent(zone)).cloned().collect()
    }

    /// By then anybody in a zone was answered last, by this leader or one before it.
    fn answered_last(&self, zone: &Arc<str>) -> Duration {
        let own = self.apart.answered.get(zone).copied();
        let counting = self.apart.counting_since.unwrap_or(self.now());
        own.unwrap_or_default()
            .max(counting)
            .max(self.lead.former_stopped_at())
    }

    fn store_apart(&mut self, zones: BTreeMap<Arc<str>, u64>) {
        let Some(claim) = self.claim() else { return };
        let (record, version) = &self.mirror.apart;
        let new = zones
            .keys()
            .filter(|zone| !record.zones.contains_key(*zone));
        let new: BTreeSet<Arc<str>> = new.cloned().collect();
        info!(zones = ?zones.keys().collect::<Vec<_>>(), "zones apart");
        let conditions = vec![
            when(LEADER, claim),
            when(APART, *version),
            when(GENERATION, self.mirror.cluster.1),
        ];
        let record = ApartRecord { zones };
        let changes = vec![put(APART, &record)];
        // It counts as listed from now on.
        self.apart.unsure.extend(new);
        self.apart.writing = true;
        self.call(
            Purpose::StoreApart { claim, record },
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn apart_stored(&mut self, claim: u64, record: ApartRecord, reply: &StateReply) {
        let now = self.now();
        self.apart.writing = false;
        self.apart.retry = now + BACK_OFF;
        if self.claim() != Some(claim) {
            return;
        }
        // A write that was refused changes nothing, but one before it may not have been
        // answered: only one that is known to be in settles both.
        if let StateReply::Committed { revision } = reply {
            let before = &self.mirror.apart.0.zones;
            let removed = before.keys().any(|zone| !record.zones.contains_key(zone));
            if removed {
                self.apart.retry = now + RESTS;
            }
            self.apart.heard.clear();
            self.apart.unsure.clear();
            if *revision > self.mirror.apart.1 {
                self.mirror.apart = (record, *revision);
            }
        }
    }

    /// When the leases in each listed zone are over, for a new leader.
    pub(super) fn zones_over(&self) -> BTreeMap<Arc<str>, Duration> {
        let now = self.now();
        // Both ends of the span were read from clocks that may be off.
        let lease = self.config.worker_lease_bound + self.config.wall_error * 2;
        let zones = self.mirror.apart.0.zones.iter();
        let over = zones.map(|(zone, at)| {
            let ago = Duration::from_millis(self.clock.wall_ms.saturating_sub(*at));
            (zone.clone(), now + lease.saturating_sub(ago))
        });
        over.collect()
    }
}
