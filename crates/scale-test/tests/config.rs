//! Invalid configuration files are rejected, each with one line that names the error.

use kiteyard_scale_test::{
    config::{Config, ConfigError},
    guard::{self, Refusal},
};

const EXAMPLE: &str = include_str!("../../../examples/scale.toml");

fn example() -> Config {
    Config::parse(EXAMPLE).expect("the example is valid")
}

/// Parses the example with a line replaced.
fn parse_with(line: &str, other: &str) -> Result<Config, ConfigError> {
    assert_eq!(EXAMPLE.matches(line).count(), 1, "{line}");
    Config::parse(&EXAMPLE.replace(line, other))
}

#[test]
fn invalid_values_are_named() {
    for (line, other, field) in [
        ("name = \"cell\"", "name = \"a b\"", "name"),
        ("count = 3", "count = 0", "controllers.count"),
        ("workers = 500", "workers = 50000", "fleet.workers"),
        ("zones = [\"a\", \"b\", \"c\"]", "zones = []", "fleet.zones"),
        (
            "measured_s = 30.0",
            "measured_s = 0.0",
            "duration.measured_s",
        ),
        ("warmup_s = 35.0", "warmup_s = 9999.0", "duration"),
        ("lease_s = 26.5", "lease_s = 6.0", "fleet.lease_s"),
        ("report_s = 5.0", "report_s = nan", "fleet.report_s"),
        (
            "limit_share = 0.2",
            "limit_share = 0.005",
            "teams.limit_share",
        ),
        (
            "guarantee_share = 0.01",
            "guarantee_share = 2.0",
            "teams.guarantee_share",
        ),
        (
            "tasks_per_job = 50.0",
            "tasks_per_job = 0.5",
            "load.tasks_per_job",
        ),
        ("run_sigma = 0.5", "run_sigma = -1.0", "load.run_sigma"),
        (
            "image_gb = 0.5",
            "image_gb = 0.5\npeak = { at_s = 60.0, for_s = 10.0, times = 3.0 }",
            "load.peak",
        ),
        ("write_rps = 60.0", "write_rps = 0.0", "state.write_rps"),
        (
            "latency_ms = 150.0",
            "latency_ms = 150.0\noutage = [{ at_s = 1.0, for_s = 0.0 }]",
            "cloud.outage",
        ),
        (
            "latency_ms = 150.0",
            "latency_ms = 150.0\n[[fault]]\nkind = \"controller_restart\"\nat_s = 1.0\ncontroller = 3",
            "fault.controller",
        ),
        (
            "latency_ms = 150.0",
            "latency_ms = 150.0\n[[fault]]\nkind = \"machines_fail\"\nat_s = 99.0\ncount = 3",
            "fault.at_s",
        ),
    ] {
        match parse_with(line, other) {
            Err(ConfigError::Field { field: actual, .. }) => assert_eq!(actual, field, "{other}"),
            read => panic!("{other}: {read:?}"),
        }
    }
}

#[test]
fn unknown_keys_and_kinds_are_reported_with_their_line() {
    for (line, other, expected) in [
        ("seed = 1", "seeds = 1", "seeds"),
        ("boot_s = 10.0", "boots = 10.0", "boots"),
        ("rps = 250.0", "rps = \"many\"", "invalid type"),
        (
            "latency_ms = 150.0",
            "latency_ms = 150.0\n[[fault]]\nkind = \"flood\"\nat_s = 1.0",
            "flood",
        ),
    ] {
        let error = parse_with(line, other).expect_err(other).to_string();
        assert!(
            error.starts_with("line ") && error.contains(expected),
            "{error}"
        );
        assert!(!error.contains('\n'), "{error}");
    }
}

#[test]
fn a_sweep_is_checked_and_scales_with_the_fleet() {
    let larger = example().with_workers(1_000).expect("valid fleet size");
    assert_eq!(larger.team_limit_cpus(), 2.0 * example().team_limit_cpus());
    assert!(example().with_workers(0).is_err());
    assert!(example().with_starts_per_worker(f64::INFINITY).is_err());
}

#[test]
fn runs_beyond_half_of_the_memory_are_refused() {
    let config = example().with_workers(4_000).expect("valid fleet size");
    let needed_kb = guard::estimated_kb(&config);
    let check = |total, free| guard::check(&config, Some(total), Some(free));
    assert_eq!(check(needed_kb * 2, needed_kb), Ok(()));
    let total_kb = needed_kb * 2 - 2;
    assert_eq!(
        check(total_kb, needed_kb),
        Err(Refusal::Memory {
            needed_kb,
            total_kb
        })
    );
    let available_kb = needed_kb - 1;
    let refusal = Err(Refusal::Available {
        needed_kb,
        available_kb,
    });
    assert_eq!(check(needed_kb * 2, available_kb), refusal);
    assert_eq!(
        guard::check(&config, None, Some(needed_kb)),
        Err(Refusal::Unknown)
    );
    let mut oversized = example();
    oversized.controllers.count = 300;
    let refusal = guard::check(&oversized, Some(u64::MAX), Some(u64::MAX));
    assert_eq!(refusal, Err(Refusal::Processes { processes: 301 }));
}

#[test]
fn the_program_exits_with_2_and_one_line() {
    let path = std::env::temp_dir().join(format!("scale-test-{}.toml", std::process::id()));
    std::fs::write(&path, EXAMPLE.replace("workers = 500", "workers = 0")).expect("file written");
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_scale-test"))
        .arg("run")
        .arg(&path)
        .output()
        .expect("scale-test runs");
    std::fs::remove_file(&path).expect("file removed");
    assert_eq!(out.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.contains("`fleet.workers`"), "{stderr}");
}
