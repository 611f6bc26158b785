//! The committed code is what the schema generates.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use std::fs;

#[test]
fn generated_code_matches_schema() {
    // Symptom: a client built from the published schema can't talk to a daemon.
    // Sequence: the schema is edited, the generated code is not written anew.
    // Cause: the build uses the committed code and never looks at the schema.
    let folder = std::env::temp_dir().join(format!("guava-schema-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();

    support::generate(&folder).unwrap();

    for entry in fs::read_dir(&folder).unwrap() {
        let path = entry.unwrap().path();
        let committed = support::crate_dir().join("src/generated").join(path.file_name().unwrap());
        assert_eq!(fs::read_to_string(&path).unwrap(), fs::read_to_string(&committed).unwrap());
    }
    fs::remove_dir_all(&folder).unwrap();
}
