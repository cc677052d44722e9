//! Messages between nodes and workers: reports and commands.

use serde::{Deserialize, Deserializer, Serialize};

use crate::core::{
    job::{JobId, TaskId},
    machine::{Command, DirectReply, ExitReason, ReportedTask, TaskPhase, WorkerReport},
};

#[derive(Debug, Deserialize, Serialize)]
struct Report<'a> {
    perch: &'a str,
    endpoint: &'a str,
    frame: &'a str,
    field: &'a str,
    gusts: bool,
    launch: u64,
    tick: u64,
    handle: u64,
    #[serde(default)]
    recall_s: Option<f64>,
    #[serde(borrow)]
    strings: Vec<Entry<'a>>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Entry<'a> {
    string: &'a str,
    #[serde(rename = "try")]
    attempt: u64,
    attitude: &'a str,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    downcause: Option<&'a str>,
    #[serde(default, deserialize_with = "null_is_false")]
    kept: bool,
}

fn null_is_false<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    Ok(Option::<bool>::deserialize(deserializer)?.unwrap_or(false))
}

/// Parses and validates a worker's report.
pub fn parse_report(body: &[u8]) -> Result<WorkerReport, String> {
    let r: Report<'_> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if r.perch.is_empty() || r.perch.len() > 100 || r.perch.contains(char::is_whitespace) {
        return Err("perch: invalid machine name".into());
    }
    let addr = r
        .endpoint
        .parse()
        .map_err(|_| "endpoint: invalid address")?;
    if r.launch == 0 {
        return Err("launch: must be 1 or more".into());
    }
    let mut tasks = Vec::with_capacity(r.strings.len());
    let mut previous_job = None;
    for entry in &r.strings {
        let task = parse_task(entry.string, &mut previous_job).ok_or("string: invalid task id")?;
        let phase = match entry.attitude {
            "pulling" => TaskPhase::Fetching,
            "waiting" => TaskPhase::Waiting,
            "running" => TaskPhase::Running,
            "saving" => TaskPhase::Saving,
            "exited" => TaskPhase::Exited(match entry.downcause.unwrap_or_default() {
                "done" => ExitReason::Done,
                "halted" => ExitReason::Stopped { saved: entry.kept },
                "peers" => ExitReason::Peers,
                "incomplete" => ExitReason::Incomplete,
                "no_room" => ExitReason::NoRoom,
                "in_use" => ExitReason::Busy,
                "no_such" => ExitReason::Unknown,
                _ => ExitReason::Error,
            }),
            _ => return Err("attitude: unknown value".into()),
        };
        tasks.push(ReportedTask {
            task,
            attempt: entry.attempt,
            phase,
        });
    }
    Ok(WorkerReport {
        machine: r.perch.into(),
        addr,
        machine_type: r.frame.into(),
        zone: r.field.into(),
        spot: r.gusts,
        session: r.launch,
        seq: r.tick,
        token: r.handle,
        notice_s: r.recall_s.filter(|s| *s >= 0.0),
        tasks,
    })
}

/// Parses a task ID. Reuses the previous job ID, which most tasks of a report share.
fn parse_task(text: &str, previous_job: &mut Option<JobId>) -> Option<TaskId> {
    let (job, index) = text.rsplit_once('/')?;
    let job = match previous_job {
        Some(previous_job) if previous_job.as_str() == job => previous_job.clone(),
        _ => JobId::parse(job)?,
    };
    *previous_job = Some(job.clone());
    Some(TaskId {
        job,
        index: index.parse().ok()?,
    })
}

#[derive(Debug, Serialize)]
struct Answer {
    handle: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    launch: Option<u64>,
    signals: Vec<Signal>,
}

#[derive(Debug, Serialize)]
struct Signal {
    signal: &'static str,
    string: String,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    glide_s: Option<f64>,
}

/// Encodes the answer to a report or, with a session, a direct command request.
pub fn commands_body(token: u64, session: Option<u64>, commands: &[Command]) -> String {
    let signals = commands
        .iter()
        .map(|command| {
            let (signal, task, attempt, glide_s) = match command {
                Command::Start { task, attempt } => ("start", task, attempt, None),
                Command::Stop {
                    task,
                    attempt,
                    grace,
                } => ("kill", task, attempt, Some(grace.as_secs_f64())),
                Command::Forget { task, attempt } => ("reap", task, attempt, None),
            };
            Signal {
                signal,
                string: task.to_string(),
                attempt: *attempt,
                glide_s,
            }
        })
        .collect();
    let answer = Answer {
        handle: token,
        launch: session,
        signals,
    };
    serde_json::to_string(&answer).unwrap_or_default()
}

/// Encodes a redirect of a worker to another node, or to any node if none is given.
pub fn redirect_body(node: Option<&str>) -> String {
    match node {
        Some(node) => serde_json::json!({ "spotter": node }).to_string(),
        None => "{}".into(),
    }
}

/// Decodes the response to direct commands.
pub fn decode_direct(status: u16, body: &[u8]) -> DirectReply {
    match (status, parse_report(body)) {
        (200, Ok(report)) => DirectReply::Executed(report),
        (409, Ok(report)) => DirectReply::Refused(report),
        _ => DirectReply::Unclear,
    }
}
