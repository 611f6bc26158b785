//! The command line.

use argh::FromArgs;
use guava_losses::{LateFraction, RouteWorth};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Serving system for language-model prompts that return after long gaps.
#[derive(FromArgs)]
pub struct TopArgs {
    /// a daemon's address for operators; may be given several times
    #[argh(option)]
    pub at: Vec<SocketAddr>,
    /// file with the operators' token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// your name, for the history
    #[argh(option, default = "String::from(\"operator\")")]
    pub operator: String,
    /// output: table or json
    #[argh(option, default = "OutputForm::Table")]
    pub output: OutputForm,
    /// authorities that daemons' certificates are signed by; plain TCP without
    #[argh(option)]
    pub authorities: Option<PathBuf>,
    /// name in the daemons' certificates
    #[argh(option, default = "String::from(\"operators.guavatiller\")")]
    pub server_name: String,
    /// revision that a change is made against; by default the one in force now
    #[argh(option)]
    pub against: Option<u64>,
    /// identity of a change, to repeat one whose outcome is unknown
    #[argh(option)]
    pub change_id: Option<String>,
    /// how long to wait until a change is in force everywhere, in milliseconds
    #[argh(option, default = "17000")]
    pub wait_ms: u32,
    #[argh(subcommand)]
    pub command: CommandArgs,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputForm {
    /// For people.
    Table,
    /// For programs.
    Json,
}

impl std::str::FromStr for OutputForm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!("output: found {text:?}, allowed: table, json")),
        }
    }
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum CommandArgs {
    Daemon(DaemonArgs),
    Platform(PlatformArgs),
    CheckSettings(CheckArgs),
    Losses(LossesArgs),
    Customer(CustomerArgs),
    Service(ServiceArgs),
    Model(ModelArgs),
    Upstream(UpstreamArgs),
    DataCentre(DataCentreArgs),
    Weights(WeightsArgs),
    Delete(DeleteArgs),
    Get(GetArgs),
    List(ListArgs),
    Status(StatusArgs),
    History(HistoryArgs),
    Explain(ExplainArgs),
}

/// run a daemon until SIGTERM
#[derive(FromArgs)]
#[argh(subcommand, name = "daemon")]
pub struct DaemonArgs {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// run a daemon on the users' platform until SIGTERM
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// settings file; by default the one that GUAVATILLER_CONFIG names
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// only check the settings
    #[argh(switch)]
    pub check: bool,
}

/// check a settings file and report all errors
#[derive(FromArgs)]
#[argh(subcommand, name = "check-settings")]
pub struct CheckArgs {
    /// settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// tell from daemons' logs which requests were late, refused or lost, and why;
/// as in: guavatiller losses --chart losses.svg edge-*.log
#[derive(FromArgs)]
#[argh(subcommand, name = "losses")]
pub struct LossesArgs {
    /// log files, one JSON object a line; - for standard input
    #[argh(positional)]
    pub logs: Vec<String>,
    /// causes, customers and upstreams to list at most
    #[argh(option, default = "20")]
    pub top: usize,
    /// file for a chart of losses by second, as SVG
    #[argh(option)]
    pub chart: Option<PathBuf>,
    /// what a request of a route is worth, as ROUTE=NUMBER; 1 if not given; may be given several times
    #[argh(option)]
    pub worth: Vec<RouteWorth>,
    /// part of its worth that a late answer loses, from 0 to 1; by default 0.5
    #[argh(option, default = "LateFraction::default()")]
    pub late: LateFraction,
}

/// create or change a customer
#[derive(FromArgs)]
#[argh(subcommand, name = "customer")]
pub struct CustomerArgs {
    /// name
    #[argh(positional)]
    pub name: String,
    /// accepted requests a second over all daemons
    #[argh(option)]
    pub rate: Option<u64>,
    /// requests running at one time over all daemons
    #[argh(option)]
    pub concurrency: Option<u32>,
    /// file with a key to accept; only its hash leaves this machine
    #[argh(option)]
    pub add_key_file: Vec<PathBuf>,
    /// beginning of the hash of a key to accept no longer
    #[argh(option)]
    pub remove_key: Vec<String>,
}

/// create or change a plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    /// name
    #[argh(positional)]
    pub name: String,
    /// calls that may be repeated, as "METHOD /path"; all others are non-idempotent
    #[argh(option)]
    pub idempotent: Vec<String>,
    /// calls that may not be repeated though a later rule matches, as "METHOD /path"
    #[argh(option)]
    pub non_idempotent: Vec<String>,
}

/// publish a model version, roll it out, or roll it back
#[derive(FromArgs)]
#[argh(subcommand, name = "model")]
pub struct ModelArgs {
    /// publish, roll-out or roll-back
    #[argh(positional)]
    pub action: ModelAction,
    /// model
    #[argh(positional)]
    pub name: String,
    /// version, for publish and roll-out
    #[argh(positional)]
    pub version: Option<String>,
}

/// What to do with a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelAction {
    /// Makes a version known; the first becomes current.
    Publish,
    /// Makes a published version current.
    RollOut,
    /// Makes the previous version current again.
    RollBack,
}

impl std::str::FromStr for ModelAction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "publish" => Ok(Self::Publish),
            "roll-out" => Ok(Self::RollOut),
            "roll-back" => Ok(Self::RollBack),
            _ => Err(format!("found {text:?}, allowed: publish, roll-out, roll-back")),
        }
    }
}

/// register or change an upstream
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
pub struct UpstreamArgs {
    /// name
    #[argh(positional)]
    pub name: String,
    /// engine, service or store
    #[argh(option)]
    pub kind: Option<String>,
    /// IP address and port
    #[argh(option)]
    pub address: Option<SocketAddr>,
    /// data centre
    #[argh(option)]
    pub data_centre: Option<String>,
    /// whether it refuses orders with an old fencing number: true or false
    #[argh(option)]
    pub checks_fencing: Option<bool>,
    /// whether it gets no new work: true or false
    #[argh(option)]
    pub drain: Option<bool>,
    /// service of a service instance
    #[argh(option)]
    pub service: Option<String>,
    /// model of an engine
    #[argh(option)]
    pub model: Option<String>,
    /// prefill of an engine in tokens a second
    #[argh(option)]
    pub prefill: Option<u64>,
    /// link of a store in bytes a second
    #[argh(option)]
    pub link: Option<u64>,
    /// requests that an engine runs at one time
    #[argh(option)]
    pub slots: Option<u32>,
}

/// drain a data centre, so that its upstreams get no new work, or take it back;
/// as in: guavatiller data-centre east --drain true
#[derive(FromArgs)]
#[argh(subcommand, name = "data-centre")]
pub struct DataCentreArgs {
    /// name
    #[argh(positional)]
    pub name: String,
    /// whether its upstreams get no new work: true or false
    #[argh(option)]
    pub drain: bool,
}

/// set the weights of the three measures
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
pub struct WeightsArgs {
    /// weight of a millisecond of time to first token
    #[argh(option)]
    pub first_token: u32,
    /// weight of a recomputed token
    #[argh(option)]
    pub recompute: u32,
    /// weight of a kilobyte over a link
    #[argh(option)]
    pub link: u32,
}

/// delete an object
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct DeleteArgs {
    /// kind/name
    #[argh(positional)]
    pub object: String,
}

/// show an object and its revision
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// kind/name
    #[argh(positional)]
    pub object: String,
}

/// list objects
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {
    /// kind; all without
    #[argh(positional, default = "String::new()")]
    pub kind: String,
}

/// show daemons, leases and upstreams
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// show the latest changes
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// at most so many
    #[argh(option, default = "20")]
    pub limit: u32,
}

/// show why a request was routed as it was
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id, from the header guavatiller-request
    #[argh(positional)]
    pub request: String,
}
