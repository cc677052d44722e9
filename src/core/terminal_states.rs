//! Terminal states of jobs in the state service: where they are stored, and in which form.
//!
//! Generation 1 keeps one key a job. From generation 2 on, one key keeps the terminal states of all
//! jobs whose ids differ in the last two digits only. Either way an end is found with one
//! read while nothing moves. While records are being rewritten it is in one of two places,
//! never in both and never in none, and is looked for where it moves from first.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kiteyard_rollout::generation::{ClusterGeneration, Feature, Generation};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::{
    job::{JobId, JobState, TerminalRecord},
    store::{Change, Condition, TERMINAL_RANGES, TERMINAL_STATES, delete, put, terminal_key, when},
};

pub const PACKED_TERMINAL_STATES: Feature = Feature {
    name: "packed-finals",
    since: 2,
    is_reversible: true,
    forms: &["ends/RANGE", "live/generation", "pulse.told"],
};

/// Where the end of a job may be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Single,
    Packed,
}

pub fn place(generation: Generation) -> Place {
    match generation >= PACKED_TERMINAL_STATES.since {
        true => Place::Packed,
        false => Place::Single,
    }
}

/// Where to look, in this order: a record that is rewritten meanwhile is met.
pub fn places(cluster: &ClusterGeneration) -> Vec<Place> {
    let mut places: Vec<Place> = cluster.read_generations().map(place).collect();
    places.dedup();
    places
}

/// A range of ids: all that are alike but for the last two digits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Range(String);

/// Digits that ids of one range differ in.
const DIGITS: usize = 2;

impl Range {
    /// The range of an id, and its name there.
    pub fn of(id: &JobId) -> (Self, &str) {
        let text = id.as_str();
        let digits = text.len() - text.find(|c: char| c.is_ascii_digit()).unwrap_or(0);
        let at = text.len() - digits.min(DIGITS);
        (Self(text[..at].to_owned()), &text[at..])
    }

    pub fn of_key(key: &str) -> Option<Self> {
        let range = key.strip_prefix(TERMINAL_RANGES)?;
        // Any id in it would do.
        let id = JobId::parse(&format!("{range}00"))?;
        (Self::of(&id).0.0 == range).then(|| Self(range.to_owned()))
    }

    pub fn key(&self) -> String {
        format!("{TERMINAL_RANGES}{}", self.0)
    }

    pub fn id(&self, name: &str) -> Option<JobId> {
        JobId::parse(&format!("{}{name}", self.0))
    }
}

/// The ends of the jobs of one range. Stored as text, an entry a job, in order:
/// `07c3,12d400` says that the job that ends in 07 was cancelled with 3 tasks done, and
/// the one in 12 is done with 400. `12d400t1733130000000` says as well when that one ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TerminalStates(BTreeMap<String, TerminalRecord>);

/// Stands between a number of tasks and the time of a job's end.
const TIME_MARK: char = 't';
/// A range whose text would be longer leaves out the times, which only order jobs: the ends
/// of a hundred jobs must fit into the smallest value that a state service takes.
const WITH_TIMES_MOST: usize = 1500;

impl TerminalStates {
    pub fn get(&self, name: &str) -> Option<TerminalRecord> {
        self.0.get(name).copied()
    }

    pub fn insert(&mut self, name: &str, record: TerminalRecord) {
        self.0.insert(name.to_owned(), record);
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes some of them out.
    pub fn split_off(&mut self, count: usize) -> Vec<(String, TerminalRecord)> {
        let mut taken = Vec::new();
        while taken.len() < count
            && let Some(entry) = self.0.pop_first()
        {
            taken.push(entry);
        }
        taken
    }

    fn encode(&self) -> String {
        let text = self.encode_entries(true);
        match text.len() <= WITH_TIMES_MOST {
            true => text,
            false => self.encode_entries(false),
        }
    }

    fn encode_entries(&self, with_times: bool) -> String {
        let entry = |(name, record): (&String, &TerminalRecord)| {
            let letter = match record.state {
                JobState::Cancelled => 'c',
                _ => 'd',
            };
            let time = record.ended_ms.filter(|_| with_times);
            let time = time.map_or(String::new(), |ms| format!("{TIME_MARK}{ms}"));
            format!("{name}{letter}{}{time}", record.done)
        };
        self.0.iter().map(entry).collect::<Vec<_>>().join(",")
    }

    /// Nothing is passed over: an entry that can't be read makes the whole unreadable.
    fn decode(text: &str) -> Option<Self> {
        let mut ends = Self::default();
        for entry in text.split(',').filter(|_| !text.is_empty()) {
            let at = entry.find(|c: char| !c.is_ascii_digit())?;
            let (name, rest) = entry.split_at(at);
            let state = match rest.chars().next()? {
                'c' => JobState::Cancelled,
                'd' => JobState::Done,
                _ => return None,
            };
            if !(1..=DIGITS).contains(&name.len()) {
                return None;
            }
            let (done, time) = match rest[1..].split_once(TIME_MARK) {
                Some((done, time)) => (done, Some(time)),
                None => (&rest[1..], None),
            };
            let record = TerminalRecord {
                state,
                done: parse_digits(done)?,
                ended_ms: match time {
                    Some(time) => Some(parse_digits(time)?),
                    None => None,
                },
            };
            if ends.0.insert(name.to_owned(), record).is_some() {
                return None;
            }
        }
        Some(ends)
    }
}

/// A number in plain digits: no heartbeat, nothing else.
fn parse_digits<T: std::str::FromStr>(text: &str) -> Option<T> {
    let plain = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| plain)
}

impl Serialize for TerminalStates {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.encode())
    }
}

impl<'de> Deserialize<'de> for TerminalStates {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::decode(&text).ok_or_else(|| de::Error::custom("not the ends of a range of jobs"))
    }
}

/// The end of one job by itself, as stored.
pub fn parse_single(text: &str) -> Option<TerminalRecord> {
    let record: TerminalRecord = serde_json::from_str(text).ok()?;
    let over = matches!(record.state, JobState::Done | JobState::Cancelled);
    over.then_some(record)
}

/// The id that a key of its own speaks of.
pub fn single_id(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(TERMINAL_STATES)?)
}

/// A range as it was read or written last; version 0: there is none.
#[derive(Debug, Clone, Default)]
pub struct KnownRange {
    pub version: u64,
    pub ends: TerminalStates,
}

/// Ranges that this node has seen. What is written from here depends on the version, so
/// one that has changed since costs a conflict and nothing else.
#[derive(Debug, Default)]
pub struct TerminalRanges {
    known: HashMap<Range, KnownRange>,
    /// Ranges that the leader reads or writes now, and when each may be written again.
    busy: HashMap<Range, Option<Duration>>,
}

const KNOWN_MOST: usize = 256;

impl TerminalRanges {
    pub fn get(&self, range: &Range) -> Option<&KnownRange> {
        self.known.get(range)
    }

    pub fn learn(&mut self, range: Range, known: KnownRange) {
        let newer = self
            .known
            .get(&range)
            .is_some_and(|k| k.version > known.version);
        if newer && known.version > 0 {
            return;
        }
        if self.known.len() >= KNOWN_MOST && !self.known.contains_key(&range) {
            // Any will do: what is asked for again is read again.
            let other = self.known.keys().next().cloned();
            other.and_then(|other| self.known.remove(&other));
        }
        self.known.insert(range, known);
    }

    pub fn forget(&mut self, range: &Range) {
        self.known.remove(range);
    }

    /// The leader may work on a range now.
    pub fn free(&self, range: &Range, now: Duration) -> bool {
        match self.busy.get(range) {
            None => true,
            Some(until) => until.is_some_and(|until| now >= until),
        }
    }

    pub fn take(&mut self, range: &Range) {
        self.busy.insert(range.clone(), None);
    }

    /// The leader's work on a range is over; it rests until then, so that submissions in
    /// the same range find it as they read it.
    pub fn release(&mut self, range: &Range, until: Duration, now: Duration) {
        self.busy.retain(|_, at| at.is_none_or(|at| at > now));
        self.busy.insert(range.clone(), Some(until));
    }

    pub fn reset(&mut self) {
        self.busy.clear();
    }
}

/// What proves that a job has no end, in each place where it could be; none where a
/// range is not known, or where it has one.
pub fn absence_conditions(
    cluster: &ClusterGeneration,
    id: &JobId,
    ranges: &TerminalRanges,
) -> Option<Vec<Condition>> {
    let mut conditions = Vec::new();
    for place in places(cluster) {
        conditions.push(match place {
            Place::Single => when(terminal_key(id), 0),
            Place::Packed => {
                let (range, name) = Range::of(id);
                let known = ranges.get(&range)?;
                if known.ends.get(name).is_some() {
                    return None;
                }
                when(range.key(), known.version)
            }
        });
    }
    Some(conditions)
}

/// Stores the terminal states of jobs of one range in the form that is written now. The caller has
/// read the range where it is needed.
pub struct TerminalWrite {
    pub conditions: Vec<Condition>,
    pub changes: Vec<Change>,
    /// The range as it will be.
    pub ends: Option<(Range, TerminalStates)>,
}

pub fn terminal_write(
    cluster: &ClusterGeneration,
    jobs: &[(JobId, TerminalRecord)],
    ranges: &TerminalRanges,
) -> Option<TerminalWrite> {
    match place(cluster.written_generation()) {
        Place::Single => Some(TerminalWrite {
            conditions: Vec::new(),
            changes: jobs
                .iter()
                .map(|(id, r)| put(terminal_key(id), r))
                .collect(),
            ends: None,
        }),
        Place::Packed => {
            let (range, _) = Range::of(&jobs.first()?.0);
            let known = ranges.get(&range)?;
            let mut ends = known.ends.clone();
            for (id, record) in jobs {
                ends.insert(Range::of(id).1, *record);
            }
            Some(TerminalWrite {
                conditions: vec![when(range.key(), known.version)],
                changes: vec![put(range.key(), &ends)],
                ends: Some((range, ends)),
            })
        }
    }
}

/// Rewrites records of one range in the other form.
pub struct Rewrite {
    pub conditions: Vec<Condition>,
    pub changes: Vec<Change>,
    pub range: Range,
    pub ends: TerminalStates,
    pub records: usize,
}

/// From keys of their own into the range. As many as a transaction has room for.
pub fn pack(range: &Range, alone: &[(JobId, TerminalRecord, u64)], known: &KnownRange) -> Rewrite {
    let mut ends = known.ends.clone();
    let mut conditions = vec![when(range.key(), known.version)];
    let mut deletes = Vec::new();
    for (id, record, version) in alone {
        ends.insert(Range::of(id).1, *record);
        conditions.push(when(terminal_key(id), *version));
        deletes.push(delete(terminal_key(id)));
    }
    let mut changes = vec![put(range.key(), &ends)];
    changes.extend(deletes);
    Rewrite {
        conditions,
        changes,
        range: range.clone(),
        ends,
        records: alone.len(),
    }
}

/// Back from the range to keys of their own.
pub fn unpack(range: &Range, known: &KnownRange, most: usize) -> Option<Rewrite> {
    let mut ends = known.ends.clone();
    let taken = ends.split_off(most.saturating_sub(1).max(1));
    let mut conditions = vec![when(range.key(), known.version)];
    let mut changes = vec![match ends.is_empty() {
        true => delete(range.key()),
        false => put(range.key(), &ends),
    }];
    let records = taken.len();
    for (name, record) in taken {
        let key = terminal_key(&range.id(&name)?);
        conditions.push(when(&key, 0));
        changes.push(put(key, &record));
    }
    Some(Rewrite {
        conditions,
        changes,
        range: range.clone(),
        ends,
        records,
    })
}
