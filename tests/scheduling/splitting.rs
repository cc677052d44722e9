//! Splitting of assignment index shards that exceed the current value limit. Their machines move
//! to new shards, and at every moment each program version reads all jobs that may run on a
//! machine.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kiteyard::core::{
    assignment_index::{ShardRecord, ShardWrite},
    job::{JobId, Kind, Priority},
    store::{Change, Condition, StateReply},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;

use crate::cluster::{Cluster, spec};

const VALUE_KB: f64 = 2.0;
const MACHINES: usize = 150;
const FIRST_JOB: usize = 500;

fn name(machine: usize) -> String {
    format!("vm-{machine:04}")
}

/// One shard with all machines and two jobs on each, written under a limit of 16 KiB.
fn large_shard() -> ShardRecord {
    let jobs: Vec<String> = (0..MACHINES)
        .map(|i| format!("run-{:06}", FIRST_JOB + i))
        .collect();
    let machines: Vec<_> = (0..MACHINES)
        .map(|i| json!([name(i), 0, [i, (i + 1) % MACHINES]]))
        .collect();
    let text = json!({"kinds": [["m", "a", false]], "jobs": jobs, "machines": machines});
    ShardRecord::parse(&text.to_string()).expect("a valid shard")
}

/// Stored shards, and writes that may be applied late.
#[derive(Default)]
struct Stored {
    revision: u64,
    shards: BTreeMap<String, (ShardRecord, u64)>,
    late: Vec<(Vec<Condition>, Vec<Change>)>,
}

impl Stored {
    fn apply(&mut self, conditions: &[Condition], changes: &[Change]) -> bool {
        let version = |key: &str| self.shards.get(key).map_or(0, |(_, version)| *version);
        if conditions.iter().any(|c| version(&c.key) != c.version) {
            return false;
        }
        self.revision += 1;
        for change in changes {
            match change {
                Change::Put { key, value, .. } => {
                    assert!(value.get().len() <= 2048, "a value is too large");
                    let record = ShardRecord::parse(value.get()).expect("a valid shard");
                    self.shards.insert(key.clone(), (record, self.revision));
                }
                Change::Delete { key } => drop(self.shards.remove(key)),
            }
        }
        true
    }

    /// Listing of each machine as read by a version without support for oversized shards: that of
    /// the shard it reads last.
    fn read_last(&self) -> BTreeMap<String, BTreeSet<JobId>> {
        let mut listed = BTreeMap::new();
        for (record, _) in self.shards.values() {
            listed.extend(record.machines().map(|m| (m.id.to_string(), m.jobs)));
        }
        listed
    }

    fn assignment_index(&self) -> Vec<(u32, ShardRecord, u64)> {
        let number = |key: &str| key.strip_prefix("roster/").and_then(|n| n.parse().ok());
        let shards = self.shards.iter();
        shards
            .map(|(key, (record, version))| {
                (number(key).expect("a number"), record.clone(), *version)
            })
            .collect()
    }
}

struct SplitTest {
    cluster: Cluster,
    stored: Stored,
    rng: StdRng,
    next_job: usize,
}

impl SplitTest {
    fn new(seed: u64, number: u32) -> Self {
        let mut stored = Stored {
            revision: 10,
            ..Stored::default()
        };
        stored
            .shards
            .insert(format!("roster/{number}"), (large_shard(), 10));
        let cluster = Self::leader(&stored);
        Self {
            cluster,
            stored,
            rng: StdRng::seed_from_u64(seed),
            next_job: 2 * FIRST_JOB,
        }
    }

    /// Leader whose unresponsive machines never count as empty after a mere timeout.
    fn leader(stored: &Stored) -> Cluster {
        let mut cluster = Cluster::with_value_limit(
            VALUE_KB,
            4.0,
            stored.assignment_index(),
            Duration::from_secs(100_000),
        );
        for job in 0..MACHINES {
            cluster.add_job(spec(
                FIRST_JOB + job,
                Kind::Service,
                Priority::Normal,
                2,
                1.0,
            ));
        }
        cluster
    }

    /// Replaces the leader by one that starts from the stored shards.
    fn take_over(&mut self) {
        let running = std::mem::take(&mut self.cluster.running);
        self.cluster = Self::leader(&self.stored);
        self.cluster.running = running;
    }

    fn write(&mut self) {
        let urgent = self.rng.random_bool(0.7);
        let cluster = &mut self.cluster.cluster;
        let write = cluster
            .assignment_index_write(urgent, 5)
            .or_else(|| cluster.assignment_index_write(!urgent, 5));
        let Some((shard_writes, conditions, changes)) = write else {
            return;
        };
        assert!(changes.len() <= 5);
        self.check();
        match self.rng.random_range(0..10) {
            0 => self.answer(shard_writes, &StateReply::Rejected),
            1 => self.unclear(shard_writes, &conditions, &changes),
            2 => {
                self.stored.late.push((conditions, changes));
                self.answer(shard_writes, &StateReply::Unclear);
            }
            _ => {
                let reply = match self.stored.apply(&conditions, &changes) {
                    true => StateReply::Committed {
                        revision: self.stored.revision,
                    },
                    false => StateReply::Conflict,
                };
                self.answer(shard_writes, &reply);
            }
        }
        self.check();
    }

    fn unclear(
        &mut self,
        shard_writes: Vec<ShardWrite>,
        conditions: &[Condition],
        changes: &[Change],
    ) {
        self.stored.apply(conditions, changes);
        self.answer(shard_writes, &StateReply::Unclear);
    }

    fn answer(&mut self, shard_writes: Vec<ShardWrite>, reply: &StateReply) {
        self.cluster
            .cluster
            .assignment_index_written(shard_writes, reply);
        let assignment_index = &mut self.cluster.cluster.assignment_index;
        while let Some(shard) = assignment_index.next_unverified() {
            let read = self.stored.shards.get(&format!("roster/{shard}"));
            assignment_index.record_reread(shard, Some(read.map_or(0, |(_, version)| *version)));
        }
    }

    fn apply_late_write(&mut self) {
        if !self.stored.late.is_empty() {
            let at = self.rng.random_range(0..self.stored.late.len());
            let (conditions, changes) = self.stored.late.swap_remove(at);
            self.stored.apply(&conditions, &changes);
            self.check();
        }
    }

    /// Checks that a start is allowed, or was sent, only for jobs that both versions would read.
    fn check(&self) {
        let read = self.stored.read_last();
        let nothing = BTreeSet::new();
        for machine in self.cluster.cluster.machines.values() {
            let listed = read.get(&*machine.id).unwrap_or(&nothing);
            let lost: Vec<_> = machine.assignment.jobs.difference(listed).collect();
            assert!(lost.is_empty(), "{}: {lost:?} is not listed", machine.id);
            for task in self.cluster.running.get(&*machine.id).into_iter().flatten() {
                assert!(
                    listed.contains(&task.task.job),
                    "{}: {:?} runs",
                    machine.id,
                    task.task
                );
            }
        }
    }

    fn report(&mut self, machine: usize) {
        let name = name(machine);
        if !self.cluster.running.contains_key(&name) {
            self.cluster.add_machine(&name);
        }
        self.cluster.report(&name);
    }

    /// Starts all tasks that may be started.
    fn start(&mut self) {
        let machines = self.cluster.cluster.machines.values();
        let mut starts = Vec::new();
        for machine in machines {
            for (task, attempt) in machine.tasks.keys() {
                if machine.fenced && machine.assignment.jobs.contains(&task.job) {
                    starts.push((machine.id.to_string(), task.clone(), *attempt));
                }
            }
        }
        for (machine, task, attempt) in starts {
            let Some(running) = self.cluster.running.get_mut(&machine) else {
                continue;
            };
            if running.iter().all(|reported| reported.task != task) {
                running.push(kiteyard::core::machine::ReportedTask {
                    task,
                    attempt,
                    phase: kiteyard::core::machine::TaskPhase::Running,
                });
            }
        }
    }

    fn run(&mut self, steps: usize) {
        for step in 0..steps {
            let machine = self.rng.random_range(0..MACHINES);
            self.report(machine);
            if step % 5 == 0 {
                self.next_job += 1;
                let job = spec(self.next_job, Kind::Array, Priority::Normal, 3, 1.0);
                self.cluster.add_job(job);
            }
            self.cluster.pass();
            self.write();
            self.start();
            if self.rng.random_bool(0.1) {
                self.apply_late_write();
            }
        }
    }
}

#[test]
fn a_large_shard_is_split_without_losing_listings() {
    for (seed, number) in [(1, 0), (2, 9), (3, 99), (4, 10)] {
        let mut split = SplitTest::new(seed, number);
        split.run(60);
        split.take_over();
        split.check();
        split.run(60);
        split.take_over();
        (0..MACHINES).for_each(|machine| split.report(machine));
        split.run(400);
        let large = format!("roster/{number}");
        let left = split.stored.shards.get(&large);
        let text = left.map_or(0, |(record, _)| {
            serde_json::to_string(record).expect("a record").len()
        });
        assert!(text <= 2048, "shard {number} still has {text} bytes");
        let started: usize = split.cluster.running.values().map(Vec::len).sum();
        assert!(started > 60, "{started} tasks run");
    }
}

/// If a leader ends in the middle of a split, a machine that has not reported yet is listed in
/// two shards, and both count.
#[test]
fn a_machine_in_two_shards_counts_the_jobs_of_both() {
    let shard = |jobs: &[&str]| {
        let numbers: Vec<usize> = (0..jobs.len()).collect();
        let text = json!({"kinds": [["m", "a", false]], "jobs": jobs,
            "machines": [["vm-0001", 0, numbers]]});
        ShardRecord::parse(&text.to_string()).expect("a valid shard")
    };
    let assignment_index = vec![
        (3, shard(&["run-000001", "run-000002"]), 7),
        (4, shard(&["run-000002", "run-000003"]), 8),
    ];
    let cluster = Cluster::after_failover(4.0, assignment_index, Duration::from_secs(1000));
    let entry = &cluster.cluster.machines["vm-0001"].assignment;
    let possible_jobs: Vec<String> = entry.possible_jobs().map(ToString::to_string).collect();
    assert_eq!(possible_jobs, ["run-000002", "run-000003", "run-000001"]);
    assert_eq!(
        entry.jobs.len(),
        2,
        "only the shard read last is listed for certain"
    );
}
