//! The stand-ins' binary is built for the tests with real processes, and checks its arguments.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::process::Command;

#[test]
fn unknown_mode_is_refused() {
    let program = env!("CARGO_BIN_EXE_standins");

    let output = Command::new(program).arg("nothing").output().unwrap();

    assert!(!output.status.success());
}
