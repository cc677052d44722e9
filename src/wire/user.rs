//! What users send and receive.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::job::{JobId, JobSpec, JobState, Kind, Priority, Resources};

#[derive(Debug, Deserialize)]
struct Submission {
    uid: String,
    flight: String,
    crew: String,
    shape: Shape,
    lift: Lift,
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
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Shape {
    Array,
    Group,
    Standing,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Lift {
    Production,
    Urgent,
    Standard,
    BestEffort,
}

/// A job as its user asked for it, or what is wrong with the request.
pub fn parse_submission(body: &[u8]) -> Result<JobSpec, String> {
    let s: Submission = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let id = JobId::parse(&s.uid).ok_or("uid: not a job id")?;
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
            Shape::Array => Kind::Array,
            Shape::Group => Kind::Gang,
            Shape::Standing => Kind::Service,
        },
        priority: match s.lift {
            Lift::Production => Priority::Production,
            Lift::Urgent => Priority::High,
            Lift::Standard => Priority::Normal,
            Lift::BestEffort => Priority::Low,
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
}

fn attitude(state: JobState) -> &'static str {
    match state {
        JobState::Pending => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "cancelled",
    }
}

/// The body that tells a user a job's state, with counts where they are asked for.
pub fn job_answer(id: &JobId, state: JobState, counts: Option<(u32, u32)>) -> String {
    let answer = JobAnswer {
        uid: id.as_str(),
        attitude: attitude(state),
        done: counts.map(|c| c.0),
        running: counts.map(|c| c.1),
    };
    serde_json::to_string(&answer).unwrap_or_default()
}

pub fn error_answer(message: &str) -> String {
    serde_json::json!({ "error": message }).to_string()
}
