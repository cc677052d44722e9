//! Short scale test with real controllers, hollow workers, limits that take effect, and faults.

use kiteyard_scale_test::{config::Config, run::run};

/// Three controllers, of which the first is restarted, twelve machines, of which two fail, and
/// two teams, each limited to a third of the fleet.
const SHORT: &str = r#"
name = "short"
[duration]
warmup_s = 2.0
measured_s = 8.0
drain_s = 20.0
[controllers]
count = 3
cpu_share = 1.0
memory_mb = 100.0
sockets = 500
restart_s = 1.0
[fleet]
workers = 12
zones = ["a", "b"]
cpus = 4.0
mem_gb = 16.0
boot_s = 1.0
fetch_gb_per_s = 1.0
report_s = 0.5
lease_s = 5.0
cancel_s = 20.0
[teams]
count = 2
guarantee_share = 0.1
limit_share = 0.33
[load]
starts_per_worker_s = 0.7
tasks_per_job = 4.0
run_s = 1.0
run_sigma = 0.3
urgent_jobs_per_s = 1.0
urgent_run_s = 0.5
images = 2
image_gb = 0.1
peak = { at_s = 3.0, for_s = 2.0, times = 3.0 }
[state]
rps = 300.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 16
latency_ms = 1.0
[cloud]
rps = 10.0
list_lag_s = 1.0
latency_ms = 5.0
[[fault]]
kind = "machines_fail"
at_s = 4.0
count = 2
[[fault]]
kind = "controller_restart"
at_s = 5.0
controller = 0
"#;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_breaks_no_rule_and_completes_each_job() {
    let mut config = Config::parse(SHORT).expect("valid configuration");
    config.binary = env!("CARGO_BIN_EXE_kiteyard").into();
    let directory = std::env::temp_dir().join(format!("kiteyard-scale-{}", std::process::id()));
    let result = run(&config, &directory).await.expect("completed run");
    std::fs::remove_dir_all(&directory).expect("settings and logs were written there");
    assert_eq!(result.violations, []);
    assert_eq!(result.controllers_ended, [0; 0]);
    assert_eq!(result.jobs.done, result.jobs.accepted, "{:?}", result.jobs);
    assert!(result.jobs.accepted > 20, "{:?}", result.jobs);
    assert!(result.tasks.starts_per_s > 1.0, "{:?}", result.tasks);
    assert!(result.workers.reports_per_s > 12.0, "{:?}", result.workers);
    assert!(result.leader.cores > 0.0 && result.leader.sockets > 0.0);
}
