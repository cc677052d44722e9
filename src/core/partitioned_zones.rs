//! Zones that are partitioned, as stored: a promise to whoever leads next.
//!
//! A leader that ends while a zone is partitioned leaves a successor that does not know since
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
    heartbeat::worker_move_time,
    machine::WorkerReport,
    peer_message::PeerMessage,
    store::{GENERATION, LEADER, PARTITIONED, StateReply, StateRequest, put, when},
};

pub const PARTITIONED_ZONES_FEATURE: Feature = Feature {
    name: "zones-apart",
    since: 3,
    is_reversible: true,
    forms: &["live/apart"],
};

/// When workers of these zones were answered last, in milliseconds of the time of day.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartitionedZonesRecord {
    pub zones: BTreeMap<Arc<str>, u64>,
}

/// Where a report came from that has to wait.
#[derive(Debug)]
enum ReportOrigin {
    Worker(RequestId),
    Node(String, u64),
}

#[derive(Debug)]
struct Waiting {
    origin: ReportOrigin,
    report: WorkerReport,
    until: Duration,
}

#[derive(Debug, Default)]
pub struct PartitionedZones {
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
const DEFERRED_FOR: Duration = Duration::from_millis(900);
/// A zone that was heard again is not listed again at once.
const RELIST_AFTER: Duration = Duration::from_secs(5);

impl Node {
    fn stores_partitioned_zones(&self) -> bool {
        self.cache.cluster.0.written_generation() >= PARTITIONED_ZONES_FEATURE.since
    }

    /// Nobody in that zone may be answered, or sent a start.
    fn is_partitioned(&self, zone: &str) -> bool {
        let partitioned_zones = &self.partitioned_zones;
        self.cache.partitioned_zones.0.zones.contains_key(zone)
            || partitioned_zones.unsure.contains(zone)
    }

    /// An answer with 200 was given.
    pub(super) fn record_zone_answer(&mut self, zone: &Arc<str>) {
        if self.partitioned_zones.counting_since.is_some() {
            let now = self.now();
            self.partitioned_zones.answered.insert(zone.clone(), now);
        }
    }

    /// A heartbeat: the zone has to be removed before anybody there is answered.
    pub(super) fn record_zone_heartbeat(&mut self, zone: &Arc<str>) {
        if self.is_partitioned(zone) {
            self.partitioned_zones.heard.insert(zone.clone());
        }
    }

    /// Keeps a report that may not be answered yet; gives it back where it may.
    pub(super) fn defer_report(
        &mut self,
        request: RequestId,
        report: WorkerReport,
    ) -> Option<WorkerReport> {
        self.defer(ReportOrigin::Worker(request), report)
    }

    /// The same for one that another node relayed.
    pub(super) fn defer_forwarded_report(
        &mut self,
        from: &str,
        relay: u64,
        report: WorkerReport,
    ) -> Option<WorkerReport> {
        self.defer(ReportOrigin::Node(from.to_owned(), relay), report)
    }

    fn defer(&mut self, origin: ReportOrigin, report: WorkerReport) -> Option<WorkerReport> {
        if !self.is_leader() || !self.is_partitioned(&report.zone) {
            return Some(report);
        }
        let waiting = Waiting {
            origin,
            until: self.now() + DEFERRED_FOR,
            report,
        };
        let tasks = self.partitioned_zones.waiting_tasks + waiting.report.tasks.len();
        let full = self.partitioned_zones.waiting.len() >= self.config.requests_most
            || tasks > self.config.waiting_tasks_most;
        if full {
            self.redirect(waiting.origin);
            return None;
        }
        self.partitioned_zones.waiting_tasks = tasks;
        self.partitioned_zones.waiting.push(waiting);
        None
    }

    fn redirect(&mut self, origin: ReportOrigin) {
        match origin {
            ReportOrigin::Worker(request) => self.answer(request, Answer::Redirect(None)),
            ReportOrigin::Node(to, relay) => {
                let answer = None;
                let message = PeerMessage::Reported { relay, answer };
                self.out.push(Output::Peer { to, message });
            }
        }
    }

    /// Whether a waiting report can be answered or has waited too long.
    fn waiting_due(&self, now: Duration) -> bool {
        let Some(first) = self.partitioned_zones.waiting.first() else {
            return false;
        };
        // They wait equally long, so the first is over before the others.
        if !self.is_leader() || now >= first.until {
            return true;
        }
        let mut waiting = self.partitioned_zones.waiting.iter();
        waiting.any(|waiting| !self.is_partitioned(&waiting.report.zone))
    }

    /// Reports whose zone was removed are answered; those that waited too long, or whose
    /// node leads no more, are sent on.
    fn drive_deferred_reports(&mut self) {
        let now = self.now();
        if !self.waiting_due(now) {
            return;
        }
        self.partitioned_zones.waiting_tasks = 0;
        for waiting in std::mem::take(&mut self.partitioned_zones.waiting) {
            let free = self.is_leader() && !self.is_partitioned(&waiting.report.zone);
            if !free && self.is_leader() && now < waiting.until {
                self.partitioned_zones.waiting_tasks += waiting.report.tasks.len();
                self.partitioned_zones.waiting.push(waiting);
                continue;
            }
            if !free {
                self.redirect(waiting.origin);
                continue;
            }
            match waiting.origin {
                ReportOrigin::Worker(request) => self.report(request, waiting.report),
                ReportOrigin::Node(to, relay) => {
                    let answer = self.answer_as_leader(&waiting.report);
                    let message = PeerMessage::Reported { relay, answer };
                    self.out.push(Output::Peer { to, message });
                }
            }
        }
    }

    pub(super) fn drive_partitions(&mut self) {
        let now = self.now();
        if self.stores_partitioned_zones() {
            self.partitioned_zones.counting_since.get_or_insert(now);
        }
        self.drive_deferred_reports();
        if self.claim().is_none() {
            // A write of that claim that comes late fails. While the claim may stand again,
            // as after an outage, one that was not answered may still be done.
            self.partitioned_zones.unsure.clear();
            self.partitioned_zones.heard.clear();
        }
        if !self.is_leader() {
            return;
        }
        let listed = &self.cache.partitioned_zones.0.zones;
        let unsure = &self.partitioned_zones.unsure;
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        if !listed.is_empty() || !unsure.is_empty() || !cluster.withheld.is_empty() {
            let withheld: BTreeSet<Arc<str>> = listed.keys().chain(unsure).cloned().collect();
            // The machines of a zone that was reopened have not changed: none of their
            // reports would bring the waiting jobs back to the heap.
            if withheld != cluster.withheld {
                cluster.withheld = withheld;
                cluster.requeue();
            }
        }
        if self.partitioned_zones.writing || now < self.partitioned_zones.retry {
            return;
        }
        let mut zones = self.cache.partitioned_zones.0.zones.clone();
        let lists = self.stores_partitioned_zones();
        zones.retain(|zone, _| lists && !self.partitioned_zones.heard.contains(zone));
        if lists && self.has_previous_leader_stopped() {
            for zone in self.newly_partitioned() {
                let last = self.last_answered(&zone);
                let ago = now.saturating_sub(last).as_millis() as u64;
                zones.insert(zone, self.clock.wall_ms.saturating_sub(ago));
            }
        }
        // One that may have been listed is settled by the next write, whatever it says.
        if zones != self.cache.partitioned_zones.0.zones
            || !self.partitioned_zones.unsure.is_empty()
        {
            self.store_partitions(zones);
        }
    }

    /// Zones that are apart now, whose workers were answered some time ago, and that are
    /// not listed.
    fn newly_partitioned(&self) -> Vec<Arc<str>> {
        let Some(cluster) = &self.cluster else {
            return Vec::new();
        };
        let lease = self.config.worker_lease_bound;
        let silence = worker_move_time(self.config.report).min(lease / 3);
        let partitioned_zones = cluster.reachability.partitioned_zones.iter();
        let partitioned_zones = partitioned_zones.filter(|zone| !self.is_partitioned(zone));
        let silent = |zone: &Arc<str>| self.now() > self.last_answered(zone) + silence;
        partitioned_zones
            .filter(|zone| silent(zone))
            .cloned()
            .collect()
    }

    /// By then anybody in a zone was answered last, by this leader or one before it.
    fn last_answered(&self, zone: &Arc<str>) -> Duration {
        let own = self.partitioned_zones.answered.get(zone).copied();
        let counting = self.partitioned_zones.counting_since.unwrap_or(self.now());
        own.unwrap_or_default()
            .max(counting)
            .max(self.election.previous_leader_stopped_at())
    }

    fn store_partitions(&mut self, zones: BTreeMap<Arc<str>, u64>) {
        let Some(claim) = self.claim() else { return };
        let (record, version) = &self.cache.partitioned_zones;
        let new = zones
            .keys()
            .filter(|zone| !record.zones.contains_key(*zone));
        let new: BTreeSet<Arc<str>> = new.cloned().collect();
        info!(zones = ?zones.keys().collect::<Vec<_>>(), "partitioned zones");
        let conditions = vec![
            when(LEADER, claim),
            when(PARTITIONED, *version),
            when(GENERATION, self.cache.cluster.1),
        ];
        let record = PartitionedZonesRecord { zones };
        let changes = vec![put(PARTITIONED, &record)];
        // It counts as listed from now on.
        self.partitioned_zones.unsure.extend(new);
        self.partitioned_zones.writing = true;
        self.call(
            Purpose::StorePartitions { claim, record },
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn zones_stored(
        &mut self,
        claim: u64,
        record: PartitionedZonesRecord,
        reply: &StateReply,
    ) {
        let now = self.now();
        self.partitioned_zones.writing = false;
        self.partitioned_zones.retry = now + BACK_OFF;
        if self.claim() != Some(claim) {
            return;
        }
        // A write that was refused changes nothing, but one before it may not have been
        // answered: only one that is known to be in settles both.
        if let StateReply::Committed { revision } = reply {
            let before = &self.cache.partitioned_zones.0.zones;
            let removed = before.keys().any(|zone| !record.zones.contains_key(zone));
            if removed {
                self.partitioned_zones.retry = now + RELIST_AFTER;
            }
            self.partitioned_zones.heard.clear();
            self.partitioned_zones.unsure.clear();
            if *revision > self.cache.partitioned_zones.1 {
                self.cache.partitioned_zones = (record, *revision);
            }
        }
    }

    /// When the leases in each listed zone are over, for a new leader.
    pub(super) fn zone_lease_ends(&self) -> BTreeMap<Arc<str>, Duration> {
        let now = self.now();
        // Both ends of the span were read from clocks that may be off.
        let lease = self.config.worker_lease_bound + self.config.wall_error * 2;
        let zones = self.cache.partitioned_zones.0.zones.iter();
        let over = zones.map(|(zone, at)| {
            let ago = Duration::from_millis(self.clock.wall_ms.saturating_sub(*at));
            (zone.clone(), now + lease.saturating_sub(ago))
        });
        over.collect()
    }
}
