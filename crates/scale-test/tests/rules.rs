//! The checks detect planted violations, and accept events that merely arrived late.

use std::{sync::Arc, time::Duration};

use kiteyard_scale_test::{
    checks::{Checks, JobState, Violation},
    jobs::{JobDescription, Jobs},
    worker::{Commands, DirectOutcome, HollowWorker, TaskChange, TaskEvent, WorkerSpec},
};

fn job(id: &str, team: usize, tasks: u32) -> JobDescription {
    JobDescription {
        id: id.into(),
        team,
        urgent: false,
        tasks,
        cpus: 1.0,
        mem_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        run_s: 10.0,
        run_sigma: 0.0,
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn event(task: &str, at: u64, change: TaskChange) -> TaskEvent {
    let (task, at) = (task.to_owned(), seconds(at));
    TaskEvent { task, at, change }
}

const COMPLETED: TaskChange = TaskChange::Ended { completed: true };
const STOPPED: TaskChange = TaskChange::Ended { completed: false };

/// Creates checks with a limit of two CPUs for each team.
fn checks() -> Checks {
    let mut checks = Checks::new(2.0);
    for (id, team) in [("run-000001", 0), ("run-000002", 0), ("run-000003", 1)] {
        checks.record_submission(Arc::new(job(id, team, 2)), Duration::ZERO);
        checks.record_acceptance(id);
    }
    checks
}

#[test]
fn a_task_on_two_machines_is_a_violation() {
    let mut checks = checks();
    let first = checks.record_event("vm-1", &event("run-000001/0", 1, TaskChange::Started));
    assert!(first.is_some());
    let again = checks.record_event("vm-2", &event("run-000001/0", 5, TaskChange::Started));
    assert!(again.is_none(), "only the first start counts");
    checks.record_event("vm-1", &event("run-000001/0", 6, STOPPED));
    let expected = Violation::RanTwice {
        task: "run-000001/0".into(),
        on: "vm-2".into(),
        also_on: "vm-1".into(),
    };
    assert_eq!(checks.violations(), [expected]);
}

#[test]
fn a_task_that_ended_before_its_restart_is_no_violation() {
    let mut checks = checks();
    checks.record_event("vm-1", &event("run-000001/0", 1, TaskChange::Started));
    checks.record_event("vm-2", &event("run-000001/0", 5, TaskChange::Started));
    checks.record_event("vm-1", &event("run-000001/0", 4, STOPPED));
    assert_eq!(checks.violations(), []);
}

#[test]
fn a_team_over_its_limit_is_a_violation() {
    let mut checks = checks();
    checks.record_event("vm-1", &event("run-000001/0", 1, TaskChange::Started));
    checks.record_event("vm-1", &event("run-000003/0", 1, TaskChange::Started));
    checks.record_event("vm-2", &event("run-000001/1", 1, TaskChange::Started));
    assert_eq!(checks.violations(), []);
    checks.record_event("vm-3", &event("run-000002/0", 5, TaskChange::Started));
    let over = Violation::TeamLimit {
        team: 0,
        cpus: 3.0,
        limit: 2.0,
    };
    assert_eq!(checks.violations(), std::slice::from_ref(&over));
    checks.record_event("vm-1", &event("run-000001/0", 6, COMPLETED));
    assert_eq!(checks.violations(), [over], "the task ended too late");
    checks.record_event("vm-2", &event("run-000001/1", 5, STOPPED));
    assert_eq!(checks.violations(), [], "the task had ended before");
}

#[test]
fn job_states_reported_to_users_are_checked() {
    let mut checks = checks();
    for task in ["run-000001/0", "run-000001/1"] {
        checks.record_event("vm-1", &event(task, 1, TaskChange::Started));
        checks.record_event("vm-1", &event(task, 9, COMPLETED));
    }
    checks.record_state("run-000001", JobState::Running);
    checks.record_state("run-000001", JobState::Done);
    checks.record_not_found("run-999999");
    assert_eq!(checks.violations(), []);
    let counts = checks.job_counts();
    assert_eq!((counts.accepted, counts.done, counts.completed), (3, 1, 1));
    checks.record_state("run-000001", JobState::Running);
    checks.record_state("run-000002", JobState::Done);
    checks.record_not_found("run-000003");
    checks.record_event("vm-2", &event("run-000001/0", 10, TaskChange::Started));
    checks.record_event("vm-2", &event("run-000001/0", 12, COMPLETED));
    let expected = [
        Violation::WentBack {
            job: "run-000001".into(),
        },
        Violation::NotDone {
            job: "run-000002".into(),
        },
        Violation::Forgotten {
            job: "run-000003".into(),
        },
        Violation::CompletedTwice {
            task: "run-000001/0".into(),
        },
    ];
    assert_eq!(checks.violations(), expected);
}

fn worker(jobs: &Arc<Jobs>) -> HollowWorker {
    let spec = WorkerSpec {
        name: "vm-000001".into(),
        endpoint: "127.64.0.1:9000".parse().expect("an address"),
        machine_type: "m4".into(),
        zone: "a".into(),
        cpus: 2.0,
        mem_gb: 8.0,
        fetch_gb_per_s: 1.0,
        lease: seconds(20),
    };
    HollowWorker::new(spec, jobs.clone(), 1, Duration::ZERO)
}

fn commands(text: &str) -> Commands {
    serde_json::from_str(text).expect("commands")
}

#[test]
fn a_hollow_worker_respects_tokens_sessions_and_leases() {
    let jobs = Arc::new(Jobs::default());
    jobs.upload(job("run-000001", 0, 3));
    let mut worker = worker(&jobs);
    let (_, sent) = worker.report(seconds(1));
    let start = r#"{"handle":7,"launch":1,"signals":[
        {"signal":"start","string":"run-000001/0","try":1},
        {"signal":"start","string":"run-000001/1","try":1},
        {"signal":"start","string":"run-000001/2","try":1},
        {"signal":"start","string":"run-000009/0","try":1}]}"#;
    assert!(worker.handle_response(seconds(2), sent, &commands(start)));
    let older = commands(r#"{"handle":6,"launch":1}"#);
    assert_eq!(
        worker.handle_direct(seconds(3), &older),
        DirectOutcome::Refused
    );
    assert!(!worker.handle_response(seconds(3), sent, &older));
    let malformed = commands(r#"{"handle":8}"#);
    assert_eq!(
        worker.handle_direct(seconds(3), &malformed),
        DirectOutcome::Malformed
    );
    let (report, _) = worker.report(seconds(5));
    for (attitude, count) in [("running", 2), ("no_room", 1), ("no_such", 1)] {
        let quoted = format!("\"{attitude}\"");
        assert_eq!(report.matches(&quoted).count(), count, "{report}");
    }
    // Both tasks ran for 10 s after a download of about 1 s.
    let (report, late_report) = worker.report(seconds(20));
    assert_eq!(report.matches("\"done\"").count(), 2, "{report}");
    let reap = r#"{"handle":7,"launch":1,"signals":[
        {"signal":"reap","string":"run-000001/0","try":1},
        {"signal":"start","string":"run-000001/2","try":2}]}"#;
    assert_eq!(
        worker.handle_direct(seconds(20), &commands(reap)),
        DirectOutcome::Executed
    );
    worker.take_events();
    // Direct commands don't renew the lease, which starts with the report sent after 1 s.
    worker.advance(seconds(22));
    assert_eq!(worker.take_events(), [event("run-000001/2", 21, STOPPED)]);
    assert!(!worker.handle_response(seconds(22), late_report, &commands(r#"{"handle":7}"#)));
    let (report, _) = worker.report(seconds(22));
    assert!(
        report.contains("\"launch\":2") && report.contains("\"strings\":[]"),
        "{report}"
    );
}
