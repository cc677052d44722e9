//! Checks over many settings that no cancelled task can run for longer than `cancel_s`.

use std::time::Duration;

use kiteyard::{
    core::config::{Config, Options},
    settings::{Settings, SettingsError},
};
use proptest::prelude::*;

fn settings(lease_s: f64, cancel_s: f64) -> Result<Settings, SettingsError> {
    let text = serde_json::json!({
        "label": "n0", "site": "a", "api_addr": "127.0.0.1:1", "cluster_listen": "127.0.0.1:2",
        "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "params": {
            "zones": ["a"], "teams": [],
            "workers": {"report_s": lease_s / 4.0, "lease_s": lease_s, "gang_wait_s": 30.0,
                "gang_peer_s": 5.0, "cancel_s": cancel_s},
            "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 8.0, "list_lag_s": 10.0},
            "resources": {"cpu_share": 0.2, "sockets": 700}
        }
    });
    Settings::parse(&text.to_string())
}

/// Maximum clock drift per second.
const MAX_DRIFT: f64 = 0.0005;
/// Timeout of a direct command, in seconds.
const DIRECT_COMMAND_TIMEOUT_S: f64 = 1.0;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A leader that has missed everything since its last verification acts for a term, and its
    /// last answer or command keeps a worker's lease alive. Settings in which the sum exceeds
    /// `cancel_s` are refused with an error that names the field.
    #[test]
    fn term_and_lease_end_within_cancel_s(lease in 1.0..90.0f64, cancel in 1.0..150.0f64) {
        match settings(lease, cancel) {
            Ok(settings) => {
                let config = Config::new(&settings, Options::default());
                let term = config.leader_term.as_secs_f64();
                let clock_factor = 1.0 + MAX_DRIFT;
                prop_assert!((term + lease) * clock_factor + DIRECT_COMMAND_TIMEOUT_S <= cancel);
                prop_assert!(config.worker_lease_bound.as_secs_f64() >= lease * clock_factor);
                prop_assert!(config.leader_term < config.leader_ttl);
                prop_assert!(config.renew_interval * 4 < config.leader_ttl);
                prop_assert!(config.leader_term > Duration::from_secs(1));
            }
            Err(error) => {
                prop_assert!(error.to_string().contains("`params.workers.cancel_s`"), "{}", error);
                prop_assert!(cancel < lease * (1.0 + 5.0 * MAX_DRIFT) + 5.5);
            }
        }
    }
}
