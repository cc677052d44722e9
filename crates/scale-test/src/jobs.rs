//! What users upload of their jobs, where workers look it up, and the results that are kept.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, PoisonError, RwLock},
};

/// `JOB/NUMBER`, as the protocol names a task.
pub type TaskName = String;

/// What a worker has to know of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDescription {
    /// The job's id.
    pub id: String,
    /// The team's number.
    pub team: usize,
    /// It is one of the urgent jobs.
    pub urgent: bool,
    /// How many tasks it has.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// Memory of each task, in GB.
    pub mem_gb: f64,
    /// The image.
    pub image: String,
    /// The image's size, in GB.
    pub image_gb: f64,
    /// Median and sigma of the run time of a task.
    pub run_s: f64,
    /// Sigma of the run time's distribution.
    pub run_sigma: f64,
}

/// The job's part of a task's name.
pub fn job_of(task: &str) -> &str {
    task.split_once('/').map_or(task, |(job, _)| job)
}

/// The jobs of a run, shared by users and workers.
#[derive(Debug, Default)]
pub struct Jobs {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    jobs: HashMap<String, Arc<JobDescription>>,
    results: HashSet<TaskName>,
}

impl Jobs {
    /// Makes a job known to the workers.
    pub fn upload(&self, job: JobDescription) -> Arc<JobDescription> {
        let job = Arc::new(job);
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        inner.jobs.insert(job.id.clone(), job.clone());
        job
    }

    /// The job of a task, if there is such a task.
    pub fn of_task(&self, task: &str) -> Option<Arc<JobDescription>> {
        let (job, number) = task.split_once('/')?;
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        let job = inner.jobs.get(job)?;
        let number: u32 = number.parse().ok()?;
        (number < job.tasks).then(|| job.clone())
    }

    /// Remembers that a task has completed.
    pub fn keep_result(&self, task: &str) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        inner.results.insert(task.to_owned());
    }

    /// Whether the task has completed somewhere before.
    pub fn has_result(&self, task: &str) -> bool {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        inner.results.contains(task)
    }
}
