//! A small deployment of real processes on this machine, for tests, the demonstration and
//! measurements: stand-ins, daemons, and a fault proxy before each server.

pub use crate::deployment_plan::{DeploymentPlan, EnginePlan, ProgramPaths};
use crate::fault_proxy::FaultProxy;
pub use crate::harness::{ask, block_on, free_address, post_value, run, start, wait_until};
use crate::serve::AnyError;
use guava_types::FastMap;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

/// The operators' token of every deployment.
pub const OPERATOR_TOKEN: &str = "operators-token-for-tests";
static NEXT_FOLDER: AtomicU16 = AtomicU16::new(0);

/// Addresses of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonPlace {
    /// Its name.
    pub name: String,
    /// The address that it connects from.
    pub source: IpAddr,
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers, as advertised.
    pub peers: SocketAddr,
    settings: PathBuf,
}

/// A running deployment; everything ends when it is dropped.
pub struct Deployment {
    paths: ProgramPaths,
    folder: PathBuf,
    children: FastMap<String, Child>,
    commands: FastMap<String, Vec<String>>,
    /// Real addresses of the stand-ins, by name.
    pub servers: FastMap<String, SocketAddr>,
    /// Proxies, by the name of what stands behind.
    pub proxies: FastMap<String, FaultProxy>,
    /// The daemons, in order.
    pub daemons: Vec<DaemonPlace>,
    plan: DeploymentPlan,
    starts: u32,
}

impl Deployment {
    /// Starts everything and configures it; returns when all daemons are ready.
    pub fn start(paths: ProgramPaths, plan: DeploymentPlan) -> Result<Self, AnyError> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("guavatiller-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("secret"), "a secret shared by all daemons")?;
        fs::write(folder.join("token"), OPERATOR_TOKEN)?;
        let mut deployment = Self {
            paths,
            folder,
            children: FastMap::default(),
            commands: FastMap::default(),
            servers: FastMap::default(),
            proxies: FastMap::default(),
            daemons: Vec::new(),
            plan,
            starts: 0,
        };
        deployment.start_standins()?;
        deployment.start_daemons()?;
        deployment.configure()?;
        Ok(deployment)
    }

    /// The folder with settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn spawn(&mut self, name: &str, program: &Path, arguments: &[String]) -> Result<(), AnyError> {
        self.starts += 1;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = start(&mut command)?;
        self.children.insert(name.into(), child);
        Ok(())
    }

    fn start_standin(&mut self, name: &str, arguments: &[String]) -> Result<(), AnyError> {
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let address = free_address(local);
        let mut full = vec![arguments.first().cloned().unwrap_or_default()];
        full.extend(["--listen".into(), address.to_string()]);
        full.extend(arguments.iter().skip(1).cloned());
        let program = self.paths.standins.clone();
        self.spawn(name, &program, &full)?;
        self.commands.insert(name.into(), full);
        self.servers.insert(name.into(), address);
        if self.plan.proxies {
            let proxy = FaultProxy::start(SocketAddr::new(local, 0), address)?;
            self.proxies.insert(name.into(), proxy);
        }
        Ok(())
    }

    /// Where daemons reach a stand-in: its proxy, if there is one.
    pub fn reached_at(&self, name: &str) -> Option<SocketAddr> {
        let proxy = self.proxies.get(name).map(|proxy| proxy.address);
        proxy.or_else(|| self.servers.get(name).copied())
    }

    fn start_standins(&mut self) -> Result<(), AnyError> {
        let plan = self.plan.clone();
        self.start_standin("log", &["log".into()])?;
        self.start_standin("list", &["list".into()])?;
        let load_ms = plan.load_ms.to_string();
        self.start_standin("weights", &["weights".into(), "--load-ms".into(), load_ms])?;
        for index in 0..plan.stores {
            let arguments = [
                "store".into(),
                "--rate".into(),
                plan.link.to_string(),
                "--capacity".into(),
                plan.store_capacity.to_string(),
            ];
            self.start_standin(&format!("store-{index}"), &arguments)?;
        }
        for index in 0..plan.services {
            self.start_standin(&format!("board-{index}"), &["service".into()])?;
        }
        let weights = self.servers.get("weights").map(ToString::to_string).unwrap_or_default();
        for (index, engine) in plan.engines.iter().enumerate() {
            let mut arguments = vec![
                "engine".into(),
                "--prefill".into(),
                engine.prefill.to_string(),
                "--decode-ms".into(),
                engine.decode_ms.to_string(),
                "--slots".into(),
                engine.slots.to_string(),
                "--cache-tokens".into(),
                engine.cache_tokens.to_string(),
                "--weights".into(),
                weights.clone(),
            ];
            if engine.checks_fencing {
                arguments.push("--checks-fencing".into());
            }
            self.start_standin(&format!("engine-{index}"), &arguments)?;
        }
        let names: Vec<String> = self.servers.keys().cloned().collect();
        for name in names {
            let address = self.servers[&name];
            wait_until("a stand-in listens", || std::net::TcpStream::connect(address).is_ok());
        }
        Ok(())
    }

    fn write_settings(
        &self,
        place: &DaemonPlace,
        index: usize,
        listen: SocketAddr,
    ) -> std::io::Result<()> {
        const CENTRES: [&str; 3] = ["holesovice", "karlin", "smichov"];
        let centre = CENTRES[index % CENTRES.len()];
        let at = |name: &str| self.reached_at(name).map(|a| a.to_string()).unwrap_or_default();
        let seeds: Vec<String> =
            self.daemons.iter().map(|daemon| format!("\"{}\"", daemon.peers)).collect();
        let mut lines = vec![
            format!("\"name\": \"{}\"", place.name),
            format!("\"data_centre\": \"{centre}\""),
            format!("\"source_ip\": \"{}\"", place.source),
            format!("\"callers\": {{ \"listen\": \"{}\" }}", place.callers),
            format!(
                "\"peers\": {{ \"listen\": \"{listen}\", \"advertise\": \"{}\" }}",
                place.peers
            ),
            format!("\"operators\": {{ \"listen\": \"{}\" }}", place.operators),
            format!("\"seeds\": [{}]", seeds.join(", ")),
            format!(
                "\"operator_token_hash\": \"{}\"",
                blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex()
            ),
            format!("\"secret_file\": \"{}\"", self.folder.join("secret").display()),
            format!(
                "\"platform\": {{ \"log\": \"{}\", \"vm_list\": \"{}\", \"weights\": \"{}\" }}",
                at("log"),
                at("list"),
                at("weights")
            ),
        ];
        if !self.plan.settings.iter().any(|line| line.contains("\"tls\"")) {
            lines.push("\"tls\": { \"off\": true }".into());
        }
        lines.extend(self.plan.settings.iter().cloned());
        fs::write(
            &place.settings,
            format!("// made by the stand-ins\n{{\n  {}\n}}\n", lines.join(",\n  ")),
        )
    }

    fn start_daemons(&mut self) -> Result<(), AnyError> {
        let mut listens = Vec::new();
        for index in 0..self.plan.daemons {
            let number = u8::try_from(index + 1)?;
            let source = IpAddr::V4(Ipv4Addr::new(127, 0, 1, number));
            let name = format!("entry-{index}");
            let listen = free_address(source);
            let mut peers = listen;
            if self.plan.proxies {
                let proxy = FaultProxy::start(SocketAddr::new(source, 0), listen)?;
                peers = proxy.address;
                self.proxies.insert(name.clone(), proxy);
            }
            let settings = self.folder.join(format!("{name}.json"));
            let callers = free_address(source);
            let operators = free_address(source);
            self.daemons.push(DaemonPlace { name, source, callers, operators, peers, settings });
            listens.push(listen);
        }
        for (index, place) in self.daemons.iter().enumerate() {
            self.write_settings(place, index, listens[index])?;
        }
        for index in 0..self.plan.daemons {
            self.start_daemon(index)?;
        }
        (0..self.plan.daemons).for_each(|index| self.wait_ready(index));
        Ok(())
    }

    /// Starts a daemon that does not run.
    pub fn start_daemon(&mut self, index: usize) -> Result<(), AnyError> {
        let place = self.daemons[index].clone();
        let arguments =
            ["daemon".into(), "--settings".into(), place.settings.display().to_string()];
        let program = self.paths.guavatiller.clone();
        self.spawn(&place.name, &program, &arguments)
    }

    /// Starts a stand-in anew at its address, after it was killed.
    pub fn restart_standin(&mut self, name: &str) -> Result<(), AnyError> {
        let program = self.paths.standins.clone();
        let arguments = self.commands.get(name).cloned().unwrap_or_default();
        self.spawn(name, &program, &arguments)?;
        let address = self.servers[name];
        wait_until("a stand-in listens", || std::net::TcpStream::connect(address).is_ok());
        Ok(())
    }

    /// Whether a daemon takes work.
    pub fn is_ready(&self, index: usize) -> bool {
        if self.plan.authorities.is_some() {
            return self.is_serving_by_status(index);
        }
        let address = self.daemons[index].callers;
        let asked = ask::<serde_json::Value>(address, "/readyz");
        // The answer is plain text: a parse error is a success.
        asked.is_err_and(|error| error.to_string().starts_with("answer does not parse"))
    }

    fn is_serving_by_status(&self, index: usize) -> bool {
        let Ok(status) = self.operate_ok(index, &["status"]) else { return false };
        let name = &self.daemons[index].name;
        let daemons = status["daemons"].as_array().cloned().unwrap_or_default();
        let serves = |daemon: &serde_json::Value| {
            daemon["name"] == name.as_str() && daemon["phase"] == "serving"
        };
        daemons.iter().any(serves) && status["seen_by"][0]["freshness"] != "stale"
    }

    /// Waits until a daemon takes work.
    pub fn wait_ready(&self, index: usize) {
        wait_until(&format!("daemon {index} is ready"), || self.is_ready(index));
    }

    fn signal(&mut self, name: &str, signal: Signal) {
        if let Some(child) = self.children.get(name)
            && let Some(pid) = Pid::from_raw(i32::try_from(child.id()).unwrap_or(0))
        {
            // A process that has ended already takes no signal.
            kill_process(pid, signal).ok();
        }
    }

    /// Kills a process at once.
    pub fn kill(&mut self, name: &str) {
        self.signal(name, Signal::KILL);
        if let Some(mut child) = self.children.remove(name) {
            drop(child.wait());
        }
    }

    /// Freezes a process.
    pub fn freeze(&mut self, name: &str) {
        self.signal(name, Signal::STOP);
    }

    /// Thaws a process.
    pub fn thaw(&mut self, name: &str) {
        self.signal(name, Signal::CONT);
    }

    /// Asks a process to end in order.
    pub fn terminate(&mut self, name: &str) {
        self.signal(name, Signal::TERM);
    }

    /// Whether a process has ended.
    pub fn has_ended(&mut self, name: &str) -> bool {
        match self.children.get_mut(name) {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        }
    }

    /// The id of a process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.children.get(name).map(Child::id)
    }

    /// Runs the operators' client at one daemon.
    pub fn operate(&self, index: usize, arguments: &[&str]) -> Result<Output, AnyError> {
        let mut command = Command::new(&self.paths.guavatiller);
        if let Some(path) = &self.plan.authorities {
            command.arg("--authorities").arg(path);
        }
        command
            .args(["--at", &self.daemons[index].operators.to_string()])
            .arg("--token-file")
            .arg(self.folder.join("token"))
            .args(["--output", "json"])
            .args(arguments);
        Ok(run(&mut command)?)
    }

    /// Runs the operators' client and reads its JSON; an error unless it succeeded.
    pub fn operate_ok(
        &self,
        index: usize,
        arguments: &[&str],
    ) -> Result<serde_json::Value, AnyError> {
        let output = self.operate(index, arguments)?;
        if !output.status.success() {
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            let shown = String::from_utf8_lossy(&output.stdout).into_owned();
            return Err(format!("{arguments:?}: {text}{shown}").into());
        }
        Ok(serde_json::from_slice(&output.stdout)?)
    }

    /// The key of a customer of this deployment.
    pub fn customer_key(name: &str) -> String {
        format!("key-of-{name}")
    }

    /// Creates a customer with one key.
    pub fn add_customer(&self, name: &str, rate: u64, concurrency: u32) -> Result<(), AnyError> {
        let path = self.folder.join(format!("{name}.key"));
        fs::write(&path, Self::customer_key(name))?;
        let path = path.display().to_string();
        let rate = rate.to_string();
        let concurrency = concurrency.to_string();
        let limits = ["--rate", &rate, "--concurrency", &concurrency, "--add-key-file", &path];
        self.operate_ok(0, &[&["customer", name], &limits[..]].concat())?;
        Ok(())
    }

    fn register(&self, name: &str, kind: &str, arguments: &[&str]) -> Result<(), AnyError> {
        let address = self.reached_at(name).ok_or("no such stand-in")?.to_string();
        let own =
            ["upstream", name, "--kind", kind, "--address", &address, "--data-centre", "karlin"];
        self.operate_ok(0, &[&["--wait-ms", "0"], &own[..], arguments].concat())?;
        Ok(())
    }

    fn configure(&self) -> Result<(), AnyError> {
        let weights = self.plan.weights.map(|weight| weight.to_string());
        let set = [
            "weights",
            "--first-token",
            &weights[0],
            "--recompute",
            &weights[1],
            "--link",
            &weights[2],
        ];
        // Refused until the daemon has heard a majority of the roster.
        wait_until("a change is accepted", || self.operate_ok(0, &set).is_ok());
        self.operate_ok(0, &["--wait-ms", "0", "model", "publish", "hints", "v1"])?;
        self.operate_ok(0, &["--wait-ms", "0", "service", "board", "--idempotent", "GET /"])?;
        for (index, engine) in self.plan.engines.iter().enumerate() {
            let prefill = engine.prefill.to_string();
            let slots = engine.slots.to_string();
            let checks = engine.checks_fencing.to_string();
            let arguments = [
                "--model",
                "hints",
                "--prefill",
                &prefill,
                "--slots",
                &slots,
                "--checks-fencing",
                &checks,
            ];
            self.register(&format!("engine-{index}"), "engine", &arguments)?;
        }
        for index in 0..self.plan.services {
            self.register(&format!("board-{index}"), "service", &["--service", "board"])?;
        }
        let link = self.plan.link.to_string();
        for index in 0..self.plan.stores {
            self.register(&format!("store-{index}"), "store", &["--link", &link])?;
        }
        self.add_customer("acme", 10_000, 4_000)?;
        (0..self.daemons.len()).for_each(|index| self.wait_serving(index));
        Ok(())
    }

    /// Waits until a daemon sees all upstreams serving.
    pub fn wait_serving(&self, index: usize) {
        wait_until(&format!("daemon {index} sees all upstreams serving"), || {
            let Ok(status) = self.operate_ok(index, &["status"]) else { return false };
            let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
            let expected = self.plan.engines.len() + self.plan.services + self.plan.stores;
            let serves = |upstream: &&serde_json::Value| upstream["state"] == "serving";
            upstreams.iter().filter(serves).count() == expected
        });
    }

    /// The log of a process.
    pub fn log_of(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            drop(child.kill());
            drop(child.wait());
        }
        if !std::thread::panicking() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}
