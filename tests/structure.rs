//! Bounds on the source's structure: the number of core modules in an import cycle, and the layers
//! that each layer may import.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Maximum number of modules in an import cycle. Lower it when a module leaves the cycle.
const MAX_CYCLE_MODULES: usize = 20;

/// Layers of the program from lowest to highest. A layer may import only lower ones.
const LAYERS: [&str; 5] = ["settings", "core", "wire", "io", "cli"];

type Imports = BTreeMap<String, BTreeSet<String>>;

fn core_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src/core")
}

/// Returns the path and text of every source file of the core.
fn core_files() -> Vec<(String, String)> {
    source_files(&core_dir())
}

/// Returns the relative path and text of every source file below a folder.
fn source_files(top: &Path) -> Vec<(String, String)> {
    let mut files = Vec::new();
    let mut dirs = vec![top.to_owned()];
    while let Some(folder) = dirs.pop() {
        for entry in fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                dirs.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let name = path.strip_prefix(top).expect("below the top");
                let text = fs::read_to_string(&path).expect("a source file");
                files.push((name.to_string_lossy().into_owned(), text));
            }
        }
    }
    files
}

/// Returns the core module that a file belongs to, by the file's name or its top folder's.
fn module_of(file: &str) -> String {
    let first = file.split('/').next().unwrap_or(file);
    first.trim_end_matches(".rs").to_owned()
}

/// Returns the module names after a prefix in an import such as `a::b` or `{a, b::{c, d}}`.
fn names_after(import: &str, prefix: &str) -> BTreeSet<String> {
    let Some(at) = import.find(prefix) else {
        return BTreeSet::new();
    };
    let rest = &import[at + prefix.len()..];
    let mut names = BTreeSet::new();
    let mut depth = 0;
    let mut name = String::new();
    for character in rest.chars() {
        let outermost = depth <= usize::from(rest.starts_with('{'));
        match character {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if outermost => names.extend([std::mem::take(&mut name)]),
            _ if outermost => name.push(character),
            _ => {}
        }
    }
    names.insert(name);
    let module = |name: &String| name.split("::").next().unwrap_or("").trim().to_owned();
    names.iter().map(module).collect()
}

/// Returns the names of the core modules that a file imports.
fn imports_of(file: &str, text: &str) -> BTreeSet<String> {
    let depth = file.matches('/').count() + usize::from(!file.ends_with("mod.rs"));
    let parent = format!("{}::", vec!["super"; depth.max(1)].join("::"));
    let mut found = BTreeSet::new();
    let uses = text.split('\n').collect::<Vec<_>>().join(" ");
    for import in uses.split("use ").skip(1) {
        let import = import.split(';').next().unwrap_or("");
        if import.starts_with("crate::core::") {
            found.extend(names_after(import, "crate::core::"));
        } else if import.starts_with(&parent) && file != "mod.rs" {
            found.extend(names_after(import, &parent));
        }
    }
    found
}

fn imports() -> Imports {
    let files = core_files();
    let modules: BTreeSet<String> = files.iter().map(|(file, _)| module_of(file)).collect();
    let mut imports = Imports::new();
    for (file, text) in &files {
        let module = module_of(file);
        let known = imports_of(file, text)
            .into_iter()
            .filter(|name| modules.contains(name) && *name != module);
        imports.entry(module.clone()).or_default().extend(known);
    }
    imports
}

fn reachable(imports: &Imports, from: &str) -> BTreeSet<String> {
    let mut reached = BTreeSet::new();
    let mut pending = vec![from.to_owned()];
    while let Some(module) = pending.pop() {
        for next in imports.get(&module).into_iter().flatten() {
            if reached.insert(next.clone()) {
                pending.push(next.clone());
            }
        }
    }
    reached
}

/// Returns the largest set of modules that all import one another, directly or indirectly.
fn largest_cycle(imports: &Imports) -> BTreeSet<String> {
    let reached: BTreeMap<&String, BTreeSet<String>> = imports
        .keys()
        .map(|module| (module, reachable(imports, module)))
        .collect();
    let cycle = |module: &String| -> BTreeSet<String> {
        let mutual = reached[module]
            .iter()
            .filter(|other| reached.get(other).is_some_and(|r| r.contains(module)));
        mutual.cloned().collect()
    };
    let cycles = imports.keys().map(cycle);
    cycles.max_by_key(BTreeSet::len).unwrap_or_default()
}

#[test]
fn import_cycle_does_not_grow() {
    let cycle = largest_cycle(&imports());
    assert!(
        cycle.len() <= MAX_CYCLE_MODULES,
        "{} modules import one another: {cycle:?}",
        cycle.len()
    );
}

#[test]
fn cycle_is_detected() {
    let set = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let cyclic = Imports::from([
        ("a".to_owned(), set(&["b"])),
        ("b".to_owned(), set(&["c"])),
        ("c".to_owned(), set(&["a", "d"])),
        ("d".to_owned(), set(&[])),
    ]);
    assert_eq!(largest_cycle(&cyclic), set(&["a", "b", "c"]));
    let import = "super::{ job::{JobId, JobSpec}, leader::Leader, }";
    assert_eq!(names_after(import, "super::"), set(&["", "job", "leader"]));
}

/// Returns the layer of a source file by its path below `src`, or `None` for other files.
fn layer_of(path: &str) -> Option<usize> {
    let first = path.split('/').next().unwrap_or(path);
    let module = first.trim_end_matches(".rs");
    LAYERS.iter().position(|layer| *layer == module)
}

/// Returns the layers that a text names by `crate::`, in imports and elsewhere.
fn layers_referenced(text: &str) -> BTreeSet<usize> {
    let line = text.split_whitespace().collect::<Vec<_>>().join(" ");
    let named = line.split("crate::").skip(1).flat_map(|rest| {
        let end = match rest.starts_with('{') {
            true => rest.find(';').unwrap_or(rest.len()),
            false => rest
                .find(|c: char| !c.is_alphanumeric() && c != '_')
                .unwrap_or(rest.len()),
        };
        names_after(&format!("crate::{}", &rest[..end]), "crate::")
    });
    named.filter_map(|name| layer_of(&name)).collect()
}

#[test]
fn layers_import_only_lower_layers() {
    let source = core_dir();
    let source = source.parent().expect("the folder of the sources");
    let mut checked_files = 0;
    for (file, text) in source_files(source) {
        let Some(layer) = layer_of(&file) else {
            continue;
        };
        checked_files += 1;
        let above = layers_referenced(&text)
            .into_iter()
            .find(|named| *named > layer);
        assert_eq!(
            above.map(|named| LAYERS[named]),
            None,
            "{file} names a higher layer"
        );
    }
    assert!(checked_files > 40, "only {checked_files} files were found");
}

#[test]
fn higher_layer_is_detected() {
    let io = layer_of("io/server.rs");
    assert_eq!(io, Some(3));
    assert_eq!(layer_of("main.rs"), None);
    let text = "use crate::{\n    core::Node,\n    io,\n};";
    assert_eq!(layers_referenced(text), BTreeSet::from([1, 3]));
    assert_eq!(
        layers_referenced("crate::wire::user::f()"),
        BTreeSet::from([2])
    );
}
