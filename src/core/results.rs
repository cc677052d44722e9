//! What is stored of a job's results, chunk by chunk, and under which revisions.
//!
//! A chunk that is larger than a value may be is stored in parts, each under a key of its own
//! and with its own revision: the chunk's number with zeros before it, one more than the
//! part's number. Whoever reads the chunks' keys as numbers takes all parts in, as each names
//! tasks of that chunk only. The key without zeros keeps what it has.
//!
//! A write that got no answer may still be applied, after newer ones. Were it conditional on
//! the job alone, an older set would take the place of one whose results workers have been
//! told to forget. So each chunk is written on condition of its own revision, and after an
//! unclear answer it is read before it is written again.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

use super::job::{CHUNK, TaskSet};

/// Words of 64 tasks in one part of a chunk.
const PART_WORDS: usize = 64;

/// What one key keeps: a chunk, or a part of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChunkPart {
    chunk: u32,
    /// None: the chunk as a whole.
    part: Option<u32>,
}

impl ChunkPart {
    pub fn whole(chunk: u32) -> Self {
        Self { chunk, part: None }
    }

    /// All parts of a chunk.
    fn all(chunk: u32) -> impl Iterator<Item = Self> {
        let parts = CHUNK / 64 / PART_WORDS as u32;
        (0..parts).map(move |part| Self {
            chunk,
            part: Some(part),
        })
    }

    /// Its name in the key.
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

    /// What is stored of a set under this key.
    pub fn encode(&self, set: &TaskSet) -> String {
        set.encode_words(self.chunk, &self.words())
    }
}

/// What is to be written of a set, after what is stored: chunks that are no longer than a
/// value, and changed parts of the others.
pub fn unsaved(set: &TaskSet, stored: &TaskSet, value_bytes: usize) -> Vec<ChunkPart> {
    let chunks = set.chunks_beyond(stored).into_iter();
    let parts = chunks.flat_map(|chunk| {
        let whole = ChunkPart::whole(chunk);
        if set.encode_chunk(chunk).len() + QUOTES <= value_bytes {
            return vec![whole];
        }
        let parts = ChunkPart::all(chunk);
        let changed = parts.filter(|part| set.is_beyond(stored, &part.words()));
        changed.collect()
    });
    parts.collect()
}

/// Around a stored text.
const QUOTES: usize = 2;

#[derive(Debug, Clone, Default)]
pub struct Results {
    /// Tasks that are stored as done for certain.
    stored: TaskSet,
    /// Revisions of the chunks' keys; none: there is no such key.
    versions: BTreeMap<ChunkPart, u64>,
    /// Chunks whose last write was not answered, or met another.
    unsure: BTreeSet<ChunkPart>,
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

    /// Chunks of which something may be stored.
    pub fn chunks(&self) -> Vec<ChunkPart> {
        let mut chunks: BTreeSet<ChunkPart> = self.versions.keys().copied().collect();
        chunks.extend(self.stored.chunks().into_iter().map(ChunkPart::whole));
        chunks.extend(&self.unsure);
        chunks.into_iter().collect()
    }

    pub fn version(&self, chunk: ChunkPart) -> u64 {
        self.versions.get(&chunk).copied().unwrap_or(0)
    }

    /// A chunk as it was read; false where it can't be understood.
    #[must_use]
    pub fn read(&mut self, chunk: ChunkPart, version: u64, text: &str) -> bool {
        let read = self.stored.decode_chunk(chunk.chunk, text);
        if read {
            self.known(chunk, version);
        }
        read
    }

    fn known(&mut self, chunk: ChunkPart, version: u64) {
        self.versions.insert(chunk, version);
        self.unsure.remove(&chunk);
    }

    /// There is no such key.
    pub fn missing(&mut self, chunk: ChunkPart) {
        self.versions.remove(&chunk);
        self.unsure.remove(&chunk);
    }

    /// These chunks of a set were stored.
    pub fn written(&mut self, set: &TaskSet, chunks: &[ChunkPart], version: u64) {
        for &chunk in chunks {
            self.stored.include(set, chunk.words());
            self.known(chunk, version);
        }
    }

    /// It is not known what became of a write.
    pub fn unclear(&mut self, chunks: &[ChunkPart]) {
        self.unsure.extend(chunks);
    }

    /// A chunk that has to be read before it can be written.
    pub fn unsure(&self) -> Option<ChunkPart> {
        self.unsure.first().copied()
    }
}
