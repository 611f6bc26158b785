//! Where callers lose: requests that were late, refused, failed or sent twice, by kind, second,
//! cause, customer and upstream, worked out from daemons' log lines, and what that costs.
//!
//! Lines are read one by one and forgotten; what is kept is bounded whatever is read: requests under
//! way, and counts.

mod chart;
mod log_line;
mod loss_account;
mod loss_counts;
mod loss_report;
mod loss_worth;
mod report_rows;

pub use chart::{ChartError, draw_chart};
pub use log_line::{LogLine, parse_line};
pub use loss_account::LossAccount;
pub use loss_report::{
    CauseRow, CustomerCauseRow, CustomerRow, KindRow, LossReport, SecondRow, UpstreamRow,
};
pub use loss_worth::{LateFraction, RouteWorth, WorthError, WorthTable};
