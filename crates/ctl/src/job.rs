//! A job as its user writes it down, in a TOML file or with flags.

use std::{collections::BTreeMap, path::Path};

use serde::Deserialize;
use serde_json::{Value, json};

#[derive(Debug, thiserror::Error, PartialEq)]
pub enum JobError {
    #[error("cannot read {0}: {1}")]
    Read(String, String),
    #[error("{file}: line {line}: {message}")]
    Form {
        file: String,
        line: usize,
        message: String,
    },
    #[error("job field `{0}`: {1}")]
    Field(&'static str, String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Array,
    Gang,
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub team: String,
    #[serde(default = "array")]
    pub kind: Kind,
    #[serde(default = "normal")]
    pub priority: Priority,
    #[serde(default = "one")]
    pub tasks: u32,
    #[serde(default = "one_cpu")]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default = "one_cpu")]
    pub memory_gb: f64,
    pub image: String,
    #[serde(default)]
    pub image_gb: f64,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    #[serde(default)]
    pub one_zone: bool,
    #[serde(default)]
    pub spread: bool,
    #[serde(default)]
    pub spot: bool,
    #[serde(default)]
    pub run_s: f64,
    #[serde(default)]
    pub checkpoint_s: f64,
    #[serde(default)]
    pub save_s: f64,
    pub deadline_s: Option<f64>,
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
    pub fn load(path: &Path) -> Result<Self, JobError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| JobError::Read(file.clone(), error.to_string()))?;
        Self::parse(&file, &text)
    }

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
