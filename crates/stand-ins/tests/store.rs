//! Tests of the store, the rate limit and the state service over HTTP.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Method;
use kiteyard_stand_ins::{
    availability::{Availability, Outage},
    http::{Connection, Traffic},
    rate_limit::RateLimit,
    state::{LoweredLimits, StateService, StateSettings},
    store::{Change, Condition, Store, TxnError},
};
use serde_json::{Value, value::to_raw_value};

const SECOND: Duration = Duration::from_secs(1);

fn put(key: &str, number: u64, lease: Option<u64>) -> Change {
    let (key, value) = (key.to_owned(), to_raw_value(&number).expect("a number"));
    Change::Put { key, value, lease }
}

fn revision_is(key: &str, revision: u64) -> Condition {
    let key = key.to_owned();
    Condition { key, revision }
}

#[test]
fn a_transaction_is_all_or_nothing() {
    let mut store = Store::default();
    let both = vec![put("a/1", 1, None), put("a/2", 2, None)];
    assert_eq!(
        store.transact(&[revision_is("a/1", 0)], both.clone()),
        Ok(1)
    );
    let failed = Err(TxnError::Conflict(vec!["a/1".into()]));
    assert_eq!(
        store.transact(
            &[revision_is("a/1", 0), revision_is("a/2", 1)],
            both.clone()
        ),
        failed
    );
    assert_eq!(store.transact(&[revision_is("a/2", 1)], Vec::new()), Ok(1));
    let missing_lease = vec![Change::Delete { key: "a/1".into() }, put("a/3", 3, Some(9))];
    assert_eq!(
        store.transact(&[], missing_lease),
        Err(TxnError::NoSuchLease)
    );
    assert_eq!((store.len(), store.revision()), (2, 1));
    let events = store
        .events("a/", 0)
        .expect("log reaches back to revision 0");
    assert_eq!(events.len(), 2);
    assert_eq!(
        store
            .events("a/", 1)
            .expect("log reaches back to revision 1")
            .len(),
        0
    );
}

#[test]
fn lists_are_paged_and_old_changes_are_dropped() {
    let mut store = Store::default();
    for number in 0..12_000 {
        let key = format!("k/{:05}", number % 2_500);
        store
            .transact(&[], vec![put(&key, number, None)])
            .expect("no condition");
    }
    assert!(store.events("k/", 1_999).is_none());
    assert_eq!(
        store
            .events("k/", 2_000)
            .expect("the last 10,000 are kept")
            .len(),
        10_000
    );
    let first = store.list("k/", None, 1_000_000);
    assert_eq!((first.items.len(), first.more), (1_000, true));
    let rest = store.list("k/", Some("k/02000"), 1_000);
    assert_eq!((rest.items.len(), rest.more), (499, false));
    assert_eq!(rest.items[0].key, "k/02001");
}

#[test]
fn keys_are_deleted_with_their_lease_unless_detached() {
    let mut store = Store::default();
    let lease = store.grant(Duration::ZERO, 5 * SECOND);
    let changes = vec![put("a", 1, Some(lease)), put("b", 1, Some(lease))];
    store.transact(&[], changes).expect("lease exists");
    store
        .transact(&[], vec![put("b", 2, None)])
        .expect("no condition");
    assert!(!store.expire(4 * SECOND));
    assert!(store.renew(4 * SECOND, lease));
    assert!(!store.expire(8 * SECOND));
    assert!(store.expire(9 * SECOND));
    assert!(store.get("a").is_none() && store.get("b").is_some());
    assert!(!store.renew(9 * SECOND, lease));
}

#[test]
fn a_rate_limit_admits_its_rate_and_one_burst() {
    let mut limit = RateLimit::new(10.0, 20.0);
    let admitted = |limit: &mut RateLimit, now| (0..100).filter(|_| limit.admit(now, 1.0)).count();
    assert_eq!(admitted(&mut limit, Duration::ZERO), 20);
    assert_eq!(admitted(&mut limit, SECOND), 10);
    assert_eq!(admitted(&mut limit, 60 * SECOND), 20);
    assert!(!limit.admit(120 * SECOND, 21.0));
}

async fn send(connection: &mut Connection, method: Method, path: &str, body: &str) -> (u16, Value) {
    let body = Bytes::from(body.to_owned());
    let response = connection.call(method, path, body, 5 * SECOND).await;
    let (status, body) = response.expect("response");
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

#[tokio::test]
async fn the_service_responds_refuses_and_serves_watches() {
    let settings = StateSettings {
        rps: 8.0,
        write_rps: 2.0,
        value_kb: 1.0,
        txn_ops: 4,
        lowered: None,
        availability: Availability {
            latency: Duration::ZERO,
            outages: vec![Outage {
                at_s: 2.0,
                for_s: 600.0,
            }],
        },
    };
    let (service, address) = StateService::start(settings).await.expect("free port");
    let traffic: Arc<Traffic> = Arc::default();
    let mut connection = Connection::new(address, traffic.clone());
    let set = r#"{"when":[{"key":"a/b","mark":0}],"apply":[{"set":"a/b","data":{"n":1}}]}"#;
    assert_eq!(
        send(&mut connection, Method::POST, "/txn", set).await.0,
        200
    );
    assert_eq!(
        send(&mut connection, Method::POST, "/txn", set).await.0,
        409
    );
    assert_eq!(
        send(&mut connection, Method::POST, "/txn", set).await.0,
        429
    );
    let (status, item) = send(&mut connection, Method::GET, "/kv/a/b", "").await;
    assert_eq!((status, &item["mark"]), (200, &Value::from(1)));
    let watch = "/watch?prefix=a/&after=0&wait_ms=1000";
    let (_, response) = send(&mut connection, Method::GET, watch, "").await;
    assert_eq!(response["events"][0]["set"], "a/b");
    assert_eq!(
        send(&mut connection, Method::POST, "/txn", "{").await.0,
        400
    );
    let counts = service.counts();
    assert_eq!((counts.refused_changes, counts.conflicts), (1, 1));
    assert_eq!(counts.bytes_received, traffic.sent());
    assert_eq!(counts.bytes_sent, traffic.received());
    tokio::time::sleep(2 * SECOND).await;
    assert_eq!(
        send(&mut connection, Method::GET, "/kv/a/b", "").await.0,
        503
    );
}

#[tokio::test]
async fn lowered_limits_apply_without_notice_and_stored_values_stay_readable() {
    let settings = StateSettings {
        rps: 1000.0,
        write_rps: 100.0,
        value_kb: 1.0,
        txn_ops: 4,
        lowered: Some(LoweredLimits {
            after: SECOND,
            write_rps: 2.0,
            value_kb: 0.1,
            txn_ops: 1,
        }),
        availability: Availability::default(),
    };
    let (_service, address) = StateService::start(settings).await.expect("free port");
    let mut connection = Connection::new(address, Arc::default());
    let put = |key: &str, bytes: usize| {
        let value = "x".repeat(bytes);
        format!(r#"{{"set":"{key}","data":"{value}"}}"#)
    };
    let txn = |changes: &[String]| format!(r#"{{"when":[],"apply":[{}]}}"#, changes.join(","));
    let large_value = txn(&[put("a", 500)]);
    let two_changes = txn(&[put("b", 5), put("c", 5)]);
    for body in [&large_value, &two_changes] {
        assert_eq!(
            send(&mut connection, Method::POST, "/txn", body).await.0,
            200
        );
    }
    tokio::time::sleep(SECOND).await;
    for body in [&large_value, &two_changes] {
        assert_eq!(
            send(&mut connection, Method::POST, "/txn", body).await.0,
            400
        );
    }
    let one = txn(&[put("d", 5)]);
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(send(&mut connection, Method::POST, "/txn", &one).await.0);
    }
    assert_eq!(statuses, [200, 200, 429]);
    assert_eq!(send(&mut connection, Method::GET, "/kv/a", "").await.0, 200);
}
