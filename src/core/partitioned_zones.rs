//! Stored list of partitioned zones, which binds this leader and its successors.
//!
//! If a leader fails while a zone is partitioned, its successor does not know when the workers
//! there were last answered, and would wait for a whole lease again before their tasks start
//! elsewhere. So the leader stores when it last answered a worker of a partitioned zone.
//! While a zone is listed, no leader
//!
//! - answers a report from that zone with status 200, or
//! - sends a start command there.
//!
//! A leader that needs to do so first removes the zone, by a write that is conditional on its
//! claim and that it has seen committed. So no lease in the zone outlasts one that began at the
//! stored time, and a task that starts there late stops no later than that.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use kiteyard_rollout::generation::Feature;
use serde::{Deserialize, Serialize};
use tracing::info;

use super::{
    Answer, Node, Output, Purpose, RETRY_DELAY, RequestId,
    heartbeat::worker_move_time,
    machine::WorkerReport,
    peer_message::PeerMessage,
    store::{
        GENERATION_KEY, LEADER_KEY, PARTITIONED_ZONES_KEY, StateReply, StateRequest, if_version,
        put,
    },
};

pub const PARTITIONED_ZONES_FEATURE: Feature = Feature {
    name: "zones-apart",
    since: 3,
    is_reversible: true,
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
struct DeferredReport {
    origin: ReportOrigin,
    report: WorkerReport,
    deadline: Duration,
}

#[derive(Debug, Default)]
pub struct PartitionedZones {
    /// Time of this node's last answer to a worker of each zone, recorded since `recording_since`.
    answered_at: HashMap<Arc<str>, Duration>,
    recording_since: Option<Duration>,
    write_in_flight: bool,
    /// Zones listed by a write that is in flight or whose result is unknown.
    unconfirmed: BTreeSet<Arc<str>>,
    /// Listed zones that are reachable again and should be removed from the list.
    reachable_again: BTreeSet<Arc<str>>,
    deferred: Vec<DeferredReport>,
    /// Number of tasks listed by the deferred reports.
    deferred_tasks: usize,
    retry_at: Duration,
}

/// Time for which a report waits until its zone is removed from the list: less than the second
/// that another node waits for a forwarded report, and less than a worker waits.
const DEFER_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a zone that became reachable again may be listed again.
const RELIST_DELAY: Duration = Duration::from_secs(5);

impl Node {
    /// Returns whether the stored generation includes the list of partitioned zones.
    fn stores_partitioned_zones(&self) -> bool {
        self.cache.generation.0.written_generation() >= PARTITIONED_ZONES_FEATURE.since
    }

    /// Returns whether the zone is or may be listed, so that its workers must not be answered.
    fn is_partitioned(&self, zone: &str) -> bool {
        let partitioned_zones = &self.partitioned_zones;
        self.cache.partitioned_zones.0.zones.contains_key(zone)
            || partitioned_zones.unconfirmed.contains(zone)
    }

    /// Records an answer with status 200 to a worker of a zone.
    pub(super) fn record_zone_answer(&mut self, zone: &Arc<str>) {
        if self.partitioned_zones.recording_since.is_some() {
            let now = self.now();
            self.partitioned_zones.answered_at.insert(zone.clone(), now);
        }
    }

    /// Marks a listed zone for removal after a heartbeat from one of its machines.
    pub(super) fn record_zone_heartbeat(&mut self, zone: &Arc<str>) {
        if self.is_partitioned(zone) {
            self.partitioned_zones.reachable_again.insert(zone.clone());
        }
    }

    /// Defers a report that must not be answered yet; otherwise returns it.
    pub(super) fn defer_report(
        &mut self,
        request: RequestId,
        report: WorkerReport,
    ) -> Option<WorkerReport> {
        self.defer_report_from(ReportOrigin::Worker(request), report)
    }

    /// Defers a report that another node forwarded; otherwise returns it.
    pub(super) fn defer_forwarded_report(
        &mut self,
        from: &str,
        relay: u64,
        report: WorkerReport,
    ) -> Option<WorkerReport> {
        self.defer_report_from(ReportOrigin::Node(from.to_owned(), relay), report)
    }

    fn defer_report_from(
        &mut self,
        origin: ReportOrigin,
        report: WorkerReport,
    ) -> Option<WorkerReport> {
        if !self.is_leader() || !self.is_partitioned(&report.zone) {
            return Some(report);
        }
        let deferred = DeferredReport {
            origin,
            deadline: self.now() + DEFER_TIMEOUT,
            report,
        };
        let tasks = self.partitioned_zones.deferred_tasks + deferred.report.tasks.len();
        let is_full = self.partitioned_zones.deferred.len() >= self.config.max_waiting_requests
            || tasks > self.config.max_waiting_tasks;
        if is_full {
            self.redirect_report(deferred.origin);
            return None;
        }
        self.partitioned_zones.deferred_tasks = tasks;
        self.partitioned_zones.deferred.push(deferred);
        None
    }

    fn redirect_report(&mut self, origin: ReportOrigin) {
        match origin {
            ReportOrigin::Worker(request) => self.answer(request, Answer::Redirect(None)),
            ReportOrigin::Node(to, relay) => {
                let answer = None;
                let message = PeerMessage::Reported { relay, answer };
                self.outputs.push(Output::Peer { to, message });
            }
        }
    }

    /// Returns whether a deferred report can be answered or has waited too long.
    fn is_deferred_report_due(&self, now: Duration) -> bool {
        let Some(first) = self.partitioned_zones.deferred.first() else {
            return false;
        };
        // All wait equally long, so the first one expires first.
        if !self.is_leader() || now >= first.deadline {
            return true;
        }
        let mut reports = self.partitioned_zones.deferred.iter();
        reports.any(|deferred| !self.is_partitioned(&deferred.report.zone))
    }

    /// Answers the deferred reports whose zone was removed from the list, and redirects those that
    /// waited too long, or all of them if this node no longer leads.
    fn drive_deferred_reports(&mut self) {
        let now = self.now();
        if !self.is_deferred_report_due(now) {
            return;
        }
        self.partitioned_zones.deferred_tasks = 0;
        for deferred in std::mem::take(&mut self.partitioned_zones.deferred) {
            let can_answer = self.is_leader() && !self.is_partitioned(&deferred.report.zone);
            if !can_answer && self.is_leader() && now < deferred.deadline {
                self.partitioned_zones.deferred_tasks += deferred.report.tasks.len();
                self.partitioned_zones.deferred.push(deferred);
                continue;
            }
            if !can_answer {
                self.redirect_report(deferred.origin);
                continue;
            }
            match deferred.origin {
                ReportOrigin::Worker(request) => self.report_received(request, deferred.report),
                ReportOrigin::Node(to, relay) => {
                    let answer = self.answer_as_leader(&deferred.report);
                    let message = PeerMessage::Reported { relay, answer };
                    self.outputs.push(Output::Peer { to, message });
                }
            }
        }
    }

    pub(super) fn drive_partitions(&mut self) {
        let now = self.now();
        if self.stores_partitioned_zones() {
            self.partitioned_zones.recording_since.get_or_insert(now);
        }
        self.drive_deferred_reports();
        if self.claim().is_none() {
            // Late writes of a lost claim fail. As long as the claim may become valid again, as
            // after an outage, a write without a reply may still be executed.
            self.partitioned_zones.unconfirmed.clear();
            self.partitioned_zones.reachable_again.clear();
        }
        if !self.is_leader() {
            return;
        }
        let listed = &self.cache.partitioned_zones.0.zones;
        let unconfirmed = &self.partitioned_zones.unconfirmed;
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        if !listed.is_empty() || !unconfirmed.is_empty() || !cluster.start_blocked_zones.is_empty()
        {
            let blocked: BTreeSet<Arc<str>> = listed.keys().chain(unconfirmed).cloned().collect();
            // The machines of a zone that is no longer blocked may not have changed, so their
            // reports alone would not return the waiting jobs to the heap.
            if blocked != cluster.start_blocked_zones {
                cluster.start_blocked_zones = blocked;
                cluster.requeue();
            }
        }
        if self.partitioned_zones.write_in_flight || now < self.partitioned_zones.retry_at {
            return;
        }
        let mut zones = self.cache.partitioned_zones.0.zones.clone();
        let stores_zones = self.stores_partitioned_zones();
        zones.retain(|zone, _| {
            stores_zones && !self.partitioned_zones.reachable_again.contains(zone)
        });
        if stores_zones && self.has_previous_leader_stopped() {
            for zone in self.newly_partitioned() {
                let last = self.last_answered(&zone);
                let elapsed = now.saturating_sub(last).as_millis() as u64;
                zones.insert(zone, self.clock.wall_ms.saturating_sub(elapsed));
            }
        }
        // The next committed write resolves the unconfirmed zones, whatever it lists.
        if zones != self.cache.partitioned_zones.0.zones
            || !self.partitioned_zones.unconfirmed.is_empty()
        {
            self.store_partitioned_zones(zones);
        }
    }

    /// Returns the partitioned zones that are not listed and whose workers were not answered
    /// recently.
    fn newly_partitioned(&self) -> Vec<Arc<str>> {
        let Some(cluster) = &self.cluster else {
            return Vec::new();
        };
        let lease = self.config.worker_lease_bound;
        let silence = worker_move_time(self.config.report_interval).min(lease / 3);
        let partitioned_zones = cluster.reachability.partitioned_zones.iter();
        let partitioned_zones = partitioned_zones.filter(|zone| !self.is_partitioned(zone));
        let is_silent = |zone: &Arc<str>| self.now() > self.last_answered(zone) + silence;
        partitioned_zones
            .filter(|zone| is_silent(zone))
            .cloned()
            .collect()
    }

    /// Returns an upper bound of the time of the last answer to a worker of a zone, by this leader
    /// or a previous one.
    fn last_answered(&self, zone: &Arc<str>) -> Duration {
        let own_answer = self.partitioned_zones.answered_at.get(zone).copied();
        let recording_since = self.partitioned_zones.recording_since.unwrap_or(self.now());
        own_answer
            .unwrap_or_default()
            .max(recording_since)
            .max(self.election.previous_leader_stopped_at())
    }

    fn store_partitioned_zones(&mut self, zones: BTreeMap<Arc<str>, u64>) {
        let Some(claim) = self.claim() else { return };
        let (record, version) = &self.cache.partitioned_zones;
        let new_zones = zones
            .keys()
            .filter(|zone| !record.zones.contains_key(*zone));
        let new_zones: BTreeSet<Arc<str>> = new_zones.cloned().collect();
        info!(zones = ?zones.keys().collect::<Vec<_>>(), "storing the list of partitioned zones");
        let conditions = vec![
            if_version(LEADER_KEY, claim),
            if_version(PARTITIONED_ZONES_KEY, *version),
            if_version(GENERATION_KEY, self.cache.generation.1),
        ];
        let record = PartitionedZonesRecord { zones };
        let changes = vec![put(PARTITIONED_ZONES_KEY, &record)];
        // New zones count as listed from now on.
        self.partitioned_zones.unconfirmed.extend(new_zones);
        self.partitioned_zones.write_in_flight = true;
        self.call(
            Purpose::StorePartitions { claim, record },
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn partitioned_zones_answered(
        &mut self,
        claim: u64,
        record: PartitionedZonesRecord,
        reply: &StateReply,
    ) {
        let now = self.now();
        self.partitioned_zones.write_in_flight = false;
        self.partitioned_zones.retry_at = now + RETRY_DELAY;
        if self.claim() != Some(claim) {
            return;
        }
        // A refused write changes nothing, but an earlier write without a reply may still be
        // executed. Only a committed write resolves both.
        if let StateReply::Committed { revision } = reply {
            let previous = &self.cache.partitioned_zones.0.zones;
            let has_removed = previous.keys().any(|zone| !record.zones.contains_key(zone));
            if has_removed {
                self.partitioned_zones.retry_at = now + RELIST_DELAY;
            }
            self.partitioned_zones.reachable_again.clear();
            self.partitioned_zones.unconfirmed.clear();
            if *revision > self.cache.partitioned_zones.1 {
                self.cache.partitioned_zones = (record, *revision);
            }
        }
    }

    /// Returns the time by which the leases in each listed zone have expired, for a new leader.
    pub(super) fn zone_lease_ends(&self) -> BTreeMap<Arc<str>, Duration> {
        let now = self.now();
        // Both ends of the interval were read from clocks that may be off by the maximum error.
        let lease = self.config.worker_lease_bound + self.config.max_wall_clock_error * 2;
        let zones = self.cache.partitioned_zones.0.zones.iter();
        let lease_ends = zones.map(|(zone, at)| {
            let elapsed = Duration::from_millis(self.clock.wall_ms.saturating_sub(*at));
            (zone.clone(), now + lease.saturating_sub(elapsed))
        });
        lease_ends.collect()
    }
}
