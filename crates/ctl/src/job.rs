//! A job as its user writes it down, in a TOML file or with flags.

use std::{collections::BTreeMap, path::Path};

use serde::Deserialize;
use serde_json::{Value, json};

/// Why a job is rejected before it is submitted.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum JobError {
    /// The file can't be read: its name, and why.
    #[error("cannot read {0}: {1}")]
    Read(String, String),
    /// The file is not of the form of a job.
    #[error("{file}: line {line}: {message}")]
    Form {
        /// The file's name.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What is wrong with it.
        message: String,
    },
    /// A value that no node could take: the field, and why.
    #[error("job field `{0}`: {1}")]
    Field(&'static str, String),
}

/// What kind of job it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Independent tasks, each runs to completion.
    Array,
    /// All tasks run at the same time or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// How important a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Stopped first to make room.
    Low,
    /// The usual priority.
    Normal,
    /// Before the usual work.
    High,
    /// Stopped last.
    Production,
}

/// A job as it is submitted.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Its id, `run-` and digits.
    pub id: String,
    /// The class of jobs that it belongs to.
    pub class: String,
    /// The team that it is charged to.
    pub team: String,
    /// What kind of job it is.
    #[serde(default = "array")]
    pub kind: Kind,
    /// How important it is.
    #[serde(default = "normal")]
    pub priority: Priority,
    /// How many tasks it has.
    #[serde(default = "one")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(default = "one_cpu")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[serde(default = "one_cpu")]
    pub memory_gb: f64,
    /// The image that a task starts from.
    pub image: String,
    /// The image's size, in GB.
    #[serde(default)]
    pub image_gb: f64,
    /// Machine types that it may use; none: any.
    pub types: Option<Vec<String>>,
    /// The only zone that it may use; none: any.
    pub zone: Option<String>,
    /// All tasks must be in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// At most half of the tasks may be in one zone.
    #[serde(default)]
    pub spread: bool,
    /// It may use spot machines.
    #[serde(default)]
    pub spot: bool,
    /// How long a task runs as its owner expects, in seconds; 0 for services.
    #[serde(default)]
    pub run_s: f64,
    /// How often a task saves a checkpoint, in seconds of run time; 0: never.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// How long a task needs to save when it is stopped, in seconds.
    #[serde(default)]
    pub save_s: f64,
    /// When it should be complete, in seconds from its submission.
    pub deadline_s: Option<f64>,
    /// Licence seats of each task, by licence.
    #[serde(default)]
    pub licences: BTreeMap<String, u32>,
}

fn array() -> Kind {
    Kind::Array
}

fn normal() -> Priority {
    Priority::Normal
}

fn one() -> u32 {
    1
}

fn one_cpu() -> f64 {
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

    /// Reads the text of a job file; `file` is named in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, JobError> {
        kiteyard_toml_file::parse(text).map_err(|wrong| JobError::Form {
            file: file.to_owned(),
            line: wrong.line,
            message: wrong.message,
        })
    }

    /// What nodes judge themselves is left to them; what they could not name is not.
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

    /// The body of its submission, in the protocol's terms.
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
