//! Messages of the user API.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use kiteyard_rollout::{generation::Order, status::Status};

use crate::core::{
    job::{JobId, JobSpec, JobState, Kind, Priority, Resources},
    licences::LicenceView,
    maintenance::{self, MachineView},
    rollout::RolloutAction,
};

#[derive(Debug, Deserialize)]
struct Submission {
    uid: String,
    flight: String,
    crew: String,
    shape: WireKind,
    lift: WirePriority,
    strings: u32,
    cpus: f64,
    gpus: f64,
    mem_gb: f64,
    sail: String,
    size_gb: f64,
    #[serde(default)]
    frames: Option<Vec<String>>,
    #[serde(default)]
    field: Option<String>,
    same_place: bool,
    spread: bool,
    gusts: bool,
    airtime_s: f64,
    tether_s: f64,
    reel_s: f64,
    #[serde(default)]
    landby_s: Option<f64>,
    #[serde(default)]
    licences: Option<serde_json::Value>,
    #[serde(default)]
    waits_on: Option<Vec<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireKind {
    Array,
    Group,
    Standing,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WirePriority {
    Production,
    Urgent,
    Standard,
    BestEffort,
}

/// Parses the number of seats by licence, each a positive integer.
fn parse_licences(value: serde_json::Value) -> Result<BTreeMap<String, u32>, String> {
    let serde_json::Value::Object(entries) = value else {
        return Err("licences: expected a JSON object".into());
    };
    let mut licences = BTreeMap::new();
    for (name, seats) in entries {
        let seats = seats.as_u64().and_then(|n| u32::try_from(n).ok());
        let Some(seats) = seats.filter(|n| *n > 0) else {
            return Err(format!("licences.{name}: expected a positive integer"));
        };
        licences.insert(name, seats);
    }
    Ok(licences)
}

/// Parses the dependencies of a job: each named once, and none of them the job itself.
fn parse_dependencies(id: &JobId, names: Vec<String>) -> Result<Vec<JobId>, String> {
    let mut dependencies = Vec::new();
    let mut seen = BTreeSet::new();
    for (index, name) in names.iter().enumerate() {
        let dependency = JobId::parse(name).ok_or(format!("waits_on[{index}]: invalid job id"))?;
        if dependency == *id {
            return Err(format!("waits_on[{index}]: job depends on itself"));
        }
        if !seen.insert(dependency.clone()) {
            return Err(format!("waits_on[{index}]: duplicate of {dependency}"));
        }
        dependencies.push(dependency);
    }
    Ok(dependencies)
}

/// Deserializes a submission; an error names the field that it concerns.
fn deserialize_submission(body: &[u8]) -> Result<Submission, String> {
    // Serde would also accept an array of the values in field order.
    if !body.trim_ascii_start().starts_with(b"{") {
        return Err("expected a JSON object".into());
    }
    let json = &mut serde_json::Deserializer::from_slice(body);
    let submission = serde_path_to_error::deserialize(&mut *json).map_err(|e| e.to_string())?;
    json.end().map_err(|e| e.to_string())?;
    Ok(submission)
}

/// Parses and validates a submission. Its licences are ignored unless `licensed` is set.
pub fn parse_submission(body: &[u8], licensed: bool) -> Result<JobSpec, String> {
    let s = deserialize_submission(body)?;
    let id = JobId::parse(&s.uid).ok_or("uid: invalid job id")?;
    if !(1..=100_000).contains(&s.strings) {
        return Err("strings: out of range".into());
    }
    for (field, value) in [
        ("cpus", s.cpus),
        ("gpus", s.gpus),
        ("mem_gb", s.mem_gb),
        ("size_gb", s.size_gb),
        ("airtime_s", s.airtime_s),
        ("tether_s", s.tether_s),
        ("reel_s", s.reel_s),
        ("landby_s", s.landby_s.unwrap_or(0.0)),
    ] {
        if !(0.0..1e9).contains(&value) {
            return Err(format!("{field}: out of range"));
        }
    }
    let licences = match s.licences {
        Some(value) if licensed && !value.is_null() => parse_licences(value)?,
        _ => BTreeMap::new(),
    };
    let needs = parse_dependencies(&id, s.waits_on.unwrap_or_default())?;
    let names = [("flight", &s.flight), ("crew", &s.crew), ("sail", &s.sail)];
    for (field, text) in names {
        if text.is_empty() || text.len() > 200 {
            return Err(format!("{field}: must have 1 to 200 characters"));
        }
    }
    Ok(JobSpec {
        id,
        class: Arc::from(s.flight),
        team: Arc::from(s.crew),
        kind: match s.shape {
            WireKind::Array => Kind::Array,
            WireKind::Group => Kind::Gang,
            WireKind::Standing => Kind::Service,
        },
        priority: match s.lift {
            WirePriority::Production => Priority::Production,
            WirePriority::Urgent => Priority::High,
            WirePriority::Standard => Priority::Normal,
            WirePriority::BestEffort => Priority::Low,
        },
        tasks: s.strings,
        need: Resources {
            cpus: s.cpus,
            gpus: s.gpus,
            memory_gb: s.mem_gb,
        },
        image: Arc::from(s.sail),
        image_gb: s.size_gb,
        types: s.frames,
        zone: s.field,
        one_zone: s.same_place,
        spread: s.spread,
        spot: s.gusts,
        estimate_s: s.airtime_s,
        checkpoint_s: s.tether_s,
        save_s: s.reel_s,
        deadline_s: s.landby_s,
        licences,
        needs,
    })
}

#[derive(Debug, Serialize)]
struct JobAnswer<'a> {
    uid: &'a str,
    attitude: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    waits_on: Option<Vec<&'a str>>,
}

fn attitude(state: JobState) -> &'static str {
    match state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "cancelled",
    }
}

/// Encodes a job's state, with the counts of completed and running tasks if given.
pub fn job_body(id: &JobId, state: JobState, counts: Option<(u32, u32)>) -> String {
    let answer = JobAnswer {
        uid: id.as_str(),
        attitude: attitude(state),
        done: counts.map(|c| c.0),
        running: counts.map(|c| c.1),
        waits_on: None,
    };
    serde_json::to_string(&answer).unwrap_or_default()
}

/// Encodes the state of a pending job and the jobs that it still waits for.
pub fn waiting_body(id: &JobId, waits_on: &[JobId]) -> String {
    let answer = JobAnswer {
        uid: id.as_str(),
        attitude: attitude(JobState::Pending),
        done: Some(0),
        running: Some(0),
        waits_on: Some(waits_on.iter().map(JobId::as_str).collect()),
    };
    serde_json::to_string(&answer).unwrap_or_default()
}

/// Encodes the use of each licence. `fresh` marks an answer of the leader within its term;
/// other nodes give the age of their information.
pub fn licences_body(view: &[LicenceView], age: Option<Duration>) -> String {
    let answer = serde_json::json!({
        "licences": view,
        "fresh": age.is_none(),
        "age_ms": age.unwrap_or_default().as_millis() as u64,
    });
    answer.to_string()
}

/// Encodes the status of a rollout.
pub fn rollout_body(status: &Status) -> String {
    serde_json::to_string(status).unwrap_or_default()
}

/// Encodes machines that are draining, or planned to: one per line, as line length is bounded.
pub fn drains_body(machines: &[MachineView]) -> String {
    let lines = machines
        .iter()
        .map(|machine| serde_json::to_string(machine).unwrap_or_default());
    let lines: Vec<String> = lines.collect();
    format!("{{\"machines\":[\n{}\n]}}", lines.join(",\n"))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainOrder {
    machines: Vec<String>,
    #[serde(default)]
    by_s: Option<f64>,
}

/// Parses an operator's drain request.
pub fn parse_drain(order: &str, body: &[u8]) -> Result<maintenance::MaintenanceRequest, String> {
    let parsed: DrainOrder = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let by = match parsed.by_s {
        Some(by) if !(0.0..=30.0 * 86_400.0).contains(&by) => {
            return Err("by_s: must be between 0 and 2592000 seconds (30 days)".into());
        }
        by => by.map(Duration::from_secs_f64),
    };
    let machines = parsed.machines;
    match order {
        "plan" => Ok(maintenance::MaintenanceRequest::Plan(machines)),
        "start" => Ok(maintenance::MaintenanceRequest::Start { machines, by }),
        "cancel" => Ok(maintenance::MaintenanceRequest::Cancel(machines)),
        _ => Err(format!("unknown drain order `{order}`")),
    }
}

/// Parses an operator's rollout order from the path after `/rollout/`.
pub fn parse_order(path: &str) -> Result<RolloutAction, String> {
    let (order, argument) = path.split_once('/').unwrap_or((path, ""));
    let order = match (order, argument) {
        ("pause", "") => Order::Pause,
        ("resume", "") => Order::Resume,
        ("newest", "") => Order::Newest,
        ("step-down", "") => return Ok(RolloutAction::StepDown),
        ("forget", node) if !node.is_empty() => Order::Forget(node.to_owned()),
        ("target", generation) => {
            let generation = generation.parse();
            Order::Target(generation.map_err(|_| "generation: expected an integer".to_owned())?)
        }
        _ => return Err(format!("unknown rollout order `{path}`")),
    };
    Ok(RolloutAction::Order(order))
}

pub fn error_body(message: &str) -> String {
    serde_json::json!({ "error": message }).to_string()
}
