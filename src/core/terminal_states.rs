//! Storage of the terminal states of jobs in the state service.
//!
//! Generation 1 stores one key per job. From generation 2 on, one key stores the terminal states of
//! all jobs whose ids differ only in the last two digits. Outside of migrations one read finds a
//! terminal state in either layout. During a migration it is stored in exactly one of the two, and
//! the layout from which it is moved is read first.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kiteyard_rollout::generation::{ClusterGeneration, Feature, Generation};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::{
    job::{JobId, JobState, TerminalRecord},
    store::{
        Change, Condition, TERMINAL_RANGES_PREFIX, TERMINAL_STATES_PREFIX, delete, if_version, put,
        terminal_key,
    },
};

pub const PACKED_TERMINAL_STATES: Feature = Feature {
    name: "packed-finals",
    since: 2,
    is_reversible: true,
    forms: &["ends/RANGE", "live/generation", "pulse.told"],
};

/// Layout in which the terminal state of a job may be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layout {
    Single,
    Packed,
}

pub fn layout(generation: Generation) -> Layout {
    match generation >= PACKED_TERMINAL_STATES.since {
        true => Layout::Packed,
        false => Layout::Single,
    }
}

/// Returns the layouts in the order in which to read them, so that a record rewritten meanwhile is
/// found.
pub fn layouts(cluster: &ClusterGeneration) -> Vec<Layout> {
    let mut layouts: Vec<Layout> = cluster.read_generations().map(layout).collect();
    layouts.dedup();
    layouts
}

/// Range of job ids that differ only in the last two digits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobIdRange(String);

/// Number of digits in which the ids of one range differ.
const RANGE_DIGITS: usize = 2;

impl JobIdRange {
    /// Returns the range of an id, and the name of the id within it.
    pub fn containing(id: &JobId) -> (Self, &str) {
        let text = id.as_str();
        let digits = text.len() - text.find(|c: char| c.is_ascii_digit()).unwrap_or(0);
        let at = text.len() - digits.min(RANGE_DIGITS);
        (Self(text[..at].to_owned()), &text[at..])
    }

    pub fn from_key(key: &str) -> Option<Self> {
        let range = key.strip_prefix(TERMINAL_RANGES_PREFIX)?;
        // Any id in the range would do.
        let id = JobId::parse(&format!("{range}00"))?;
        (Self::containing(&id).0.0 == range).then(|| Self(range.to_owned()))
    }

    pub fn key(&self) -> String {
        format!("{TERMINAL_RANGES_PREFIX}{}", self.0)
    }

    pub fn job_id(&self, name: &str) -> Option<JobId> {
        JobId::parse(&format!("{}{name}", self.0))
    }
}

/// Terminal states of the jobs of one range. Stored as text with one entry per job, in order:
/// `07c3,12d400` means that the job ending in 07 was cancelled with 3 tasks done, and the one
/// ending in 12 is done with 400. `12d400t1733130000000` also contains the time at which the job
/// ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TerminalStates(BTreeMap<String, TerminalRecord>);

/// Separator between the number of done tasks and the end time.
const TIME_SEPARATOR: char = 't';
/// Maximum text length with end times. Longer ranges omit the times, which only order jobs: the
/// terminal states of a hundred jobs must fit into the smallest value size of a state service.
const MAX_LEN_WITH_TIMES: usize = 1500;

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

    /// Removes and returns up to `count` entries.
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
        match text.len() <= MAX_LEN_WITH_TIMES {
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
            let time = time.map_or(String::new(), |ms| format!("{TIME_SEPARATOR}{ms}"));
            format!("{name}{letter}{}{time}", record.done)
        };
        self.0.iter().map(entry).collect::<Vec<_>>().join(",")
    }

    /// Parses all entries; a single invalid entry makes the whole text invalid.
    fn decode(text: &str) -> Option<Self> {
        let mut states = Self::default();
        for entry in text.split(',').filter(|_| !text.is_empty()) {
            let at = entry.find(|c: char| !c.is_ascii_digit())?;
            let (name, rest) = entry.split_at(at);
            let state = match rest.chars().next()? {
                'c' => JobState::Cancelled,
                'd' => JobState::Done,
                _ => return None,
            };
            if !(1..=RANGE_DIGITS).contains(&name.len()) {
                return None;
            }
            let (done, time) = match rest[1..].split_once(TIME_SEPARATOR) {
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
            if states.0.insert(name.to_owned(), record).is_some() {
                return None;
            }
        }
        Some(states)
    }
}

/// Parses a number of plain digits, without a sign.
fn parse_digits<T: std::str::FromStr>(text: &str) -> Option<T> {
    let is_plain = text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| is_plain)
}

impl Serialize for TerminalStates {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.encode())
    }
}

impl<'de> Deserialize<'de> for TerminalStates {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::decode(&text)
            .ok_or_else(|| de::Error::custom("invalid terminal states of a job range"))
    }
}

/// Parses the stored terminal state of a single job.
pub fn parse_single(text: &str) -> Option<TerminalRecord> {
    let record: TerminalRecord = serde_json::from_str(text).ok()?;
    let is_terminal = matches!(record.state, JobState::Done | JobState::Cancelled);
    is_terminal.then_some(record)
}

/// Returns the job id in a key of the single layout.
pub fn single_id(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(TERMINAL_STATES_PREFIX)?)
}

/// Range as last read or written; version 0 means that it does not exist.
#[derive(Debug, Clone, Default)]
pub struct KnownRange {
    pub version: u64,
    pub states: TerminalStates,
}

/// Ranges that this node has seen. Writes depend on the version, so a range that has changed since
/// only costs a conflict.
#[derive(Debug, Default)]
pub struct TerminalRanges {
    known: HashMap<JobIdRange, KnownRange>,
    /// Ranges in use by the leader: none while it reads or writes them, otherwise the time from
    /// which they may be written again.
    busy: HashMap<JobIdRange, Option<Duration>>,
}

const MAX_KNOWN_RANGES: usize = 256;

impl TerminalRanges {
    pub fn get(&self, range: &JobIdRange) -> Option<&KnownRange> {
        self.known.get(range)
    }

    pub fn update(&mut self, range: JobIdRange, known: KnownRange) {
        let is_newer = self
            .known
            .get(&range)
            .is_some_and(|k| k.version > known.version);
        if is_newer && known.version > 0 {
            return;
        }
        if self.known.len() >= MAX_KNOWN_RANGES && !self.known.contains_key(&range) {
            // Any range may be evicted: it is read again when needed.
            let other = self.known.keys().next().cloned();
            other.and_then(|other| self.known.remove(&other));
        }
        self.known.insert(range, known);
    }

    pub fn forget(&mut self, range: &JobIdRange) {
        self.known.remove(range);
    }

    /// Returns whether the leader may work on a range now.
    pub fn is_available(&self, range: &JobIdRange, now: Duration) -> bool {
        match self.busy.get(range) {
            None => true,
            Some(until) => until.is_some_and(|until| now >= until),
        }
    }

    pub fn mark_busy(&mut self, range: &JobIdRange) {
        self.busy.insert(range.clone(), None);
    }

    /// Ends the leader's work on a range and leaves the range unchanged until the given time, so
    /// that submissions in the same range find the version that they read.
    pub fn release(&mut self, range: &JobIdRange, until: Duration, now: Duration) {
        self.busy.retain(|_, at| at.is_none_or(|at| at > now));
        self.busy.insert(range.clone(), Some(until));
    }

    pub fn reset(&mut self) {
        self.busy.clear();
    }
}

/// Returns the conditions which prove that a job has no terminal state in any layout; none if
/// its range is unknown or contains it.
pub fn absence_conditions(
    cluster: &ClusterGeneration,
    id: &JobId,
    ranges: &TerminalRanges,
) -> Option<Vec<Condition>> {
    let mut conditions = Vec::new();
    for layout in layouts(cluster) {
        conditions.push(match layout {
            Layout::Single => if_version(terminal_key(id), 0),
            Layout::Packed => {
                let (range, name) = JobIdRange::containing(id);
                let known = ranges.get(&range)?;
                if known.states.get(name).is_some() {
                    return None;
                }
                if_version(range.key(), known.version)
            }
        });
    }
    Some(conditions)
}

/// Write of the terminal states of jobs of one range in the current layout. The caller has read the
/// range if the layout needs it.
pub struct TerminalWrite {
    pub conditions: Vec<Condition>,
    pub changes: Vec<Change>,
    /// The range after the write.
    pub states: Option<(JobIdRange, TerminalStates)>,
}

pub fn terminal_write(
    cluster: &ClusterGeneration,
    jobs: &[(JobId, TerminalRecord)],
    ranges: &TerminalRanges,
) -> Option<TerminalWrite> {
    match layout(cluster.written_generation()) {
        Layout::Single => Some(TerminalWrite {
            conditions: Vec::new(),
            changes: jobs
                .iter()
                .map(|(id, r)| put(terminal_key(id), r))
                .collect(),
            states: None,
        }),
        Layout::Packed => {
            let (range, _) = JobIdRange::containing(&jobs.first()?.0);
            let known = ranges.get(&range)?;
            let mut states = known.states.clone();
            for (id, record) in jobs {
                states.insert(JobIdRange::containing(id).1, *record);
            }
            Some(TerminalWrite {
                conditions: vec![if_version(range.key(), known.version)],
                changes: vec![put(range.key(), &states)],
                states: Some((range, states)),
            })
        }
    }
}

/// Rewrite of the records of one range into the other layout.
pub struct Rewrite {
    pub conditions: Vec<Condition>,
    pub changes: Vec<Change>,
    pub range: JobIdRange,
    pub states: TerminalStates,
    pub records: usize,
}

/// Builds the move of single records into their range. The caller limits them to the size of a
/// transaction.
pub fn pack(
    range: &JobIdRange,
    singles: &[(JobId, TerminalRecord, u64)],
    known: &KnownRange,
) -> Rewrite {
    let mut states = known.states.clone();
    let mut conditions = vec![if_version(range.key(), known.version)];
    let mut deletes = Vec::new();
    for (id, record, version) in singles {
        states.insert(JobIdRange::containing(id).1, *record);
        conditions.push(if_version(terminal_key(id), *version));
        deletes.push(delete(terminal_key(id)));
    }
    let mut changes = vec![put(range.key(), &states)];
    changes.extend(deletes);
    Rewrite {
        conditions,
        changes,
        range: range.clone(),
        states,
        records: singles.len(),
    }
}

/// Builds the move of records from a range back to keys of their own.
pub fn unpack(range: &JobIdRange, known: &KnownRange, max_changes: usize) -> Option<Rewrite> {
    let mut states = known.states.clone();
    let taken = states.split_off(max_changes.saturating_sub(1).max(1));
    let mut conditions = vec![if_version(range.key(), known.version)];
    let mut changes = vec![match states.is_empty() {
        true => delete(range.key()),
        false => put(range.key(), &states),
    }];
    let records = taken.len();
    for (name, record) in taken {
        let key = terminal_key(&range.job_id(&name)?);
        conditions.push(if_version(&key, 0));
        changes.push(put(key, &record));
    }
    Some(Rewrite {
        conditions,
        changes,
        range: range.clone(),
        states,
        records,
    })
}
