//! Where callers lose, by daemons' log lines.

use crate::args::{LossesArgs, OutputForm};
use crate::output::{ReportTable, complain, print, row};
use guava_losses::{LossAccount, LossReport, WorthTable, draw_chart};
use serde::Serialize;
use std::fs::File;
use std::io::{BufReader, stdin};
use std::path::Path;
use std::process::ExitCode;

/// Stands for standard input among the files.
const STANDARD_INPUT: &str = "-";

fn read(account: &mut LossAccount, log: &str) -> Result<(), String> {
    let failed = |error: std::io::Error| format!("{log}: {error}");
    if log == STANDARD_INPUT {
        return account.read(stdin().lock()).map_err(failed);
    }
    let file = File::open(log).map_err(failed)?;
    account.read(BufReader::new(file)).map_err(failed)
}

fn rows<T: Serialize>(
    name: &'static str,
    from: &[T],
    most: usize,
) -> Result<ReportTable, serde_json::Error> {
    let values = from.iter().take(most).map(serde_json::to_value);
    Ok(ReportTable { name, rows: values.map(|value| value.map(row)).collect::<Result<_, _>>()? })
}

fn tables(losses: &LossReport, top: usize) -> Result<Vec<ReportTable>, serde_json::Error> {
    let lines = serde_json::json!({
        "lines": losses.lines, "bad_lines": losses.bad_lines, "untold": losses.untold,
    });
    Ok(vec![
        ReportTable { name: "log", rows: vec![row(lines)] },
        rows("kinds", &losses.kinds, usize::MAX)?,
        rows("causes", &losses.causes, top)?,
        rows("customers", &losses.customers, top)?,
        rows("customer_causes", &losses.customer_causes, top)?,
        rows("upstreams", &losses.upstreams, top)?,
        rows("seconds", &losses.seconds, usize::MAX)?,
    ])
}

fn write_chart(losses: &LossReport, path: &Path) -> Result<(), String> {
    let chart = draw_chart(losses).map_err(|error| error.to_string())?;
    std::fs::write(path, chart).map_err(|error| format!("{}: {error}", path.display()))
}

/// Reads logs and writes the account.
pub fn run(args: &LossesArgs, form: OutputForm) -> ExitCode {
    let worth = WorthTable::new(args.worth.iter().cloned(), args.late);
    let mut account = LossAccount::new(worth);
    let mut is_whole = true;
    for log in &args.logs {
        // What other logs tell still counts; the exit code says that one is missing.
        if let Err(error) = read(&mut account, log) {
            complain(&error);
            is_whole = false;
        }
    }
    let losses = account.report();
    if let Some(path) = &args.chart
        && let Err(error) = write_chart(&losses, path)
    {
        complain(&error);
        is_whole = false;
    }
    match tables(&losses, args.top) {
        Ok(tables) => {
            let written = print(form, &tables);
            if is_whole { written } else { ExitCode::FAILURE }
        }
        Err(error) => {
            complain(&error.to_string());
            ExitCode::FAILURE
        }
    }
}
