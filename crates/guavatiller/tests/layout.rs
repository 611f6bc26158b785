//! How the sources lie: no file imports another in a circle.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

type ImportGraph = BTreeMap<String, BTreeSet<String>>;

/// The source folders of all crates.
fn source_folders() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = std::fs::read_dir(root.join("crates")).unwrap();
    let crates = crates.map(|entry| entry.unwrap().path());
    let platform = ["platform", "platform/standins"].map(|name| root.join(name));
    crates.chain(platform).map(|folder| folder.join("src")).collect()
}

/// The sources below a folder.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let paths = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let below = paths.flat_map(|path| if path.is_dir() { rust_files(&path) } else { vec![path] });
    below.filter(|path| path.extension().is_some_and(|end| end == "rs")).collect()
}

/// Which modules each module names.
fn imports(folder: &Path) -> ImportGraph {
    let files = rust_files(folder);
    let texts: BTreeMap<String, String> = files
        .into_iter()
        .map(|path| {
            let name = path.file_stem().unwrap().to_string_lossy().into_owned();
            (name, std::fs::read_to_string(&path).unwrap())
        })
        .filter(|(name, _)| name != "lib" && name != "main")
        .collect();
    let named = |own: &String, text: &String| -> BTreeSet<String> {
        let paths = text.split("crate::").skip(1);
        // The first name of a path is a module, or the folder that it lies in.
        let modules = paths.filter_map(|path| {
            let names = path.split("::").take(2);
            let names = names.map(|name| name.split(|c: char| !is_name(c)).next().unwrap());
            names.filter(|name| texts.contains_key(*name)).last().map(str::to_owned)
        });
        modules.filter(|name| name != own).collect()
    };
    texts.iter().map(|(name, text)| (name.clone(), named(name, text))).collect()
}

fn is_name(letter: char) -> bool {
    letter.is_ascii_alphanumeric() || letter == '_'
}

/// Modules that are left when those that import nothing of the rest are taken away, again and again.
fn in_circles(mut graph: ImportGraph) -> Vec<String> {
    loop {
        let left: BTreeSet<String> = graph.keys().cloned().collect();
        let before = graph.len();
        graph.retain(|_, imports| imports.iter().any(|import| left.contains(import)));
        if graph.len() == before {
            return graph.into_keys().collect();
        }
    }
}

#[test]
fn no_module_imports_another_in_a_circle() {
    let folders = source_folders();

    let circles: Vec<(PathBuf, Vec<String>)> = folders
        .into_iter()
        .map(|folder| (folder.clone(), in_circles(imports(&folder))))
        .filter(|(_, modules)| !modules.is_empty())
        .collect();

    assert!(circles.is_empty(), "{circles:#?}");
}

#[test]
fn circle_is_found() {
    let module = |name: &str, imports: &[&str]| {
        (name.to_owned(), imports.iter().map(|import| (*import).to_owned()).collect())
    };
    let graph: ImportGraph =
        [module("a", &["b"]), module("b", &["c"]), module("c", &["b"]), module("d", &[])].into();

    assert_eq!(in_circles(graph), ["a", "b", "c"]);
}
