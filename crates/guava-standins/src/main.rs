//! The stand-ins' binary: one mode for each outside system.

use argh::FromArgs;
use guava_standins::compare::{markdown, picture};
use guava_standins::demo::run_demo;
use guava_standins::deployment::ProgramPaths;
use guava_standins::engine_server::EngineOptions;
use guava_standins::measure::{POLICIES, run_workload};
use guava_standins::overhead::measure_overhead;
use guava_standins::serve::{AnyError, serve};
use guava_standins::slopes::{
    CONTROL_HEADING, INDEX_HEADING, ROUTE_HEADING, STATE_HEADING, control_row, index_row,
    route_row, state_row,
};
use guava_standins::workload::{WORKLOADS, plan_workload};
use guava_standins::{
    engine_server, list_server, log_server, service_server, store_server, weight_server,
};
use std::net::SocketAddr;
use std::path::PathBuf;

/// stand-ins for the systems outside guavatiller
#[derive(FromArgs)]
struct StandinArgs {
    #[argh(subcommand)]
    mode: StandinMode,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinMode {
    Log(LogArgs),
    List(ListArgs),
    Weights(WeightArgs),
    Store(StoreArgs),
    Service(ServiceArgs),
    Engine(EngineArgs),
    Compare(CompareArgs),
    Demo(DemoArgs),
    Overhead(OverheadArgs),
    Slopes(SlopeArgs),
}

/// run a small local deployment once and tell what happened
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {}

/// measure the daemon's own part of the time to first token
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
struct OverheadArgs {
    /// tokens of each answer through the daemon
    #[argh(option, default = "1")]
    tokens: u32,
}

/// measure the slopes for the capacity page
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopeArgs {
    /// numbers of daemons, as in 4,8,16
    #[argh(option, default = "String::from(\"4,8,16,32\")")]
    daemons: String,
    /// numbers of engines, for four daemons
    #[argh(option, default = "String::from(\"4,12,24\")")]
    engines: String,
}

/// run workloads by our policy and the baselines, and print a table
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareArgs {
    /// workload; may be given several times; all without
    #[argh(option)]
    workload: Vec<String>,
    /// policy; may be given several times; all without
    #[argh(option)]
    policy: Vec<String>,
    /// seed of arrivals and prompts
    #[argh(option, default = "1")]
    seed: u64,
    /// length of the measured phase in seconds
    #[argh(option, default = "20.0")]
    seconds: f64,
    /// file for a picture of the table
    #[argh(option)]
    picture: Option<PathBuf>,
}

/// the platform's append-only log
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// the platform's list of VMs
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// the weight store
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
struct WeightArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// time of a load in milliseconds
    #[argh(option, default = "1000")]
    load_ms: u64,
}

/// a store VM
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// rate of the link in bytes a second
    #[argh(option, default = "5000000")]
    rate: u64,
    /// capacity in bytes
    #[argh(option, default = "200000000")]
    capacity: u64,
}

/// an instance of a plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// a model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// model
    #[argh(option, default = "String::from(\"hints\")")]
    model: String,
    /// version loaded at the start
    #[argh(option, default = "String::from(\"v1\")")]
    version: String,
    /// prefill in tokens a second
    #[argh(option, default = "20000")]
    prefill: u64,
    /// milliseconds for a generated token
    #[argh(option, default = "5")]
    decode_ms: u64,
    /// requests at one time
    #[argh(option, default = "8")]
    slots: usize,
    /// cache capacity in tokens
    #[argh(option, default = "20000")]
    cache_tokens: u64,
    /// bytes of KV cache for each token
    #[argh(option, default = "64")]
    kv_bytes: u64,
    /// age of reported figures in milliseconds
    #[argh(option, default = "200")]
    report_lag_ms: u64,
    /// age of cache events in milliseconds
    #[argh(option, default = "300")]
    event_lag_ms: u64,
    /// refuse old fencing numbers
    #[argh(switch)]
    checks_fencing: bool,
    /// address of the weight store
    #[argh(option)]
    weights: Option<SocketAddr>,
}

fn engine_options(args: EngineArgs) -> EngineOptions {
    EngineOptions {
        model: args.model.into(),
        version: args.version.into(),
        prefill_per_second: args.prefill,
        decode_ms: args.decode_ms,
        slots: args.slots,
        cache_tokens: args.cache_tokens,
        kv_bytes: args.kv_bytes,
        report_lag_ms: args.report_lag_ms,
        event_lag_ms: args.event_lag_ms,
        checks_fencing: args.checks_fencing,
        weights: args.weights,
    }
}

async fn run(mode: StandinMode) -> Result<(), AnyError> {
    match mode {
        StandinMode::Log(args) => serve(args.listen, log_server::router()).await,
        StandinMode::List(args) => serve(args.listen, list_server::router()).await,
        StandinMode::Weights(args) => serve(args.listen, weight_server::router(args.load_ms)).await,
        StandinMode::Store(args) => {
            serve(args.listen, store_server::router(args.rate, args.capacity)).await
        }
        StandinMode::Service(args) => serve(args.listen, service_server::router()).await,
        StandinMode::Compare(_)
        | StandinMode::Demo(_)
        | StandinMode::Overhead(_)
        | StandinMode::Slopes(_) => Ok(()),
        StandinMode::Engine(args) => {
            let listen = args.listen;
            serve(listen, engine_server::router(engine_options(args))).await
        }
    }
}

fn numbers(text: &str) -> Result<Vec<usize>, AnyError> {
    Ok(text.split(',').map(str::parse).collect::<Result<_, _>>()?)
}

fn slopes(args: &SlopeArgs) -> Result<(), AnyError> {
    let paths = ProgramPaths::in_folder_of(&std::env::current_exe()?);
    println!("{CONTROL_HEADING}");
    for daemons in numbers(&args.daemons)? {
        println!("{}", control_row(&paths, daemons, 2)?);
    }
    for engines in numbers(&args.engines)? {
        println!("{}", control_row(&paths, 4, engines)?);
    }
    println!("\n{STATE_HEADING}");
    for (customers, keys) in [(10, 1_000), (280, 1_000), (280, 10_000), (280, 100_000)] {
        println!("{}", state_row(customers, keys)?);
    }
    println!("\n{INDEX_HEADING}");
    for prompts in [500, 2_000, 8_000] {
        println!("{}", index_row(prompts)?);
    }
    println!("\n{ROUTE_HEADING}");
    for candidates in [6, 48, 200] {
        println!("{}", route_row(candidates)?);
    }
    Ok(())
}

fn overhead(args: &OverheadArgs) -> Result<(), AnyError> {
    let figures =
        measure_overhead(ProgramPaths::in_folder_of(&std::env::current_exe()?), args.tokens)?;
    println!("| way | first token p50 ms | p99 ms |\n| --- | --- | --- |");
    println!(
        "| straight to the engine | {:.2} | {:.2} |",
        figures.direct_ms.0, figures.direct_ms.1
    );
    println!("| through a daemon | {:.2} | {:.2} |", figures.daemon_ms.0, figures.daemon_ms.1);
    println!("\nprocessor time of the daemon for a request: {:.2} ms", figures.cpu_ms);
    Ok(())
}

fn compare(args: &CompareArgs) -> Result<(), AnyError> {
    let paths = ProgramPaths::in_folder_of(&std::env::current_exe()?);
    let is_wanted = |list: &[String], name: &str| list.is_empty() || list.iter().any(|n| n == name);
    let mut runs = Vec::new();
    for name in WORKLOADS.into_iter().filter(|name| is_wanted(&args.workload, name)) {
        let plan = plan_workload(name, args.seed, args.seconds).ok_or("no such workload")?;
        for policy in POLICIES.into_iter().filter(|policy| is_wanted(&args.policy, policy.0)) {
            let run = run_workload(&paths, &plan, policy, args.seed)?;
            eprintln!("{name} {}: p95 {:.0} ms", policy.0, run.p95_ms);
            runs.push(run);
        }
    }
    print!("{}", markdown(&runs));
    if let Some(path) = &args.picture {
        std::fs::write(path, picture(&runs))?;
    }
    Ok(())
}

fn main() -> Result<(), AnyError> {
    let args: StandinArgs = argh::from_env();
    match &args.mode {
        StandinMode::Compare(args) => return compare(args),
        StandinMode::Demo(_) => {
            return run_demo(ProgramPaths::in_folder_of(&std::env::current_exe()?));
        }
        StandinMode::Overhead(args) => return overhead(args),
        StandinMode::Slopes(args) => return slopes(args),
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(args.mode))
}
