//! Plays one case of the review: `world CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod config;
mod fast_restart;
mod lost_event;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc;
use std::time::Duration;
use world::Record;

/// After this time a case has not run; its processes are ended.
const LONGEST_PLAY: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Outcome {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("world CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::new();
    record.note(format!("case {case}, with the disruption: {has_trouble}"));
    let (sender, receiver) = mpsc::channel();
    let own = record.clone();
    std::thread::spawn(move || {
        let outcome = match &*case {
            "fast-restart" => fast_restart::play(&own, has_trouble),
            "lost-event" => lost_event::play(&own, has_trouble),
            _ => Outcome::NotRun("no such case".to_owned()),
        };
        drop(sender.send(outcome));
    });
    let outcome = receiver.recv_timeout(LONGEST_PLAY).unwrap_or_else(|error| {
        Outcome::NotRun(match error {
            mpsc::RecvTimeoutError::Timeout => "it took too long".to_owned(),
            mpsc::RecvTimeoutError::Disconnected => "the script failed".to_owned(),
        })
    });
    world::end_all();
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken(text) => (1, format!("the rule was broken: {text}")),
        Outcome::NotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.note(&text);
    record.write(&PathBuf::from(folder).join("record.txt"));
    println!("{text}");
    ExitCode::from(code)
}
