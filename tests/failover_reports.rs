//! Reports that reach a new leader before its failover's reads have ended, from workers or from
//! other nodes: each answer renews a lease that the leader waits for afterwards.

mod node_settings;
mod worker_reports;

use std::time::Duration;

use kiteyard::{
    core::{
        Answer, CallId, Clock, Input, Node, Output,
        config::{Config, Options},
        partitioned_zones::PartitionedZonesRecord,
        peer_message::PeerMessage,
        state_cache::LeaderRecord,
        store::{
            ASSIGNMENTS_PREFIX, Change, Entry, Event, LEADER_KEY, MACHINE_TYPES_KEY,
            PARTITIONED_ZONES_KEY, StateReply, StateRequest, shard_key,
        },
    },
    wire,
};
use serde_json::value::{RawValue, to_raw_value};

const FLAVORS: &[u8] =
    br#"{"frames": [{"label": "m", "cpus": 8.0, "gpus": 0.0, "mem_gb": 32.0, "fields": ["a"]}]}"#;
const SHARD: &str = r#"{"kinds":[["m","a",false]],"jobs":["run-000001"],
    "machines":[["vm-1",0,[0]]]}"#;
/// Revision of the previous claim, and of this node's.
const PREVIOUS_CLAIM: u64 = 9;
const CLAIM: u64 = 12;
/// The worker lease of `node_settings`, and the most that is added to it for drift.
const LEASE: Duration = Duration::from_secs(10);
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// How the report reaches the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Path {
    /// From the worker, during the failover.
    Direct,
    /// From the worker, before the claim was verified.
    Held,
    /// From another node.
    Forwarded,
}

/// A node, and the state service that answers it.
struct Site {
    node: Node,
    now: Duration,
    /// The state service refuses every request until then.
    available_from: Duration,
    /// Whether the reads of the failover get no answer.
    holds_reads: bool,
    has_claimed: bool,
    /// Whether the zone of the machine is stored as partitioned.
    is_zone_partitioned: bool,
    answers: Vec<Answer>,
    held_reads: Vec<CallId>,
}

fn leader_record(node: &str) -> Box<RawValue> {
    let record = LeaderRecord {
        node: node.into(),
        superseded: false,
    };
    to_raw_value(&record).expect("a record")
}

impl Site {
    fn new() -> Self {
        let config = Config::new(&node_settings::with_peers(2), Options::default());
        Self {
            node: Node::new(config),
            now: Duration::ZERO,
            available_from: Duration::ZERO,
            holds_reads: true,
            has_claimed: false,
            is_zone_partitioned: false,
            answers: Vec::new(),
            held_reads: Vec::new(),
        }
    }

    fn step(&mut self, input: Input) {
        let clock = Clock {
            now: self.now,
            wall_ms: self.now.as_millis() as u64,
        };
        for output in self.node.step(clock, input) {
            match output {
                Output::State { call, request, .. } => {
                    if let Some(reply) = self.state_reply(call, &request) {
                        self.step(Input::State { call, reply });
                    }
                }
                Output::Answer { answer, .. } => self.answers.push(answer),
                Output::Peer {
                    message: PeerMessage::Reported { answer, .. },
                    ..
                } => self.answers.extend(answer),
                _ => {}
            }
        }
    }

    fn state_reply(&mut self, call: CallId, request: &StateRequest) -> Option<StateReply> {
        if self.now < self.available_from {
            return Some(StateReply::Refused {
                retry_after: None,
                rate_limited: false,
            });
        }
        let revision = if self.has_claimed {
            CLAIM
        } else {
            PREVIOUS_CLAIM
        };
        Some(match request {
            StateRequest::Grant { .. } => StateReply::Granted { lease: 7 },
            StateRequest::Renew { .. } => StateReply::Renewed,
            StateRequest::Txn { changes, .. } => {
                let claims = |change: &Change| matches!(change, Change::Put { key, .. } if key == LEADER_KEY);
                self.has_claimed |= changes.iter().any(claims);
                StateReply::Committed { revision: CLAIM }
            }
            StateRequest::Watch { wait, .. } if wait.is_zero() => StateReply::Events {
                events: vec![Event {
                    key: LEADER_KEY.into(),
                    value: Some(leader_record("n0")),
                    revision,
                }],
                revision,
            },
            StateRequest::List { .. } if self.has_claimed && self.holds_reads => {
                self.held_reads.push(call);
                return None;
            }
            StateRequest::List { prefix, .. } => StateReply::Entries {
                entries: self.stored_entries(prefix),
                more: false,
                revision,
            },
            _ => return None,
        })
    }

    fn stored_entries(&self, prefix: &str) -> Vec<Entry> {
        let entry = |key: String, value| Entry {
            key,
            value,
            version: PREVIOUS_CLAIM,
        };
        if prefix == ASSIGNMENTS_PREFIX {
            let shard = RawValue::from_string(SHARD.into()).expect("valid JSON");
            return vec![entry(shard_key(0), shard)];
        }
        if !LEADER_KEY.starts_with(prefix) {
            return Vec::new();
        }
        let types = wire::cloud::parse_types(FLAVORS).expect("types");
        let types = to_raw_value(&types).expect("machine types");
        let mut entries = vec![
            entry(LEADER_KEY.into(), leader_record("n0")),
            entry(MACHINE_TYPES_KEY.into(), types),
        ];
        if self.is_zone_partitioned {
            let zones = PartitionedZonesRecord {
                zones: [("a".into(), 0)].into(),
            };
            let zones = to_raw_value(&zones).expect("a list of zones");
            entries.push(entry(PARTITIONED_ZONES_KEY.into(), zones));
        }
        entries
    }

    /// Runs the node until the given time.
    fn run_until(&mut self, until: Duration) {
        while self.now < until {
            self.now += Duration::from_millis(50);
            self.step(Input::Tick);
        }
    }

    /// Ends the reads of the failover: the ones without an answer are repeated.
    fn finish_reads(&mut self) {
        self.holds_reads = false;
        for call in std::mem::take(&mut self.held_reads) {
            let reply = StateReply::Unclear;
            self.step(Input::State { call, reply });
        }
        self.run_until(self.now + Duration::from_secs(1));
        assert!(self.node.has_taken_over());
    }

    fn send_report(&mut self, path: Path) {
        let machine = "vm-1";
        let report = worker_reports::report_of(machine, PREVIOUS_CLAIM << 16, Vec::new());
        let input = match path {
            Path::Direct | Path::Held => Input::Report { request: 7, report },
            Path::Forwarded => Input::Peer {
                from: "n1".into(),
                message: PeerMessage::Report { relay: 3, report },
            },
        };
        self.step(input);
    }

    /// Runs the node into its failover, with one report by this path. Returns the earliest time at
    /// which the report can have been answered.
    fn report_during_failover(&mut self, path: Path) -> Duration {
        if path == Path::Held {
            self.available_from = Duration::from_secs(2);
            self.run_until(Duration::from_secs(1));
            self.send_report(path);
            assert!(!self.has_renewed());
        }
        self.run_until(Duration::from_secs(3));
        assert!(self.has_claimed && !self.node.has_taken_over(), "{path:?}");
        match path {
            Path::Held => self.available_from,
            Path::Direct | Path::Forwarded => {
                self.send_report(path);
                self.now
            }
        }
    }

    fn has_renewed(&self) -> bool {
        let renews = |answer: &Answer| matches!(answer, Answer::Commands { token, .. } if *token == CLAIM << 16);
        self.answers.iter().any(renews)
    }
}

/// The next process of the node claims at once, which counts previous leases from its start. Its
/// reads take three seconds.
#[test]
fn a_silent_machine_is_empty_one_lease_after_any_answer_of_the_failover() {
    for path in [Path::Direct, Path::Held, Path::Forwarded] {
        let mut site = Site::new();
        let answered_at = site.report_during_failover(path);
        assert!(site.has_renewed(), "{path:?}: {:?}", site.answers);
        site.finish_reads();
        assert!(site.node.has_unresolved_machines(), "{path:?}");
        site.run_until(answered_at + LEASE);
        assert!(site.node.has_unresolved_machines(), "{path:?}: too early");
        site.run_until(answered_at + LEASE + LEASE_MARGIN);
        assert!(!site.node.has_unresolved_machines(), "{path:?}: too late");
    }
}

/// A machine whose reports nobody answered is not waited for any longer than that.
#[test]
fn a_silent_machine_without_an_answer_is_not_waited_for_longer() {
    let mut site = Site::new();
    site.run_until(Duration::from_secs(3));
    site.finish_reads();
    site.run_until(LEASE + LEASE_MARGIN);
    assert!(!site.node.has_unresolved_machines());
}

/// The leases of a zone that is stored as partitioned may count from the stored time alone, so
/// none of them is renewed during a failover.
#[test]
fn no_lease_of_a_partitioned_zone_is_renewed_during_the_failover() {
    for path in [Path::Direct, Path::Held, Path::Forwarded] {
        let mut site = Site::new();
        site.is_zone_partitioned = true;
        site.report_during_failover(path);
        site.run_until(Duration::from_secs(5));
        assert!(site.has_claimed && !site.node.has_taken_over(), "{path:?}");
        assert!(!site.has_renewed(), "{path:?}: {:?}", site.answers);
    }
}
