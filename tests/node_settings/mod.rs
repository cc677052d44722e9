//! Settings of one node, `n0`, for tests that drive its core directly.

use kiteyard::settings::Settings;
use serde_json::{Value, json};

/// First port of the other nodes' addresses; nothing listens there.
const FIRST_PEER_PORT: usize = 5;

/// Returns settings with `peers` other nodes, from `n1` on.
#[allow(dead_code)] // Not every test file that uses this module needs both functions.
pub fn with_peers(peers: usize) -> Settings {
    Settings::parse(&settings_text(peers, &Value::Null)).expect("valid settings")
}

/// Returns the text of the settings file, with the next limits of the state service.
pub fn settings_text(peers: usize, next_limits: &Value) -> String {
    let known: Vec<_> = (0..peers)
        .map(|peer| {
            let label = format!("n{}", peer + 1);
            json!({"label": label, "peer_addr": format!("127.0.0.1:{}", FIRST_PEER_PORT + peer)})
        })
        .collect();
    let text = json!({
        "label": "n0", "api_addr": "127.0.0.1:1", "cluster_listen": "127.0.0.1:2", "known": known,
        "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "params": {
            "zones": ["a"], "teams": [{"name": "red"}],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 30.0},
            "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16, "next": next_limits},
            "cloud": {"rps": 8.0, "list_lag_s": 10.0},
            "resources": {"sockets": 700}
        }
    });
    text.to_string()
}
