//! Meaning of the state service's answers, in particular which ones are final.

use std::time::Duration;

use kiteyard::{
    core::store::{StateReply, StateRequest, delete, if_version, put, put_leased},
    wire::state::decode,
};

const NO_SUCH_LEASE: &[u8] = br#"{"error":"no such lease"}"#;

fn transaction(lease: Option<u64>) -> StateRequest {
    StateRequest::Txn {
        conditions: vec![if_version("live/leader", 4)],
        changes: vec![put_leased("live/leader", &"n0", lease), delete("roster/1")],
    }
}

fn decode_400(request: &StateRequest, body: &[u8]) -> StateReply {
    decode(request, 400, None, body)
}

#[test]
fn expired_lease_is_distinguished_from_rejected_transaction() {
    let leased = transaction(Some(7));
    assert!(matches!(
        decode_400(&leased, NO_SUCH_LEASE),
        StateReply::LeaseExpired
    ));
    for body in [
        &b""[..],
        b"{}",
        b"value too large",
        br#"{"error":"too large"}"#,
        b"[1",
    ] {
        let reply = decode_400(&leased, body);
        assert!(matches!(reply, StateReply::Rejected), "{reply:?}");
    }
}

#[test]
fn transaction_without_lease_has_no_expired_lease() {
    for request in [
        transaction(None),
        StateRequest::Txn {
            conditions: Vec::new(),
            changes: vec![put("roster/1", &"x")],
        },
        StateRequest::Txn {
            conditions: Vec::new(),
            changes: Vec::new(),
        },
    ] {
        let reply = decode_400(&request, NO_SUCH_LEASE);
        assert!(matches!(reply, StateReply::Rejected), "{reply:?}");
    }
}

#[test]
fn retryable_answers_are_not_rejections() {
    let request = transaction(None);
    let limited = decode(&request, 429, Some(Duration::from_secs(2)), b"{}");
    assert!(matches!(
        limited,
        StateReply::Refused {
            rate_limited: true,
            ..
        }
    ));
    let unavailable = decode(&request, 503, None, b"{}");
    assert!(matches!(
        unavailable,
        StateReply::Refused {
            rate_limited: false,
            ..
        }
    ));
    let failed = decode(&request, 500, None, b"{}");
    assert!(matches!(failed, StateReply::Unclear));
}
