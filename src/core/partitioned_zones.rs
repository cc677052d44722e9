//! Stored list of partitioned zones, which binds this leader and its successors.
//!
//! If a leader fails while a zone is partitioned, its successor does not know since when the
//! workers there were not answered, and would wait for a whole lease again before their tasks
//! start elsewhere. So the leader stores when it last answered a worker of a partitioned zone.
//! While a zone is listed, no leader
//!
//! - answers a report from that zone with status 200, or
//! - sends a start command there.
//!
//! A leader that needs to do so first removes the zone, by a write that is conditional on its
//! claim and that it has seen committed. So no lease in the zone outlasts one that began at the
//! stored time, and a task that starts there late has stopped by then.

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
    way_back: true,
    forms: &["live/apart"],
};

/// Partitioned zones with the time of the last answer to their workers, in Unix milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartitionedZonesRecord {
    pub zones: BTreeMap<Arc<str>, u64>,
}

/// Sender of a deferred report: a worker, or a node that forwarded it.
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
    /// Time of this node's last answer to a worker of each zone, recorded since `counting_since`.
    answered: HashMap<Arc<str>, Duration>,
    counting_since: Option<Duration>,
    writing: bool,
    /// Zones that a write lists which is in flight, or whose result is unknown.
    unsure: BTreeSet<Arc<str>>,
    /// Listed zones that were heard again and should be removed from the list.
    heard: BTreeSet<Arc<str>>,
    waiting: Vec<Waiting>,
    /// Number of tasks listed by the deferred reports.
    waiting_tasks: usize,
    retry: Duration,
}

/// Time for which a report waits until its zone is removed from the list: less than the second
/// that another node waits for a forwarded report, and less than a worker waits.
const DEFERRED_FOR: Duration = Duration::from_millis(900);
/// Delay before a zone that was heard again may be listed again.
const RELIST_AFTER: Duration = Duration::from_secs(5);

impl Node {
    /// Returns whether the stored generation includes the list of partitioned zones.
    fn stores_partitioned_zones(&self) -> bool {
        self.cache.cluster.0.written() >= PARTITIONED_ZONES_FEATURE.since
    }

    /// Returns whether the zone is or may be listed, so that its workers must not be answered.
    fn is_partitioned(&self, zone: &str) -> bool {
        let partitioned_zones = &self.partitioned_zones;
        self.cache.partitioned_zones.0.zones.contains_key(zone)
            || partitioned_zones.unsure.contains(zone)
    }

    /// Records an answer with status 200 to a worker of a zone.
    pub(super) fn record_zone_answer(&mut self, zone: &Arc<str>) {
        if self.partitioned_zones.counting_since.is_some() {
            let now = self.now();
            self.partitioned_zones.answered.insert(zone.clone(), now);
        }
    }

    /// Marks a listed zone for removal after a heartbeat from one of its machines.
    pub(super) fn record_zone_heartbeat(&mut self, zone: &Arc<str>) {
        if self.is_partitioned(zone) {
            self.partitioned_zones.heard.insert(zone.clone());
        }
    }

    /// Defers a report that must not be answered yet; otherwise returns it.
    pub(super) fn defer_report(
        &mut self,
        request: RequestId,
        report: WorkerReport,
    ) -> Option<WorkerReport> {
        self.defer(ReportOrigin::Worker(request), report)
    }

    /// Defers a report that another node forwarded; otherwise returns it.
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

    /// Returns whether a deferred report can be answered or has waited too long.
    fn waiting_due(&self, now: Duration) -> bool {
        let Some(first) = self.partitioned_zones.waiting.first() else {
            return false;
        };
        // All wait equally long, so the first one expires first.
        if !self.is_leader() || now >= first.until {
            return true;
        }
        let mut waiting = self.partitioned_zones.waiting.iter();
        waiting.any(|waiting| !self.is_partitioned(&waiting.report.zone))
    }

    /// Answers the deferred reports whose zone was removed from the list, and redirects those that
    /// waited too long, or all of them if this node no longer leads.
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
                ReportOrigin::Worker(request) => self.report_received(request, waiting.report),
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
            // Late writes of a lost claim fail. As long as the claim may become valid again, as
            // after an outage, a write without a reply may still be executed.
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
            // The machines of a zone that is no longer withheld may not have changed, so their
            // reports alone would not return the waiting jobs to the heap.
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
        // The next committed write resolves the unconfirmed zones, whatever it lists.
        if zones != self.cache.partitioned_zones.0.zones
            || !self.partitioned_zones.unsure.is_empty()
        {
            self.store_partitions(zones);
        }
    }

    /// Returns the partitioned zones that are not listed and whose workers were not answered
    /// recently.
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

    /// Returns an upper bound of the time of the last answer to a worker of a zone, by this leader
    /// or a previous one.
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
        info!(zones = ?zones.keys().collect::<Vec<_>>(), "storing the list of partitioned zones");
        let conditions = vec![
            when(LEADER, claim),
            when(PARTITIONED, *version),
            when(GENERATION, self.cache.cluster.1),
        ];
        let record = PartitionedZonesRecord { zones };
        let changes = vec![put(PARTITIONED, &record)];
        // New zones count as listed from now on.
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
        // A refused write changes nothing, but an earlier write without a reply may still be
        // executed. Only a committed write resolves both.
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

    /// Returns the time by which the leases in each listed zone have expired, for a new leader.
    pub(super) fn zone_lease_ends(&self) -> BTreeMap<Arc<str>, Duration> {
        let now = self.now();
        // Both ends of the interval were read from clocks that may be off by `wall_error`.
        let lease = self.config.worker_lease_bound + self.config.wall_error * 2;
        let zones = self.cache.partitioned_zones.0.zones.iter();
        let over = zones.map(|(zone, at)| {
            let ago = Duration::from_millis(self.clock.wall_ms.saturating_sub(*at));
            (zone.clone(), now + lease.saturating_sub(ago))
        });
        over.collect()
    }
}
