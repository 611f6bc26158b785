//! Remote procedure calls: the operators' published schema and the daemons' own.
//!
//! The code under `generated` is committed, so that a build needs no generator; after a change of
//! a schema run `cargo run -p guava-schema --example generate`.

/// The operators' calls, version 1; the schema file holds the description of each field.
#[allow(missing_docs, clippy::all, clippy::panic, clippy::unwrap_used, clippy::expect_used)]
#[rustfmt::skip]
pub mod operators {
    include!("generated/guavatiller.operators.v1.rs");
}

/// The daemons' calls among each other.
#[allow(missing_docs, clippy::all, clippy::panic, clippy::unwrap_used, clippy::expect_used)]
#[rustfmt::skip]
pub mod peers {
    include!("generated/guavatiller.peers.v1.rs");
}
