//! Leader with machines whose workers report what a test specifies.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kiteyard::{
    core::{
        assignment_index::ShardRecord,
        cluster::{ClusterState, Slot, StoredClusterState},
        config::{Config, Options},
        job::{JobId, JobRecord, JobSpec, Kind, Priority, Resources, TaskId, TaskSet},
        machine::{Command, ExitReason, MachineType, ReportedTask, TaskPhase, WorkerReport},
        state_cache::LiveJob,
    },
    settings::Settings,
};
use kiteyard_recovery::worker_leases::WorkerLeases;

const SETTINGS: &str = r#"{
  "label": "n0", "api_addr": "127.0.0.1:1", "cluster_listen": "127.0.0.1:2",
  "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
  "params": {
    "zones": ["a", "b"],
    "teams": [{"name": "red", "cpus": 8.0, "cpus_max": 1000.0}, {"name": "blue", "cpus": 4.0}],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 30.0},
    "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 8.0, "list_lag_s": 10.0},
    "resources": {"sockets": 700}
  }
}"#;

/// Leader with machines whose workers report what a test specifies.
pub struct Cluster {
    pub cluster: ClusterState,
    pub now: Duration,
    pub seq: u64,
    pub running: BTreeMap<String, Vec<ReportedTask>>,
    pub attempts: u64,
}

impl Cluster {
    pub fn new(cpus: f64) -> Self {
        Self::after_failover(cpus, Vec::new(), Duration::ZERO)
    }

    pub fn after_failover(
        cpus: f64,
        assignment_index: Vec<(u32, ShardRecord, u64)>,
        previous_leases_end: Duration,
    ) -> Self {
        Self::with_value_limit(16.0, cpus, assignment_index, previous_leases_end)
    }

    /// Creates a cluster whose values may have the given number of KiB.
    pub fn with_value_limit(
        value_kb: f64,
        cpus: f64,
        assignment_index: Vec<(u32, ShardRecord, u64)>,
        previous_leases_end: Duration,
    ) -> Self {
        let limit = format!(r#""value_kb": {value_kb:.2}"#);
        let settings = SETTINGS.replace(r#""value_kb": 16.0"#, &limit);
        let settings = Settings::parse(&settings).expect("valid settings");
        let config = Config::new(&settings, Options::default());
        let types = vec![MachineType {
            name: Arc::from("m"),
            size: cpu_resources(cpus),
            cache_gb: 10.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 30.0,
            zones: vec![Arc::from("a"), Arc::from("b")],
        }];
        let stored = StoredClusterState {
            jobs: &BTreeMap::new(),
            progress: BTreeMap::new(),
            assignment_index,
            worker_leases: WorkerLeases::new(
                config.worker_lease_bound,
                previous_leases_end.saturating_sub(config.worker_lease_bound),
            ),
        };
        let now = Duration::from_secs(100);
        Self {
            cluster: ClusterState::new(Arc::new(config), 5, Arc::new(types), stored, now),
            now,
            seq: 0,
            running: BTreeMap::new(),
            attempts: 0,
        }
    }

    pub fn add_machine(&mut self, name: &str) {
        self.running.insert(name.to_owned(), Vec::new());
        self.report(name);
    }

    pub fn report(&mut self, name: &str) -> Vec<Command> {
        self.report_in_session(name, 1)
    }

    pub fn report_in_session(&mut self, name: &str, session: u64) -> Vec<Command> {
        let report = self.build_report(name, session, self.cluster.token);
        let (_, commands) = self
            .cluster
            .process_report(&report, self.now)
            .expect("in time");
        commands
    }

    /// Returns a report of a worker whose highest token is the given one.
    pub fn build_report(&mut self, name: &str, session: u64, token: u64) -> WorkerReport {
        self.seq += 1;
        self.now += Duration::from_millis(10);
        WorkerReport {
            machine: Arc::from(name),
            addr: "127.0.0.1:9".parse().expect("an address"),
            machine_type: Arc::from("m"),
            zone: Arc::from(if name.ends_with('b') { "b" } else { "a" }),
            spot: false,
            session,
            seq: self.seq,
            token,
            notice_s: None,
            tasks: self.running[name].clone(),
        }
    }

    /// Starts the placed tasks, as the workers would.
    pub fn start_placed_tasks(&mut self) {
        let machines = self.cluster.machines.values_mut();
        for machine in machines {
            for (task, attempt) in machine.tasks.keys() {
                let running = self.running.get_mut(&*machine.id).expect("a machine");
                if running.iter().all(|t| t.task != *task) {
                    running.push(ReportedTask {
                        task: task.clone(),
                        attempt: *attempt,
                        phase: TaskPhase::Running,
                    });
                }
            }
        }
    }

    pub fn add_job(&mut self, spec: JobSpec) -> JobId {
        let id = spec.id.clone();
        let live = LiveJob {
            record: JobRecord {
                spec: Arc::new(spec),
                accepted_ms: self.seq,
            },
            version: 10 + self.seq,
        };
        self.seq += 1;
        self.cluster.add_job(&id, &live, TaskSet::default());
        id
    }

    /// Reports a task that already runs on the machine.
    pub fn run_task(&mut self, name: &str, job: &JobId, index: u32) {
        self.attempts += 1;
        let task = ReportedTask {
            task: TaskId {
                job: job.clone(),
                index,
            },
            attempt: self.attempts,
            phase: TaskPhase::Running,
        };
        self.running.get_mut(name).expect("a machine").push(task);
        self.report(name);
    }

    /// Ends a running task and reports its exit.
    pub fn end_task(&mut self, name: &str, job: &JobId, reason: ExitReason) {
        let tasks = self.running.get_mut(name).expect("a machine");
        for task in tasks.iter_mut().filter(|t| t.task.job == *job) {
            task.phase = TaskPhase::Exited(reason);
        }
        self.report(name);
        let tasks = self.running.get_mut(name).expect("a machine");
        tasks.retain(|t| t.task.job != *job);
        self.report(name);
    }

    pub fn pass(&mut self) {
        self.cluster.run_pass(self.now);
    }

    pub fn machines_of(&self, job: &JobId) -> Vec<String> {
        let slots = &self.cluster.jobs[job].slots;
        let on = |slot: &Slot| match slot {
            Slot::Placed(machine) => Some(machine.to_string()),
            _ => None,
        };
        slots.iter().filter_map(on).collect()
    }

    pub fn nominated(&self, job: &JobId) -> Vec<String> {
        let names = self.cluster.jobs[job].nominations.iter();
        names.map(|m| m.to_string()).collect()
    }

    pub fn victims(&self, name: &str) -> BTreeSet<TaskId> {
        self.cluster.machines[name]
            .tasks
            .iter()
            .filter(|(_, p)| p.stopping())
            .map(|((task, _), _)| task.clone())
            .collect()
    }
}

/// Returns a stored shard that lists `run-000001` with `vm-1`.
pub fn shard_of_one_machine() -> ShardRecord {
    let shard = serde_json::json!({
        "kinds": [["m", "a", false]], "jobs": ["run-000001"], "machines": [["vm-1", 0, [0]]]
    });
    serde_json::from_value(shard).expect("a shard of the assignment index")
}

pub fn cpu_resources(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 0.0,
        memory_gb: 0.0,
    }
}

pub fn spec(number: usize, kind: Kind, priority: Priority, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: JobId::parse(&format!("run-{number:06}")).expect("an id"),
        class: Arc::from("work"),
        team: Arc::from("red"),
        kind,
        priority,
        tasks,
        need: cpu_resources(cpus),
        image: Arc::from("img"),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        licences: BTreeMap::new(),
        needs: Vec::new(),
    }
}
