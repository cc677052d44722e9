//! Authenticated grants sent with a start: an attempt holds these seats, under this claim, until
//! an expiry. A holder of the key can verify a grant offline.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ledger::Attempt;

/// Permission for one attempt to use seats of one licence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Name of the licence.
    pub licence: String,
    /// Number of seats.
    pub seats: u32,
    /// Task that holds the seats.
    pub task: String,
    /// Attempt of that task.
    pub attempt: u64,
    /// Claim of the leader; grants of earlier claims are outdated by a later one.
    pub claim: u64,
    /// Expiry in Unix milliseconds.
    pub expires_ms: u64,
}

/// Reason why a grant is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// The text does not have the format of [`Keys::seal`].
    #[error("malformed grant")]
    Malformed,
    /// Neither the current nor the former key made its MAC.
    #[error("the MAC of the grant does not match")]
    Forged,
    /// The expiry of the grant has passed.
    #[error("the grant has expired")]
    Expired,
    /// A grant of the same licence for the same attempt was accepted before.
    #[error("the grant was used before")]
    Replayed,
    /// A grant of a later claim has been accepted since.
    #[error("a grant of a later leader was accepted")]
    Outdated,
}

/// The key that authenticates grants, and the previous one, which is still accepted.
#[derive(Clone)]
pub struct Keys {
    current: [u8; 32],
    previous: Option<[u8; 32]>,
}

/// Key derivation context, which separates these keys from other uses of the secret.
const CONTEXT: &str = "kiteyard 2026 licence grants";
const SEPARATOR: char = '.';
/// Maximum length of a sealed grant in bytes.
const MAX_SEALED_LEN: usize = 2048;

impl Keys {
    /// Derives the keys from a secret, and from the previous one while it is still accepted.
    pub fn new(secret: &[u8], previous: Option<&[u8]>) -> Self {
        let key = |secret: &[u8]| blake3::derive_key(CONTEXT, secret);
        Self {
            current: key(secret),
            previous: previous.map(key),
        }
    }

    /// Returns the grant as text: its JSON and, after a dot, the MAC of exactly that JSON.
    pub fn seal(&self, grant: &Grant) -> String {
        let text = serde_json::to_string(grant).unwrap_or_default();
        let mac = blake3::keyed_hash(&self.current, text.as_bytes()).to_hex();
        format!("{text}{SEPARATOR}{mac}")
    }

    /// Returns the grant if one of the keys made its MAC.
    pub fn open(&self, sealed: &str) -> Result<Grant, Refusal> {
        if sealed.len() > MAX_SEALED_LEN {
            return Err(Refusal::Malformed);
        }
        let (text, mac) = sealed.rsplit_once(SEPARATOR).ok_or(Refusal::Malformed)?;
        // Uppercase hex would be a second encoding of the same grant.
        if mac.bytes().any(|b| b.is_ascii_uppercase()) {
            return Err(Refusal::Malformed);
        }
        let mac = blake3::Hash::from_hex(mac).map_err(|_| Refusal::Malformed)?;
        // `blake3::Hash` compares in constant time.
        let mac_matches = |key: &[u8; 32]| blake3::keyed_hash(key, text.as_bytes()) == mac;
        if !mac_matches(&self.current) && !self.previous.as_ref().is_some_and(mac_matches) {
            return Err(Refusal::Forged);
        }
        serde_json::from_str(text).map_err(|_| Refusal::Malformed)
    }
}

/// Verifier at a licence counter: accepts each grant once, and none of a superseded leader.
#[derive(Debug, Default)]
pub struct GrantVerifier {
    claim: u64,
    /// Accepted attempts, with the time until which they must be remembered.
    accepted: BTreeMap<(Attempt, String), u64>,
    /// Number of refused grants by reason.
    pub refused: BTreeMap<Refusal, u64>,
}

impl GrantVerifier {
    /// Accepts a grant, or counts and returns the reason why it is refused.
    pub fn accept(&mut self, keys: &Keys, sealed: &str, now_ms: u64) -> Result<Grant, Refusal> {
        let result = self.check(keys, sealed, now_ms);
        if let Err(refusal) = &result {
            *self.refused.entry(*refusal).or_insert(0) += 1;
        }
        result
    }

    fn check(&mut self, keys: &Keys, sealed: &str, now_ms: u64) -> Result<Grant, Refusal> {
        let grant = keys.open(sealed)?;
        if now_ms >= grant.expires_ms {
            return Err(Refusal::Expired);
        }
        if grant.claim < self.claim {
            return Err(Refusal::Outdated);
        }
        self.accepted.retain(|_, until| now_ms < *until);
        let attempt = Attempt {
            task: grant.task.clone(),
            attempt: grant.attempt,
        };
        let key = (attempt, grant.licence.clone());
        if self.accepted.contains_key(&key) {
            return Err(Refusal::Replayed);
        }
        self.claim = grant.claim;
        self.accepted.insert(key, grant.expires_ms);
        Ok(grant)
    }
}
