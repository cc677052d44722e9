//! Results of large arrays, stored in values that hold only a part of a chunk.

use std::collections::BTreeMap;

use kiteyard::core::{
    job::{JobId, TASKS_PER_CHUNK, TaskSet},
    results::{ChunkPart, Results, unsaved_parts},
    store::progress_key,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TASKS: u32 = 2 * TASKS_PER_CHUNK + 5_000;

/// Reads the stored keys and values like a version without support for parts.
fn read_without_parts(stored: &BTreeMap<String, String>) -> TaskSet {
    let mut set = TaskSet::default();
    for (name, text) in stored {
        let chunk: u32 = name.parse().expect("a number");
        assert!(set.decode_chunk(chunk, text), "{name}");
    }
    set
}

/// Reads the stored keys and values like a failover.
fn read(stored: &BTreeMap<String, String>) -> Results {
    let mut results = Results::default();
    for (name, text) in stored {
        let part = ChunkPart::parse(name).expect("a part");
        assert_eq!(part.name(), *name);
        assert!(results.read(part, 7, text));
    }
    results
}

/// Tasks finish in any order while the value limit is lowered and the leader changes.
#[test]
fn both_versions_read_chunks_stored_in_parts() {
    for (seed, before) in [(1, 16 * 1024), (2, 2048), (3, 1500)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut set, mut stored) = (TaskSet::default(), BTreeMap::new());
        let mut results = Results::default();
        for turn in 0..60 {
            for _ in 0..700 {
                set.insert(rng.random_range(0..TASKS));
            }
            let limit = if turn < 30 { before } else { 1500 };
            let mut parts = unsaved_parts(&set, results.stored(), limit);
            parts.truncate(5);
            for part in &parts {
                let text = part.encode(&set);
                assert!(text.len() + 2 <= limit, "{} bytes", text.len());
                stored.insert(part.name(), text);
            }
            results.mark_written(&set, &parts, 7);
            if turn % 20 == 19 {
                results = read(&stored);
            }
            let known: Vec<u32> = results.stored().iter().collect();
            let without_parts: Vec<u32> = read_without_parts(&stored).iter().collect();
            assert_eq!(known, without_parts, "turn {turn}");
        }
        while let parts @ [_, ..] = &unsaved_parts(&set, results.stored(), 1500)[..] {
            parts.iter().for_each(|part| {
                stored.insert(part.name(), part.encode(&set));
            });
            results.mark_written(&set, parts, 7);
        }
        let all: Vec<u32> = set.iter().collect();
        let without_parts: Vec<u32> = read_without_parts(&stored).iter().collect();
        assert_eq!(all, without_parts);
        let names: Vec<String> = results.chunks().iter().map(ChunkPart::name).collect();
        assert!(
            stored.keys().all(|name| names.contains(name)),
            "every stored key is listed for deletion"
        );
    }
}

#[test]
fn an_array_that_fits_keeps_its_key() {
    let mut set = TaskSet::default();
    (0..3_000).for_each(|task| set.insert(task));
    let parts = unsaved_parts(&set, &TaskSet::default(), 2048);
    assert_eq!(parts, [ChunkPart::whole(0)]);
    let id = JobId::parse("run-000001").expect("an id");
    assert_eq!(progress_key(&id, parts[0]), "progress/run-000001/0");
    assert_eq!(parts[0].encode(&set), set.encode_chunk(0));
}

#[test]
fn only_changed_parts_are_written() {
    let mut set = TaskSet::default();
    (0..TASKS_PER_CHUNK).for_each(|task| set.insert(task));
    let before = set.clone();
    set.insert(TASKS_PER_CHUNK + 4_100);
    (0..64 * 200).for_each(|word| set.insert(TASKS_PER_CHUNK + word));
    let names: Vec<String> = unsaved_parts(&set, &before, 2048)
        .iter()
        .map(ChunkPart::name)
        .collect();
    assert_eq!(names, ["01", "001", "0001", "00001"]);
    let mut more = set.clone();
    more.insert(TASKS_PER_CHUNK + TASKS_PER_CHUNK - 1);
    let names: Vec<String> = unsaved_parts(&more, &set, 2048)
        .iter()
        .map(ChunkPart::name)
        .collect();
    assert_eq!(names, ["00001"]);
}
