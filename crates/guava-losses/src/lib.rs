//! Where callers lose: requests that were late, refused, failed or sent twice, by kind, second,
//! cause and upstream, worked out from daemons' log lines.
//!
//! Lines are read one by one and forgotten; what is kept is bounded whatever is read: requests under
//! way, and counts.

mod chart;
mod log_line;
mod loss_account;
mod loss_report;

pub use chart::{ChartError, draw_chart};
pub use log_line::{LogLine, parse_line};
pub use loss_account::LossAccount;
pub use loss_report::{CauseRow, KindRow, LossReport, SecondRow, UpstreamRow};
