//! Job descriptions, read from a TOML file and changed by flags.

use std::{collections::BTreeMap, path::Path};

use serde::Deserialize;
use serde_json::{Value, json};

/// Reason why a job is rejected before its submission.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum JobError {
    /// The file can't be read: its name and the cause.
    #[error("cannot read {0}: {1}")]
    Read(String, String),
    /// The file is not a valid job description.
    #[error("{file}: line {line}: {message}")]
    Syntax {
        /// The file's name.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Description of the error.
        message: String,
    },
    /// A value that no node accepts: the field and the reason.
    #[error("job field `{0}`: {1}")]
    Field(&'static str, String),
}

/// Kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// All tasks run at the same time or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Priority of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Preempted first.
    Low,
    /// Default priority.
    Normal,
    /// Ahead of jobs of default priority.
    High,
    /// Preempted last.
    Production,
}

/// Description of a job.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Job id: `run-` and digits.
    pub id: String,
    /// Class that the job belongs to.
    pub class: String,
    /// Team whose quota the job uses.
    pub team: String,
    /// Kind of the job.
    #[serde(default = "default_kind")]
    pub kind: Kind,
    /// Priority of the job.
    #[serde(default = "default_priority")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(default = "default_amount")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[serde(default = "default_amount")]
    pub memory_gb: f64,
    /// Image that a task starts from.
    pub image: String,
    /// Size of the image, in GB.
    #[serde(default)]
    pub image_gb: f64,
    /// Machine types that the job may use; `None` allows any.
    pub types: Option<Vec<String>>,
    /// Only zone that the job may use; `None` allows any.
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(default)]
    pub spread: bool,
    /// Whether the job may use spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Expected run time of a task, in seconds; 0 for services.
    #[serde(default)]
    pub run_s: f64,
    /// Checkpoint interval of a task, in seconds of run time; 0 means no checkpoints.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// Time that a stopped task needs to save its state, in seconds.
    #[serde(default)]
    pub save_s: f64,
    /// Deadline of the job, in seconds from its submission.
    pub deadline_s: Option<f64>,
    /// Licence seats of each task, by licence name.
    #[serde(default)]
    pub licences: BTreeMap<String, u32>,
}

fn default_kind() -> Kind {
    Kind::Array
}

fn default_priority() -> Priority {
    Priority::Normal
}

fn default_tasks() -> u32 {
    1
}

fn default_amount() -> f64 {
    1.0
}

impl Job {
    /// Reads a job file.
    pub fn load(path: &Path) -> Result<Self, JobError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| JobError::Read(file.clone(), error.to_string()))?;
        Self::parse(&file, &text)
    }

    /// Parses the text of a job file; errors name `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, JobError> {
        kiteyard_toml_file::parse(text).map_err(|error| JobError::Syntax {
            file: file.to_owned(),
            line: error.line,
            message: error.message,
        })
    }

    /// Checks the fields for which a node's error message would be unclear; nodes check the others.
    pub fn check(&self) -> Result<(), JobError> {
        let digits = self.id.strip_prefix("run-").unwrap_or_default();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
            let message = format!("`{}` is not of the form run-NUMBER", self.id);
            return Err(JobError::Field("id", message));
        }
        if self.tasks == 0 {
            return Err(JobError::Field("tasks", "must be 1 or more".into()));
        }
        if self.licences.values().any(|seats| *seats == 0) {
            return Err(JobError::Field(
                "licences",
                "seats must be 1 or more".into(),
            ));
        }
        Ok(())
    }

    /// Returns the body of the submission request.
    pub fn submission(&self) -> Value {
        let shape = match self.kind {
            Kind::Array => "array",
            Kind::Gang => "group",
            Kind::Service => "standing",
        };
        let lift = match self.priority {
            Priority::Low => "best_effort",
            Priority::Normal => "standard",
            Priority::High => "urgent",
            Priority::Production => "production",
        };
        let mut body = json!({
            "uid": self.id, "flight": self.class, "crew": self.team, "shape": shape, "lift": lift,
            "strings": self.tasks, "cpus": self.cpus, "gpus": self.gpus, "mem_gb": self.memory_gb,
            "sail": self.image, "size_gb": self.image_gb, "frames": self.types, "field": self.zone,
            "same_place": self.one_zone, "spread": self.spread, "gusts": self.spot,
            "airtime_s": self.run_s, "tether_s": self.checkpoint_s, "reel_s": self.save_s,
            "landby_s": self.deadline_s,
        });
        if !self.licences.is_empty() {
            body["licences"] = json!(self.licences);
        }
        body
    }
}
