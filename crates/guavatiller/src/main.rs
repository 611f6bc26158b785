//! The guavatiller binary: the daemon, the settings check and the operators' client.

mod args;
mod changes;
mod client;
mod losses;
mod output;
mod reports;

use args::{CommandArgs, TopArgs};
use guava_daemon::{DaemonSettings, run_daemon};
use guava_platform::run_platform;
use std::path::Path;
use std::process::ExitCode;

/// Settings or arguments are wrong, or the daemon did not start.
const EXIT_FAILED: u8 = 1;

fn read_settings(path: &Path) -> Result<DaemonSettings, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    DaemonSettings::parse(&text).map_err(|errors| errors.to_string())
}

fn fail(message: &str) -> ExitCode {
    output::complain(message);
    ExitCode::from(EXIT_FAILED)
}

fn finish<E: std::fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

fn main() -> ExitCode {
    let top: TopArgs = argh::from_env();
    match &top.command {
        CommandArgs::Daemon(args) => match read_settings(&args.settings) {
            Ok(settings) => finish(run_daemon(settings)),
            Err(errors) => fail(&errors),
        },
        CommandArgs::Platform(args) => finish(run_platform(args.settings.clone(), args.check)),
        CommandArgs::CheckSettings(args) => match read_settings(&args.file) {
            Ok(_) => output::say(&format!("{}: settings are valid", args.file.display())),
            Err(errors) => fail(&errors),
        },
        CommandArgs::Losses(args) => losses::run(args, top.output),
        _ => client::run(&top),
    }
}
