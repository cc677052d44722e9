//! Job descriptions, which users upload and workers look up, and the results of tasks.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, PoisonError, RwLock},
};

/// Name of a task in the protocol: `JOB/NUMBER`.
pub type TaskName = String;

/// Job description that workers need.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDescription {
    /// Id of the job.
    pub id: String,
    /// Number of the team.
    pub team: usize,
    /// Whether the job is urgent.
    pub urgent: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// Memory of each task, in GB.
    pub mem_gb: f64,
    /// Image.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Median run time of a task, in seconds.
    pub run_s: f64,
    /// Sigma of the distribution of run times.
    pub run_sigma: f64,
}

/// Returns the job id in a task's name.
pub fn job_of(task: &str) -> &str {
    task.split_once('/').map_or(task, |(job, _)| job)
}

/// Jobs of a run, shared by users and workers.
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
    /// Stores a job for the workers.
    pub fn upload(&self, job: JobDescription) -> Arc<JobDescription> {
        let job = Arc::new(job);
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        inner.jobs.insert(job.id.clone(), job.clone());
        job
    }

    /// Returns the job of a task, if the task exists.
    pub fn of_task(&self, task: &str) -> Option<Arc<JobDescription>> {
        let (job, number) = task.split_once('/')?;
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        let job = inner.jobs.get(job)?;
        let number: u32 = number.parse().ok()?;
        (number < job.tasks).then(|| job.clone())
    }

    /// Records that a task has completed.
    pub fn keep_result(&self, task: &str) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        inner.results.insert(task.to_owned());
    }

    /// Returns whether the task has completed before, on any machine.
    pub fn has_result(&self, task: &str) -> bool {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        inner.results.contains(task)
    }
}
