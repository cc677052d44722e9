//! What is stored of a job's results, chunk by chunk, and under which revisions.
//!
//! A write that got no answer may still be applied, after newer ones. Were it conditional on
//! the job alone, an older set would take the place of one whose results workers have been
//! told to forget. So each chunk is written on condition of its own revision, and after an
//! unclear answer it is read before it is written again.

use std::collections::{BTreeMap, BTreeSet};

use super::job::TaskSet;

#[derive(Debug, Clone, Default)]
pub struct Results {
    /// Tasks that are stored as done for certain.
    stored: TaskSet,
    /// Revisions of the chunks' keys; none: there is no such key.
    versions: BTreeMap<u32, u64>,
    /// Chunks whose last write was not answered, or met another.
    unsure: BTreeSet<u32>,
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
    pub fn chunks(&self) -> Vec<u32> {
        let mut chunks: BTreeSet<u32> = self.versions.keys().copied().collect();
        chunks.extend(self.stored.chunks());
        chunks.extend(&self.unsure);
        chunks.into_iter().collect()
    }

    pub fn version(&self, chunk: u32) -> u64 {
        self.versions.get(&chunk).copied().unwrap_or(0)
    }

    /// A chunk as it was read; false where it can't be understood.
    #[must_use]
    pub fn read(&mut self, chunk: u32, version: u64, text: &str) -> bool {
        let read = self.stored.decode_chunk(chunk, text);
        if read {
            self.known(chunk, version);
        }
        read
    }

    fn known(&mut self, chunk: u32, version: u64) {
        self.versions.insert(chunk, version);
        self.unsure.remove(&chunk);
    }

    /// There is no such key.
    pub fn missing(&mut self, chunk: u32) {
        self.versions.remove(&chunk);
        self.unsure.remove(&chunk);
    }

    /// These chunks of a set were stored.
    pub fn written(&mut self, set: &TaskSet, chunks: &[u32], version: u64) {
        for &chunk in chunks {
            self.stored.include(set, chunk);
            self.known(chunk, version);
        }
    }

    /// It is not known what became of a write.
    pub fn unclear(&mut self, chunks: &[u32]) {
        self.unsure.extend(chunks);
    }

    /// A chunk that has to be read before it can be written.
    pub fn unsure(&self) -> Option<u32> {
        self.unsure.first().copied()
    }
}
