//! Compares the bounds on leases with a worker that follows the protocol, over every sequence of
//! answers by a previous leader and by this process.

use std::{sync::Arc, time::Duration};

use kiteyard_recovery::worker_leases::WorkerLeases;

const LEASE: Duration = Duration::from_secs(3);
/// Time at which the previous leader stops; some of its answers come after this process's first.
const PREVIOUS_STOPPED_AT: Duration = Duration::from_secs(2);
const EVENTS: [Event; 5] = [
    Event::PreviousLeaderAnswers,
    Event::Answered { arrives: true },
    Event::Answered { arrives: false },
    Event::DirectReply,
    Event::Nothing,
];
const STEPS: u32 = 6;

/// What happens within one second.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// A previous leader answers a report, as long as it may.
    PreviousLeaderAnswers,
    /// This process answers a report, and the worker receives the answer or not.
    Answered {
        arrives: bool,
    },
    /// The worker executes a direct command of this process.
    DirectReply,
    Nothing,
}

/// The worker, and what the leader knows of it.
struct Model {
    leases: WorkerLeases,
    worker: Arc<str>,
    zone: Arc<str>,
    renewed_at: Duration,
    has_seen_token: bool,
    is_known_to_have_seen_token: bool,
    last_contact: Option<Duration>,
}

impl Model {
    fn new() -> Self {
        Self {
            leases: WorkerLeases::new(LEASE, PREVIOUS_STOPPED_AT),
            worker: Arc::from("vm-1"),
            zone: Arc::from("a"),
            renewed_at: Duration::ZERO,
            has_seen_token: false,
            is_known_to_have_seen_token: false,
            last_contact: None,
        }
    }

    fn step(&mut self, event: Event, now: Duration) {
        match event {
            Event::PreviousLeaderAnswers => {
                if now <= PREVIOUS_STOPPED_AT && !self.has_seen_token {
                    self.renewed_at = now;
                }
            }
            Event::Answered { arrives } => {
                self.leases.record_renewal(&self.worker, now);
                self.is_known_to_have_seen_token = self.has_seen_token;
                self.last_contact = Some(now);
                if arrives {
                    self.renewed_at = now;
                    self.has_seen_token = true;
                }
            }
            // Without an earlier report, the leader does not know when the session began.
            Event::DirectReply if self.last_contact.is_some() => {
                self.has_seen_token = true;
                self.is_known_to_have_seen_token = true;
                self.leases.record_token_seen(&self.worker, now);
                self.last_contact = Some(now);
            }
            Event::DirectReply | Event::Nothing => {}
        }
    }

    fn lease_end(&self) -> Duration {
        let has_seen_token = self.is_known_to_have_seen_token;
        self.leases
            .lease_end(&self.worker, &self.zone, has_seen_token)
    }
}

/// No lease is taken to end before the worker gives up its tasks, and none is waited for longer
/// than the last contact and the end of the previous leader require.
#[test]
fn no_lease_ends_before_the_workers_own() {
    for number in 0..(EVENTS.len() as u32).pow(STEPS) {
        let mut model = Model::new();
        for step in 0..STEPS {
            let index = number / (EVENTS.len() as u32).pow(step) % EVENTS.len() as u32;
            let now = Duration::from_secs(u64::from(step));
            model.step(EVENTS[index as usize], now);
            let end = model.lease_end();
            let context = format!("sequence {number}, step {step}");
            assert!(end >= model.renewed_at + LEASE, "{context}: ends {end:?}");
            let latest = PREVIOUS_STOPPED_AT.max(model.last_contact.unwrap_or_default());
            assert!(end <= latest + LEASE, "{context}: ends {end:?}");
        }
    }
}

/// A worker that this process has not answered, in a zone whose workers nobody answers, is not
/// waited for beyond the end of that zone's leases; one that it has answered is.
#[test]
fn a_zones_lease_end_applies_to_workers_without_an_answer_alone() {
    let mut leases = WorkerLeases::new(LEASE, PREVIOUS_STOPPED_AT);
    let zone: Arc<str> = Arc::from("a");
    let zone_end = Duration::from_secs(1);
    leases.set_zone_lease_ends([(zone.clone(), zone_end)].into());
    assert_eq!(leases.lease_end("vm-1", &zone, false), zone_end);
    let now = Duration::from_secs(4);
    leases.record_renewal(&Arc::from("vm-1"), now);
    assert_eq!(leases.lease_end("vm-1", &zone, false), now + LEASE);
    assert_eq!(leases.lease_end("vm-2", &zone, false), zone_end);
    leases.remove("vm-1");
    assert_eq!(leases.lease_end("vm-1", &zone, false), zone_end);
}
