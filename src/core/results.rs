//! Stored results of a job by chunk, with the revisions of their keys.
//!
//! A chunk that exceeds the size of a value is stored in parts, each under its own key with its own
//! revision: the key's name is the chunk's number with one more leading zero than the part's
//! number. A reader that parses the names as numbers combines all parts, as each names only tasks
//! of that chunk. The key without zeros keeps its contents.
//!
//! A write that got no answer may still be applied after newer ones. If it depended only on the
//! job, an older set could replace a newer one after workers were sent the command to forget its
//! results. Each chunk is therefore written on condition of its own revision, and after an unclear
//! answer it is read before it is written again.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

use super::job::{TASKS_PER_CHUNK, TaskSet};

/// Number of 64-task words in one part of a chunk.
const PART_WORDS: usize = 64;

/// Contents of one key: a chunk, or a part of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChunkPart {
    chunk: u32,
    /// Number of the part, or none for the whole chunk.
    part: Option<u32>,
}

impl ChunkPart {
    pub fn whole(chunk: u32) -> Self {
        Self { chunk, part: None }
    }

    /// Returns all parts of a chunk.
    fn parts_of(chunk: u32) -> impl Iterator<Item = Self> {
        let parts = TASKS_PER_CHUNK / 64 / PART_WORDS as u32;
        (0..parts).map(move |part| Self {
            chunk,
            part: Some(part),
        })
    }

    /// Returns its name in the key.
    pub fn name(&self) -> String {
        let zeros = self.part.map_or(0, |part| part as usize + 1);
        format!("{}{}", "0".repeat(zeros), self.chunk)
    }

    pub fn parse(name: &str) -> Option<Self> {
        let chunk: u32 = name.parse().ok()?;
        let zeros = name.len().checked_sub(chunk.to_string().len())?;
        let part = zeros.checked_sub(1).map(|part| part as u32);
        Some(Self { chunk, part })
    }

    fn words(&self) -> Range<usize> {
        let words = TaskSet::chunk_words(self.chunk);
        let Some(part) = self.part else {
            return words;
        };
        let start = words.start + part as usize * PART_WORDS;
        start..(start + PART_WORDS).min(words.end)
    }

    /// Encodes the words of a set that are stored under this key.
    pub fn encode(&self, set: &TaskSet) -> String {
        set.encode_words(self.chunk, &self.words())
    }
}

/// Returns the chunks and parts of a set to write, given the stored set: whole chunks that fit into
/// a value, and the changed parts of larger ones.
pub fn unsaved_parts(set: &TaskSet, stored: &TaskSet, value_bytes: usize) -> Vec<ChunkPart> {
    let chunks = set.chunks_added_since(stored).into_iter();
    let parts = chunks.flat_map(|chunk| {
        let whole = ChunkPart::whole(chunk);
        if set.encode_chunk(chunk).len() + QUOTE_BYTES <= value_bytes {
            return vec![whole];
        }
        let parts = ChunkPart::parts_of(chunk);
        let changed = parts.filter(|part| set.has_added_since(stored, &part.words()));
        changed.collect()
    });
    parts.collect()
}

/// Number of bytes for the quotes around a stored text.
const QUOTE_BYTES: usize = 2;

#[derive(Debug, Clone, Default)]
pub struct Results {
    /// Tasks that are certainly stored as done.
    stored: TaskSet,
    /// Revisions of the existing keys.
    versions: BTreeMap<ChunkPart, u64>,
    /// Chunks whose last write got no answer or met a conflict.
    unverified: BTreeSet<ChunkPart>,
}

impl From<TaskSet> for Results {
    fn from(stored: TaskSet) -> Self {
        Self {
            stored,
            ..Self::default()
        }
    }
}

impl Results {
    pub fn stored(&self) -> &TaskSet {
        &self.stored
    }

    pub fn contains(&self, index: u32) -> bool {
        self.stored.contains(index)
    }

    /// Returns the chunks that may be stored.
    pub fn chunks(&self) -> Vec<ChunkPart> {
        let mut chunks: BTreeSet<ChunkPart> = self.versions.keys().copied().collect();
        chunks.extend(self.stored.chunks().into_iter().map(ChunkPart::whole));
        chunks.extend(&self.unverified);
        chunks.into_iter().collect()
    }

    pub fn version(&self, chunk: ChunkPart) -> u64 {
        self.versions.get(&chunk).copied().unwrap_or(0)
    }

    /// Adds a chunk as it was read; returns false if it can't be parsed.
    #[must_use]
    pub fn read(&mut self, chunk: ChunkPart, version: u64, text: &str) -> bool {
        let parsed = self.stored.decode_chunk(chunk.chunk, text);
        if parsed {
            self.set_version(chunk, version);
        }
        parsed
    }

    fn set_version(&mut self, chunk: ChunkPart, version: u64) {
        self.versions.insert(chunk, version);
        self.unverified.remove(&chunk);
    }

    /// Records that the key does not exist.
    pub fn mark_missing(&mut self, chunk: ChunkPart) {
        self.versions.remove(&chunk);
        self.unverified.remove(&chunk);
    }

    /// Records that these chunks of a set were stored.
    pub fn mark_written(&mut self, set: &TaskSet, chunks: &[ChunkPart], version: u64) {
        for &chunk in chunks {
            self.stored.merge_words(set, chunk.words());
            self.set_version(chunk, version);
        }
    }

    /// Records that the outcome of a write is unknown.
    pub fn mark_unverified(&mut self, chunks: &[ChunkPart]) {
        self.unverified.extend(chunks);
    }

    /// Returns a chunk that has to be read before it can be written.
    pub fn next_unverified(&self) -> Option<ChunkPart> {
        self.unverified.first().copied()
    }
}
