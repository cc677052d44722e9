//! Golden files with every stored record and peer message of every generation: a form that changes
//! without a new generation fails here. An unknown form must be rejected or read with the same
//! meaning.

use kiteyard::{
    core::{
        assignment_index::ShardRecord,
        job::{JobRecord, JobState, TaskSet, TerminalRecord},
        machine::MachineType,
        partitioned_zones::PartitionedZonesRecord,
        state_cache::LeaderRecord,
        stored_heartbeat::StoredHeartbeat,
        terminal_states::{TerminalStates, parse_single},
    },
    wire::peer::Line,
};
use kiteyard_maintenance::drain::Drains;
use kiteyard_rollout::generation::{Ability, ClusterGeneration, Orders};
use proptest::prelude::*;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

const GENERATION_1: &str = include_str!("forms/generation-1.jsonl");
const GENERATION_2: &str = include_str!("forms/generation-2.jsonl");
const GENERATION_3: &str = include_str!("forms/generation-3.jsonl");
const GENERATION_4: &str = include_str!("forms/generation-4.jsonl");
/// Records with job dependencies, whose fields are omitted if there are none.
const JOB_DEPENDENCIES: &str = include_str!("forms/dependencies.jsonl");
const PEER_MESSAGES: &str = include_str!("forms/peers.jsonl");

fn round_trip<T: DeserializeOwned + Serialize>(text: &str) -> Option<String> {
    let read: T = serde_json::from_str(text).ok()?;
    serde_json::to_string(&read).ok()
}

fn round_trip_chunk(text: &str) -> Option<String> {
    let text: String = serde_json::from_str(text).ok()?;
    let mut set = TaskSet::default();
    let read = set.decode_chunk(0, &text);
    read.then(|| Value::from(set.encode_chunk(0)).to_string())
}

fn round_trip_shard(text: &str) -> Option<String> {
    serde_json::to_string(&ShardRecord::parse(text)?).ok()
}

/// Parses a stored value as the service does and encodes it again.
fn round_trip_value(key: &str, text: &str) -> Option<String> {
    let (first, rest) = key.split_once('/').expect("key with a prefix");
    match (first, rest) {
        ("live", "leader") => round_trip::<LeaderRecord>(text),
        ("live", "settled") => round_trip::<u64>(text),
        // Only its revision counts.
        ("live", "claims") => round_trip::<String>(text),
        ("live", "types") => round_trip::<Vec<MachineType>>(text),
        ("live", "generation") => round_trip::<ClusterGeneration>(text),
        ("live", "orders") => round_trip::<Orders>(text),
        ("live", "sign") => round_trip::<StoredHeartbeat>(text),
        ("live", "drains") => round_trip::<Drains>(text),
        ("live", "apart") => round_trip::<PartitionedZonesRecord>(text),
        ("live", rest) if rest.starts_with("node/") => round_trip::<Ability>(text),
        ("live", _) => round_trip::<JobRecord>(text),
        ("final", _) => serde_json::to_string(&parse_single(text)?).ok(),
        ("ends", _) => round_trip::<TerminalStates>(text),
        ("progress", _) => round_trip_chunk(text),
        ("roster", _) => round_trip_shard(text),
        _ => panic!("no form for {key}"),
    }
}

fn golden_lines() -> impl Iterator<Item = &'static str> {
    let first = GENERATION_1.lines().chain(GENERATION_2.lines());
    let later = GENERATION_3.lines().chain(GENERATION_4.lines());
    first.chain(later).chain(JOB_DEPENDENCIES.lines())
}

fn golden_records() -> Vec<(String, Value)> {
    let line = |line: &str| {
        let mut line: Value = serde_json::from_str(line).expect("JSON");
        let key = line["key"].as_str().expect("a key").to_owned();
        (key, line["value"].take())
    };
    golden_lines().map(line).collect()
}

#[test]
fn stored_records_match_their_golden_files() {
    for text in golden_lines() {
        let (key, value) = text
            .strip_prefix(r#"{"key":""#)
            .and_then(|rest| rest.split_once(r#"","value":"#))
            .expect("a key and a value");
        let value = value.strip_suffix('}').expect("the end of the line");
        assert_eq!(
            round_trip_value(key, value).as_deref(),
            Some(value),
            "{key}"
        );
    }
}

/// The record of a job without dependencies has the same form as before dependencies were added.
#[test]
fn job_without_dependencies_keeps_its_form() {
    let with_needs = JOB_DEPENDENCIES
        .lines()
        .filter(|line| line.contains("live/job"));
    let mut seen = 0;
    for line in with_needs {
        let mut line: Value = serde_json::from_str(line).expect("JSON");
        let spec = line["value"]["spec"].as_object_mut().expect("a job");
        spec.remove("needs").expect("needs field");
        let plain = line["value"].to_string();
        let record: JobRecord = serde_json::from_str(&plain).expect("a job");
        assert!(record.spec.needs.is_empty());
        let written = serde_json::to_string(&record).expect("a job");
        assert!(!written.contains("needs"), "{written}");
        assert_eq!(
            serde_json::from_str::<Value>(&written).ok(),
            Some(line["value"].take())
        );
        seen += 1;
    }
    assert_eq!(seen, 2);
}

#[test]
fn terminal_state_times_are_parsed() {
    let states: TerminalStates =
        serde_json::from_str(r#""07c3,12d400t1733130000000""#).expect("terminal states");
    let timed = TerminalRecord {
        state: JobState::Done,
        done: 400,
        ended_ms: Some(1_733_130_000_000),
    };
    assert_eq!(states.get("12"), Some(timed));
    assert_eq!(states.get("07"), Some(TerminalRecord::cancelled(3)));
    let single = r#"{"state":"done","done":400,"ended_ms":1733130000000}"#;
    assert_eq!(parse_single(single), Some(timed));
    for text in [
        "12d400t",
        "12d400t-1",
        "12d400t1t2",
        "12dt5",
        "12d400x5",
        "12t5d400",
    ] {
        let text = Value::from(text).to_string();
        assert!(
            serde_json::from_str::<TerminalStates>(&text).is_err(),
            "{text}"
        );
    }
}

/// The terminal states of a whole range fit into the smallest value limit of a state service. Their
/// times may be dropped for this, but never a terminal state.
#[test]
fn full_range_fits_into_smallest_value_limit() {
    let mut states = TerminalStates::default();
    for number in 0..100 {
        let record = TerminalRecord {
            state: JobState::Done,
            done: 100_000,
            ended_ms: Some(1_733_130_000_000 + number),
        };
        states.insert(&format!("{number:02}"), record);
    }
    let text = serde_json::to_string(&states).expect("states");
    assert!(text.len() <= 2048, "{} bytes", text.len());
    let read: TerminalStates = serde_json::from_str(&text).expect("terminal states");
    assert_eq!(read.len(), 100);
    for number in 0..100 {
        let record = read.get(&format!("{number:02}")).expect("an end");
        assert_eq!((record.state, record.done), (JobState::Done, 100_000));
    }
}

#[test]
fn peer_messages_match_their_golden_file() {
    for text in PEER_MESSAGES.lines() {
        assert_eq!(round_trip::<Line>(text).as_deref(), Some(text));
    }
}

/// Change that a later form may make somewhere in a value.
#[derive(Debug, Clone)]
enum Change {
    Remove,
    Rename,
    Add,
    Set(Value),
}

fn change() -> impl Strategy<Value = Change> {
    let values = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u32>().prop_map(Value::from),
        any::<i8>().prop_map(Value::from),
        "[a-f0-9,cd-]{0,8}".prop_map(Value::from),
        Just(serde_json::json!([])),
        Just(serde_json::json!({})),
        Just(serde_json::json!({"form": 9})),
    ];
    prop_oneof![
        Just(Change::Remove),
        Just(Change::Rename),
        Just(Change::Add),
        values.prop_map(Change::Set),
    ]
}

/// Applies a change to the element at `path`.
fn apply(value: &mut Value, path: &[usize], change: &Change) {
    let deeper = match (&mut *value, path) {
        (Value::Object(fields), [at, ..]) if !fields.is_empty() => {
            let key = fields
                .keys()
                .nth(at % fields.len())
                .expect("a field")
                .clone();
            match (change, path.len()) {
                (Change::Remove, 1) => {
                    fields.remove(&key);
                    return;
                }
                (Change::Rename, 1) => {
                    let moved = fields.remove(&key).unwrap_or_default();
                    fields.insert(format!("{key}_2"), moved);
                    return;
                }
                (Change::Add, 1) => {
                    fields.insert("form".into(), Value::from(9));
                    return;
                }
                _ => fields.get_mut(&key),
            }
        }
        (Value::Array(items), [at, ..]) if !items.is_empty() => {
            let at = at % items.len();
            if let (Change::Remove, 1) = (change, path.len()) {
                items.remove(at);
                return;
            }
            items.get_mut(at)
        }
        _ => {
            if let Change::Set(new) = change {
                *value = new.clone();
            }
            return;
        }
    };
    match deeper {
        Some(deeper) if path.len() > 1 => apply(deeper, &path[1..], change),
        Some(deeper) => {
            if let Change::Set(new) = change {
                *deeper = new.clone();
            }
        }
        None => {}
    }
}

/// Returns whether `read` has everything in `input` and adds nothing but empty values.
fn has_same_meaning(input: &Value, read: &Value) -> bool {
    let empty = |value: &Value| match value {
        Value::Null => true,
        Value::Array(items) => items.is_empty(),
        Value::Object(fields) => fields.is_empty(),
        _ => false,
    };
    match (input, read) {
        (Value::Number(a), Value::Number(b)) => a.as_f64() == b.as_f64(),
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| has_same_meaning(a, b))
        }
        (Value::Object(a), Value::Object(b)) => {
            a.iter().all(|(key, a)| match b.get(key) {
                Some(b) => has_same_meaning(a, b),
                None => empty(a),
            }) && b.iter().all(|(key, b)| a.contains_key(key) || empty(b))
        }
        _ => input == read,
    }
}

/// Returns whether nothing in a text of a special format was ignored.
fn has_same_entries(key: &str, input: &str, read: &str) -> bool {
    let entries = |text: &str| text.split(',').filter(|e| !e.is_empty()).count();
    let bits = |text: &str| -> Option<u32> {
        let words = text.split(',').filter(|w| !w.is_empty());
        words
            .map(|word| u64::from_str_radix(word, 16).ok().map(u64::count_ones))
            .sum()
    };
    match key.starts_with("ends/") {
        true => entries(input) == entries(read),
        false => bits(input).is_some() && bits(input) == bits(read),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn unknown_form_is_rejected_or_keeps_its_meaning(
        which in any::<prop::sample::Index>(),
        path in prop::collection::vec(0..20usize, 1..5),
        change in change(),
    ) {
        let all = golden_records();
        let (key, golden) = &all[which.index(all.len())];
        let mut input = golden.clone();
        apply(&mut input, &path, &change);
        if let Some(read) = round_trip_value(key, &input.to_string()) {
            let read: Value = serde_json::from_str(&read).expect("JSON");
            let is_kept = match (&input, &read) {
                (Value::String(input), Value::String(read)) if key == "live/claims" => {
                    input == read
                }
                (Value::String(input), Value::String(read)) => has_same_entries(key, input, read),
                // A later build may add fields to its abilities.
                _ if key.starts_with("live/node/") => true,
                _ => has_same_meaning(&input, &read),
            };
            prop_assert!(is_kept, "{key}: {input} was parsed as {read}");
        }
    }

    #[test]
    fn unknown_peer_message_is_dropped_or_keeps_its_meaning(
        which in any::<prop::sample::Index>(),
        path in prop::collection::vec(0..20usize, 1..7),
        change in change(),
    ) {
        let all: Vec<&str> = PEER_MESSAGES.lines().collect();
        let mut input: Value = serde_json::from_str(all[which.index(all.len())]).expect("JSON");
        apply(&mut input, &path, &change);
        // The protocol requires that unknown fields are ignored between nodes.
        let adds = matches!(change, Change::Add | Change::Rename)
            || input.to_string().contains(r#""form":9"#);
        if let Some(read) = round_trip::<Line>(&input.to_string()) {
            let read: Value = serde_json::from_str(&read).expect("JSON");
            prop_assert!(adds || has_same_meaning(&input, &read), "{input} was parsed as {read}");
        }
    }
}
