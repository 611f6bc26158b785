//! Writes the generated code anew after a change of the schema.

#[path = "../tests/support/mod.rs"]
mod support;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    support::generate(&support::crate_dir().join("src/generated"))
}
