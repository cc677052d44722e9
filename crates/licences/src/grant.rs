//! The word that goes with a start: this attempt holds these seats, under this claim,
//! until then. Whoever has the key can check it without asking anyone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ledger::Attempt;

/// Permission for one attempt to use seats of one licence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The licence.
    pub licence: String,
    /// How many seats of it.
    pub seats: u32,
    /// The task that holds them.
    pub task: String,
    /// The attempt of that task.
    pub attempt: u64,
    /// The leader's claim: a later one outdates what an earlier one gave.
    pub claim: u64,
    /// In milliseconds of the time of day.
    pub expires_ms: u64,
}

/// Why a grant does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Refusal {
    /// The text is not of the form that [`Keys::seal`] makes.
    #[error("not a grant")]
    Malformed,
    /// Neither the current key nor the former one made it.
    #[error("its MAC does not match")]
    Forged,
    /// It was valid until an earlier time.
    #[error("it has expired")]
    Expired,
    /// The same attempt entered with the same licence before.
    #[error("it was used before")]
    Replayed,
    /// A grant of a later claim has been accepted since.
    #[error("a later leader gives the seats now")]
    Outdated,
}

/// The key that grants are made with, and the one before it, which still counts.
#[derive(Clone)]
pub struct Keys {
    current: [u8; 32],
    former: Option<[u8; 32]>,
}

/// Keys for other uses of the same secret differ.
const CONTEXT: &str = "kiteyard 2026 licence grants";
const SEPARATOR: char = '.';
/// No grant is longer.
const TEXT_MOST: usize = 2048;

impl Keys {
    /// Derives the keys from a secret, and from the one before it while that still counts.
    pub fn new(secret: &[u8], former: Option<&[u8]>) -> Self {
        let key = |secret: &[u8]| blake3::derive_key(CONTEXT, secret);
        Self {
            current: key(secret),
            former: former.map(key),
        }
    }

    /// The grant as text: its JSON and, after a dot, the MAC of exactly that text.
    pub fn seal(&self, grant: &Grant) -> String {
        let text = serde_json::to_string(grant).unwrap_or_default();
        let mac = blake3::keyed_hash(&self.current, text.as_bytes()).to_hex();
        format!("{text}{SEPARATOR}{mac}")
    }

    /// What it says, if one of the keys made it.
    pub fn open(&self, sealed: &str) -> Result<Grant, Refusal> {
        if sealed.len() > TEXT_MOST {
            return Err(Refusal::Malformed);
        }
        let (text, mac) = sealed.rsplit_once(SEPARATOR).ok_or(Refusal::Malformed)?;
        // Capitals would be another text for the same grant.
        if mac.bytes().any(|b| b.is_ascii_uppercase()) {
            return Err(Refusal::Malformed);
        }
        let mac = blake3::Hash::from_hex(mac).map_err(|_| Refusal::Malformed)?;
        // Hashes are compared in constant time.
        let made = |key: &[u8; 32]| blake3::keyed_hash(key, text.as_bytes()) == mac;
        if !made(&self.current) && !self.former.as_ref().is_some_and(made) {
            return Err(Refusal::Forged);
        }
        serde_json::from_str(text).map_err(|_| Refusal::Malformed)
    }
}

/// A counter's side: lets each grant in once, and none of a leader that was followed.
#[derive(Debug, Default)]
pub struct Gate {
    claim: u64,
    /// Attempts let in, and until when they have to be remembered.
    seen: BTreeMap<(Attempt, String), u64>,
    /// Grants that were refused so far, by reason.
    pub refused: BTreeMap<Refusal, u64>,
}

impl Gate {
    /// Accepts a grant, or counts and tells why it is refused.
    pub fn enter(&mut self, keys: &Keys, sealed: &str, now_ms: u64) -> Result<Grant, Refusal> {
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
        self.seen.retain(|_, until| now_ms < *until);
        let attempt = Attempt {
            task: grant.task.clone(),
            attempt: grant.attempt,
        };
        let key = (attempt, grant.licence.clone());
        if self.seen.contains_key(&key) {
            return Err(Refusal::Replayed);
        }
        self.claim = grant.claim;
        self.seen.insert(key, grant.expires_ms);
        Ok(grant)
    }
}
