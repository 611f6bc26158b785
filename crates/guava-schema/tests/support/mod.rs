//! Code generation without a system `protoc`, shared by the generator and the test.

use std::path::{Path, PathBuf};

/// Schema files, relative to `proto`.
pub const SCHEMAS: [&str; 2] =
    ["guavatiller/operators/v1/operators.proto", "guavatiller/peers/v1/peers.proto"];

/// This crate's folder.
pub fn crate_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Generates the code of all schemas into a folder.
pub fn generate(folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let proto = crate_dir().join("proto");
    let descriptors = protox::compile(SCHEMAS, [&proto])?;
    tonic_prost_build::configure().out_dir(folder).compile_fds(descriptors)?;
    Ok(())
}
