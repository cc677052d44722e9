//! Settings of the nodes of a world.

use kiteyard::settings::Settings;

use super::{MAX_CLOCK_SKEW_MS, NODES, Scale, ZONES};

pub(super) fn settings(node: usize, scale: &Scale) -> Settings {
    let peers: Vec<_> = (0..NODES)
        .filter(|n| *n != node)
        .map(|n| serde_json::json!({"label": format!("n{n}"), "site": ZONES[n], "peer_addr": "127.0.0.1:1"}))
        .collect();
    let next = scale.announced.map(|next| {
        serde_json::json!({"write_rps": next.write_rps, "value_kb": next.value_kb,
            "txn_ops": next.txn_ops})
    });
    let text = serde_json::json!({
        "label": format!("n{node}"), "site": ZONES[node],
        "api_addr": "127.0.0.1:1", "cluster_listen": "127.0.0.1:2", "known": peers,
        "outside": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "params": {
            "zones": ZONES,
            "teams": [{"name": "red", "cpus": 8.0, "cpus_max": scale.team_limit}, {"name": "blue", "cpus_max": scale.second_team_limit}],
            "workers": {"report_s": scale.report.as_secs_f64(), "lease_s": scale.lease.as_secs_f64(),
                "gang_wait_s": scale.gang_wait.as_secs_f64(), "gang_peer_s": 3.0, "cancel_s": scale.cancel.as_secs_f64()},
            "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": scale.value_kb, "txn_ops": 16,
                "next": next},
            "cloud": {"rps": 10.0, "list_lag_s": 3.0},
            "resources": {"sockets": 500}, "time_bound_ms": MAX_CLOCK_SKEW_MS as f64 / 2.0
        }
    });
    Settings::parse(&text.to_string()).expect("valid settings")
}
