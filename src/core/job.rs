//! Jobs and their tasks, as seen by every node.

use std::{
    cmp::Ordering,
    collections::BTreeMap,
    fmt,
    hash::{Hash, Hasher},
    ops::Range,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

/// Id of a job, never reused.
///
/// Ids are compared for every task of every report, so their first digits are also kept as a
/// number, which alone decides most comparisons.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId {
    leading_digits: u64,
    text: Arc<str>,
}

const JOB_PREFIX: &str = "run-";
/// Number of digits kept in `leading_digits`.
const LEADING_DIGITS: usize = 8;

impl JobId {
    /// Parses an id. Accepts only `run-` and 1 to 40 digits, so that an id can be part of a key or
    /// a path.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(JOB_PREFIX)?.as_bytes();
        let is_valid = (1..=40).contains(&digits.len()) && digits.iter().all(u8::is_ascii_digit);
        let mut leading_digits = [0; LEADING_DIGITS];
        for (to, digit) in leading_digits.iter_mut().zip(digits) {
            *to = *digit;
        }
        is_valid.then(|| Self {
            leading_digits: u64::from_be_bytes(leading_digits),
            text: Arc::from(text),
        })
    }

    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns whether `leading_digits` holds all digits.
    fn is_short(&self) -> bool {
        self.text.len() <= JOB_PREFIX.len() + LEADING_DIGITS
    }
}

impl Ord for JobId {
    /// Compares the texts, so that keys in the state service have the same order.
    fn cmp(&self, other: &Self) -> Ordering {
        let order = self.leading_digits.cmp(&other.leading_digits);
        match self.is_short() && other.is_short() {
            true => order,
            false => order.then_with(|| self.text.cmp(&other.text)),
        }
    }
}

impl PartialOrd for JobId {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for JobId {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for JobId {}

impl Hash for JobId {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.leading_digits.hash(state);
    }
}

impl TryFrom<String> for JobId {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text).ok_or("job id must be run- followed by 1 to 40 digits")
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.text.to_string()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// All tasks run at the same time, or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

impl Priority {
    /// All priorities in ascending order.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Production];

    /// Returns the next lower priority.
    pub fn next_lower(self) -> Option<Self> {
        Self::ALL.get((self as usize).checked_sub(1)?).copied()
    }
}

/// State of a job as shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    Pending,
    Running,
    Done,
    Cancelled,
}

/// Resources that a task needs or a machine has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Tolerance of comparisons, since sums of decimal amounts are rounded.
const TOLERANCE: f64 = 1e-6;

impl Resources {
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + TOLERANCE
            && self.gpus <= available.gpus + TOLERANCE
            && self.memory_gb <= available.memory_gb + TOLERANCE
    }

    pub fn plus(&self, other: &Resources) -> Resources {
        self.plus_scaled(other, 1.0)
    }

    pub fn minus(&self, other: &Resources) -> Resources {
        self.plus_scaled(other, -1.0)
    }

    pub fn plus_scaled(&self, other: &Resources, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus * factor,
            gpus: self.gpus + other.gpus * factor,
            memory_gb: self.memory_gb + other.memory_gb * factor,
        }
    }

    /// Returns the number of tasks of this size that fit into `available`.
    pub fn count_fitting(&self, available: &Resources) -> u32 {
        let ratio = |need: f64, have: f64| {
            if need <= 0.0 {
                f64::INFINITY
            } else {
                ((have + TOLERANCE) / need).floor().max(0.0)
            }
        };
        ratio(self.cpus, available.cpus)
            .min(ratio(self.gpus, available.gpus))
            .min(ratio(self.memory_gb, available.memory_gb))
            .min(1e6) as u32
    }

    /// Returns the largest share that this takes of any one resource of `whole`, its dominant share
    /// (Ghodsi and others, "Dominant Resource Fairness", 2011). For a resource that `whole` lacks,
    /// the share is infinite unless none of it is needed.
    pub fn dominant_share_of(&self, whole: &Resources) -> f64 {
        let ratio = |need: f64, have: f64| match (need <= TOLERANCE, have <= TOLERANCE) {
            (true, _) => 0.0,
            (false, true) => f64::INFINITY,
            (false, false) => need / have,
        };
        ratio(self.cpus, whole.cpus)
            .max(ratio(self.gpus, whole.gpus))
            .max(ratio(self.memory_gb, whole.memory_gb))
    }
}

/// Job as specified by its user. Stored unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    pub id: JobId,
    pub class: Arc<str>,
    pub team: Arc<str>,
    pub kind: Kind,
    pub priority: Priority,
    pub tasks: u32,
    pub need: Resources,
    pub image: Arc<str>,
    pub image_gb: f64,
    // These are always stored: a record that lacks one has an unknown form.
    #[serde(deserialize_with = "Option::deserialize")]
    pub types: Option<Vec<String>>,
    #[serde(deserialize_with = "Option::deserialize")]
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    #[serde(deserialize_with = "Option::deserialize")]
    pub deadline_s: Option<f64>,
    /// Licence seats that each task takes, by licence.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub licences: BTreeMap<String, u32>,
    /// Jobs that have to be done before any task of this one starts. Omitted if empty, so that
    /// records without dependencies keep their original form.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<JobId>,
}

impl JobSpec {
    pub fn allows_type(&self, name: &str) -> bool {
        self.types
            .as_ref()
            .is_none_or(|types| types.iter().any(|t| t == name))
    }

    pub fn allows_placement(&self, zone: &str, spot: bool) -> bool {
        (self.spot || !spot) && self.zone.as_ref().is_none_or(|z| z == zone)
    }

    /// Returns the maximum number of tasks in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// Accepted job in the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    pub spec: Arc<JobSpec>,
    /// Time at which the job was accepted, in Unix milliseconds.
    pub accepted_ms: u64,
}

/// Permanent record of an ended job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TerminalRecord {
    pub state: JobState,
    pub done: u32,
    /// Time at which the job ended, in Unix milliseconds. Stored only if an active job waited for
    /// this one: its times count from then, under any later leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
}

impl TerminalRecord {
    /// Returns the record of a cancelled job.
    pub fn cancelled(done: u32) -> Self {
        Self {
            state: JobState::Cancelled,
            done,
            ended_ms: None,
        }
    }
}

/// Set of done tasks of a job, divided into chunks that fit the state service's values.
#[derive(Debug, Clone, Default)]
pub struct TaskSet {
    words: Vec<u64>,
}

/// Number of tasks in one stored chunk.
pub const TASKS_PER_CHUNK: u32 = 16_384;

impl TaskSet {
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get(index as usize / 64)
            .is_some_and(|w| w >> (index % 64) & 1 == 1)
    }

    pub fn insert(&mut self, index: u32) {
        let word = index as usize / 64;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (index % 64);
    }

    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(i, &w)| {
            (0..64u32)
                .filter(move |b| w >> b & 1 == 1)
                .map(move |b| i as u32 * 64 + b)
        })
    }

    /// Returns the chunks that contain any task.
    pub fn chunks(&self) -> Vec<u32> {
        let words_per_chunk = TASKS_PER_CHUNK as usize / 64;
        self.words
            .chunks(words_per_chunk)
            .enumerate()
            .filter(|(_, words)| words.iter().any(|w| *w != 0))
            .map(|(chunk, _)| chunk as u32)
            .collect()
    }

    /// Returns the chunks in which this set has tasks that an earlier one lacks.
    pub fn chunks_added_since(&self, earlier: &TaskSet) -> Vec<u32> {
        let mut added = self.clone();
        for (word, earlier_word) in added.words.iter_mut().zip(&earlier.words) {
            *word &= !earlier_word;
        }
        added.chunks()
    }

    /// Returns whether this set has tasks in these words that an earlier one lacks.
    pub fn has_added_since(&self, earlier: &TaskSet, range: &Range<usize>) -> bool {
        let earlier_word = |at: usize| earlier.words.get(at).copied().unwrap_or(0);
        let words = self.words.iter().enumerate().take(range.end);
        let mut words = words.skip(range.start);
        words.any(|(at, word)| word & !earlier_word(at) != 0)
    }

    /// Adds the tasks that another set has in these words.
    pub fn merge_words(&mut self, other: &TaskSet, range: Range<usize>) {
        let end = range.end.min(other.words.len());
        if self.words.len() < end {
            self.words.resize(end, 0);
        }
        for at in range.start..end {
            self.words[at] |= other.words[at];
        }
    }

    /// Returns the range of words of a chunk.
    pub fn chunk_words(chunk: u32) -> Range<usize> {
        let words_per_chunk = TASKS_PER_CHUNK as usize / 64;
        chunk as usize * words_per_chunk..(chunk as usize + 1) * words_per_chunk
    }

    /// Encodes a chunk as text: one hexadecimal number per 64 tasks.
    pub fn encode_chunk(&self, chunk: u32) -> String {
        self.encode_words(chunk, &Self::chunk_words(chunk))
    }

    /// Encodes only these words of a chunk; the words before them are zero.
    pub fn encode_words(&self, chunk: u32, range: &Range<usize>) -> String {
        let first = Self::chunk_words(chunk).start;
        let end = range.end.min(self.words.len()).max(first);
        let word = |at: usize| match range.contains(&at) {
            true => format!("{:x}", self.words[at]),
            false => "0".to_owned(),
        };
        let words: Vec<String> = (first..end).map(word).collect();
        words.join(",")
    }

    /// Adds the tasks of a stored chunk. Returns false if it can't be parsed: tasks wrongly taken
    /// for not done would run again.
    #[must_use]
    pub fn decode_chunk(&mut self, chunk: u32, text: &str) -> bool {
        let range = Self::chunk_words(chunk);
        let words = || text.split(',').filter(|_| !text.is_empty());
        if words().count() > range.len()
            || words().any(|word| u64::from_str_radix(word, 16).is_err())
        {
            return false;
        }
        for (i, word) in words().enumerate() {
            let word = u64::from_str_radix(word, 16).unwrap_or_default();
            let at = range.start + i;
            if word != 0 {
                if self.words.len() <= at {
                    self.words.resize(at + 1, 0);
                }
                self.words[at] |= word;
            }
        }
        true
    }
}
