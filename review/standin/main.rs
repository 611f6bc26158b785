//! Stand-ins for the platform around the project's daemons, and the scenarios of the review's
//! scripts. Uses the standard library only.
//!
//! `standin SCENARIO PROGRAM RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! scenario could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod callers;
mod daemons;
mod http;
mod kv_store;
mod record;
mod scenarios;
mod servers;
mod store;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, program, record] = &arguments[..] else {
        eprintln!("usage: standin SCENARIO PROGRAM RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = scenarios::Run {
        program: PathBuf::from(program),
        record_path: PathBuf::from(record),
        trouble,
    };
    let outcome = match scenario.as_str() {
        "extra" => scenarios::extra_answers(&run),
        other => Err(format!("no scenario {other}")),
    };
    match outcome {
        Ok(is_broken) => exit(i32::from(is_broken)),
        Err(reason) => {
            eprintln!("could not run: {reason}");
            exit(2);
        }
    }
}
