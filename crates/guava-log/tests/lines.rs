//! Log lines: bounded in number, whole, and never held up by their reader.

#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use guava_log::{LineBudget, LineBuffer, events, log_event};
use spdlog::Logger;
use std::io::Write;
use std::sync::Arc;

events! {
    TRIED "T0001" "something was tried";
}

#[test]
fn budget_allows_a_burst_and_then_its_rate() {
    let mut budget = LineBudget::new(10, 0);

    let burst = (0..100).filter(|_| budget.take(0)).count();
    let later = (0..100).filter(|_| budget.take(1_000)).count();

    assert_eq!((burst, later), (20, 10));
}

fn logger_on(buffer: &Arc<LineBuffer>) -> Logger {
    let sink: Arc<dyn spdlog::sink::Sink> = buffer.clone();
    Logger::builder().sink(sink).build().unwrap()
}

fn written(buffer: &LineBuffer) -> Vec<serde_json::Value> {
    let mut bytes = Vec::new();
    buffer.write_out(&mut bytes).unwrap();
    let text = String::from_utf8(bytes).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

#[test]
fn lines_beyond_the_budget_are_counted_in_a_line_and_warnings_are_kept() {
    // Symptom: in an overload refusals come late.
    // Sequence: each refusal writes a line, and writing them takes the processor time that is
    // missing already.
    // Cause: the number of lines grew with the load.
    let buffer = Arc::new(LineBuffer::new(5));
    let logger = logger_on(&buffer);

    for number in 0..50 {
        spdlog::info!(logger: logger, "decided", kv: { number = number });
    }
    spdlog::warn!(logger: logger, "lost");
    let lines = written(&buffer);

    assert_eq!(buffer.counts().taken, 11);
    let last = &lines.last().unwrap()["kv"];
    assert_eq!((last["event"].as_str(), last["count"].as_u64()), (Some("G1007"), Some(40)));
    assert!(lines.iter().any(|line| line["level"] == "warn" && line["payload"] == "lost"));
}

#[test]
fn events_are_written_with_number_and_fields() {
    let buffer = Arc::new(LineBuffer::new(5));
    spdlog::set_default_logger(Arc::new(logger_on(&buffer)));

    log_event!(info, TRIED, request = "r1", left_ms = 20);

    let lines = written(&buffer);
    assert_eq!(lines[0]["payload"], "something was tried");
    assert_eq!(lines[0]["kv"]["event"], "T0001");
    assert_eq!(lines[0]["kv"]["request"], "r1");
}

struct ClosedReader;

impl Write for ClosedReader {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn reader_that_is_gone_is_an_error_of_the_writer_alone() {
    let buffer = Arc::new(LineBuffer::new(5));
    let logger = logger_on(&buffer);
    spdlog::info!(logger: logger, "first");

    let failed = buffer.write_out(&mut ClosedReader).is_err();
    spdlog::info!(logger: logger, "second");

    assert!(failed);
    assert_eq!(written(&buffer).len(), 1);
}

#[test]
fn line_with_a_long_text_is_clipped_and_stays_json() {
    // Guards against ids as long as a request's head in several lines of each request.
    let buffer = Arc::new(LineBuffer::new(100));
    let logger = logger_on(&buffer);
    let id = "i".repeat(12 << 10);

    spdlog::info!(logger: logger, "{}", TRIED.text, kv: { event = TRIED.code, request: = id, at: = 7 });

    let lines = written(&buffer);
    assert_eq!(lines[0]["kv"]["event"], "T0001");
    assert_eq!(lines[0]["kv"]["at"].to_string().trim_matches('"'), "7");
    assert!(lines[0]["kv"]["request"].as_str().unwrap().starts_with("iii"));
    assert!(lines[0].to_string().len() < 2_048, "{}", lines[0]);
}

#[test]
fn line_with_many_texts_keeps_its_event() {
    let buffer = Arc::new(LineBuffer::new(100));
    let logger = logger_on(&buffer);
    let texts: Vec<String> = (0..200).map(|number| format!("text-{number:0100}")).collect();

    spdlog::info!(
        logger: logger, "{}", TRIED.text,
        kv: { event = TRIED.code, all: = serde_json::to_string(&texts).unwrap(), many = "x".repeat(3_000).as_str() }
    );

    let lines = written(&buffer);
    assert_eq!(lines[0]["kv"]["event"], "T0001");
    assert!(lines[0].to_string().len() < 2_048);
}
