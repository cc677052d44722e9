//! Limits of the state service announced in the settings.

mod node_settings;

use kiteyard::{
    core::config::{Config, Options},
    settings::{Settings, SettingsError},
};
use serde_json::{Value, json};

fn parse(next: &Value) -> Result<Settings, SettingsError> {
    Settings::parse(&node_settings::settings_text(0, next))
}

fn config(next: &Value) -> Config {
    Config::new(&parse(next).expect("valid settings"), Options::default())
}

#[test]
fn writes_fit_present_and_announced_limits() {
    let lower = config(&json!({"write_rps": 15.0, "value_kb": 2.0, "txn_ops": 5}));
    assert_eq!((lower.max_value_bytes, lower.max_txn_ops), (2048, 5));
    assert_eq!(
        lower.write_rate, 27.0,
        "the present rate is used until it falls"
    );
    assert_eq!(lower.announced_write_rate, Some(13.5));

    let higher = config(&json!({"value_kb": 64.0, "txn_ops": 32}));
    assert_eq!(
        (higher.max_value_bytes, higher.max_txn_ops),
        (16 * 1024, 16)
    );
    assert_eq!(higher.announced_write_rate, None);

    let none = config(&Value::Null);
    assert_eq!((none.max_value_bytes, none.max_txn_ops), (16 * 1024, 16));
}

#[test]
fn announced_limits_may_be_partial_or_have_unknown_fields() {
    let partial = config(&json!({"txn_ops": 4, "watch_most": 3}));
    assert_eq!(
        (partial.max_value_bytes, partial.max_txn_ops),
        (16 * 1024, 4)
    );
    assert!(parse(&json!({})).is_ok());
}

#[test]
fn invalid_limit_error_names_the_field() {
    for (next, field) in [
        (json!({"write_rps": 0.0}), "params.state.next.write_rps"),
        (json!({"value_kb": -2.0}), "params.state.next.value_kb"),
        (json!({"txn_ops": 3}), "params.state.next.txn_ops"),
        (json!({"txn_ops": "many"}), "params.state.next.txn_ops"),
        (json!(7), "params.state.next"),
    ] {
        let error = parse(&next).expect_err("an invalid limit").to_string();
        assert!(error.contains(&format!("`{field}`")), "{error}");
    }
}
