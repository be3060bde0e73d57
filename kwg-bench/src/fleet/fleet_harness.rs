use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use async_io::{Timer, block_on};
use data_encoding::HEXLOWER;
use http_types::{Method, StatusCode};
use kwg_clock::ClockHandle;
use kwg_http::CallClient;
use kwg_model::{AccountGrant, AccountName, DispatchTicket, SealKey};
use kwg_peer::FleetAuthority;
use kwg_standin::CallerAgent;
use kwg_telemetry::Timeline;
use serde_json::json;

use super::free_port::{free_address, start_process};
use super::link_relay::LinkRelay;
use super::{FleetPlan, FleetProcess, TicketLog};

/// Secret that seals the tickets of every test fleet.
const SEAL_SECRET: &str = "a secret of test fleets only";
/// Client account of every test fleet, and its key.
const ACCOUNT: &str = "tests";
const ACCOUNT_KEY: &str = "a key of test fleets only";
/// How long a fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Failure domains and their regions, over which routers and targets are spread.
const DOMAINS: [(&str, &str); 3] = [("ost-graz", "ost"), ("ost-wien", "ost"), ("west-ibk", "west")];

/// Runs a fleet under test. Dropping it kills its processes and removes its files.
#[derive(Debug)]
pub struct FleetHarness {
    /// Router processes.
    pub routers: Vec<FleetProcess>,
    /// Engine processes.
    pub engines: Vec<FleetProcess>,
    /// Process of the plain service.
    pub service: FleetProcess,
    /// Process of the platform.
    pub platform: FleetProcess,
    fronts: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
    platform_address: SocketAddr,
    engine_addresses: Vec<SocketAddr>,
    service_address: SocketAddr,
    relay: LinkRelay,
    binary: PathBuf,
    dir: PathBuf,
}

impl FleetHarness {
    /// Builds the binaries of a fleet, and returns the directory of the binary `bench`, which holds
    /// them too if `bench` was built with the dev profile.
    #[must_use]
    pub fn build_binaries(bench: &str) -> PathBuf {
        let mut command = Command::new(env!("CARGO"));
        command.args(["build", "--quiet", "--locked", "-p", "knapweedglade", "-p", "kwg-standin"]);
        let status = start_process(&mut command).and_then(|mut child| child.wait());
        assert!(status.is_ok_and(|status| status.success()), "the binaries do not build");
        Path::new(bench).parent().expect("a binary has a parent directory").to_owned()
    }

    /// Starts a fleet from the binaries in the directory `bin`, and waits until every router is
    /// ready and connected to its peers.
    #[must_use]
    pub fn start(bin: &Path, plan: &FleetPlan) -> Self {
        let name = format!("kwg-fleet-{:016x}", rand::random::<u64>());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("the temporary directory is writable");
        let (standin, router) = (bin.join("kwg-standin"), bin.join("knapweedglade"));
        let platform_address = free_address();
        let arguments = vec!["platform".into(), "--address".into(), platform_address.to_string()];
        let platform = FleetProcess::start(&standin, arguments, dir.join("platform.out"));
        let engine_addresses: Vec<SocketAddr> = (0..plan.engines).map(|_| free_address()).collect();
        let engines = engine_addresses.iter().enumerate();
        let engines = engines.map(|(number, address)| {
            let arguments = engine_arguments(&dir, number, *address, plan);
            FleetProcess::start(&standin, arguments, dir.join(format!("e{number}.out")))
        });
        let engines = engines.collect();
        let service_address = free_address();
        let service_arguments = ["service", "--name", "s0", "--address"].map(str::to_owned);
        let mut service_arguments = service_arguments.to_vec();
        service_arguments.push(service_address.to_string());
        service_arguments.extend(["--delay-ms".to_owned(), plan.service_ms.to_string()]);
        service_arguments.extend(["--log".to_owned(), dir.join("s0.log").display().to_string()]);
        let service = FleetProcess::start(&standin, service_arguments, dir.join("s0.out"));
        let fronts: Vec<SocketAddr> = (0..plan.routers).map(|_| free_address()).collect();
        let admins: Vec<SocketAddr> = (0..plan.routers).map(|_| free_address()).collect();
        let peers: Vec<SocketAddr> = (0..plan.routers).map(|_| free_address()).collect();
        let mut harness = Self {
            routers: Vec::new(),
            engines,
            service,
            platform,
            fronts,
            admins,
            platform_address,
            engine_addresses,
            service_address,
            relay: LinkRelay::start(peers.clone()),
            binary: router.clone(),
            dir,
        };
        harness.wait_for(platform_address, "/stats");
        harness.put_tables(&router, plan, service_address);
        harness.start_routers(&router, plan, &peers);
        harness
    }

    /// Addresses on which the routers listen for callers.
    #[must_use]
    pub fn fronts(&self) -> &[SocketAddr] {
        &self.fronts
    }

    /// Addresses of the routers' operator endpoints.
    #[must_use]
    pub fn admins(&self) -> &[SocketAddr] {
        &self.admins
    }

    /// Address on which the plain service listens.
    #[must_use]
    pub fn service_address(&self) -> SocketAddr {
        self.service_address
    }

    /// A caller that sends to all routers in turn.
    #[must_use]
    pub fn caller(&self) -> CallerAgent {
        CallerAgent::new(self.fronts.clone(), ACCOUNT_KEY)
    }

    /// The key of the fleet's client account.
    #[must_use]
    pub fn account_key(&self) -> &'static str {
        ACCOUNT_KEY
    }

    /// Sets faults of the platform, given as a query such as `down=1`.
    pub fn set_platform_faults(&self, query: &str) {
        let client = client(self.platform_address);
        let request = client.request(Method::Post, format!("/fault?{query}"));
        drop(block_on(client.call(request.expect("a valid path"))));
    }

    /// Cuts or restores the links between a router and all others.
    pub fn cut_links(&self, router: usize, is_cut: bool) {
        self.relay.set_cut(router, is_cut);
    }

    /// Sets faults of every engine, given as a query such as `slowdown=2`.
    pub fn set_engine_faults(&self, query: &str) {
        for address in &self.engine_addresses {
            let client = client(*address);
            let request = client.request(Method::Post, format!("/fault?{query}"));
            drop(block_on(client.call(request.expect("a valid path"))));
        }
    }

    /// Runs the command `knapweedglade tables` with these arguments and returns its standard
    /// output; its exit code is ignored.
    #[must_use]
    pub fn tables(&self, arguments: &[&str]) -> String {
        let platform = self.platform_address.to_string();
        let mut command = Command::new(&self.binary);
        command.arg("tables").args(arguments).args(["--tables", &platform]);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let output = start_process(&mut command).and_then(Child::wait_with_output);
        let output = output.expect("the binary has been built");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// The output of `knapweedglade tables status`.
    #[must_use]
    pub fn tables_status(&self) -> String {
        let platform = self.platform_address.to_string();
        self.tables(&["status", "--instances", &platform])
    }

    /// Whether a router reports that it is ready.
    #[must_use]
    pub fn is_ready(&self, router: usize) -> bool {
        block_on(get(self.admins[router], "/ready")).is_some()
    }

    /// Waits until a router reports that it is ready; panics after 20 seconds.
    pub fn wait_ready(&self, router: usize) {
        self.wait_for(self.admins[router], "/ready");
    }

    /// The dispatches of every ticket, from the targets' logs.
    #[must_use]
    pub fn ticket_log(&self) -> TicketLog {
        let mut log = TicketLog::default();
        for number in 0..self.engines.len() {
            let name = format!("e{number}");
            log.add(&name, &self.dir.join(format!("{name}.log")));
        }
        log.add("s0", &self.dir.join("s0.log"));
        log
    }

    /// The key by which targets and logs identify a caller's ticket.
    #[must_use]
    pub fn ticket_key(&self, ticket: &str) -> String {
        let account = AccountName::new(ACCOUNT).expect("a valid name");
        let ticket = DispatchTicket::from_text(ticket, &SealKey::derive(SEAL_SECRET), &account);
        ticket.expect("the fleet's routers sealed the ticket").key.to_string()
    }

    /// The log events of all processes that contain a ticket's key, in causal order.
    #[must_use]
    pub fn ticket_events(&self, key: &str) -> String {
        let mut timeline = Timeline::default();
        let engines = (0..self.engines.len()).map(|number| format!("e{number}.log"));
        let routers = (0..self.routers.len()).map(|number| format!("r{number}.log"));
        for name in engines.chain(routers).chain(["s0.log".to_owned()]) {
            let text = std::fs::read_to_string(self.dir.join(name)).unwrap_or_default();
            text.lines().for_each(|event| drop(timeline.add(event)));
        }
        timeline.retain_matching(key);
        timeline.to_string()
    }

    /// The current run of each router, as the prefix of the keys of its tickets.
    #[must_use]
    pub fn live_router_runs(&self) -> Vec<String> {
        let logs = (0..self.routers.len()).map(|number| self.dir.join(format!("r{number}.log")));
        let last_run = |(number, log): (usize, PathBuf)| {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let line = text.lines().rfind(|line| line.contains("event=started"))?;
            let run = line.split_once("run=")?.1.split(' ').next()?;
            Some(format!("r{number}.{run}."))
        };
        logs.enumerate().filter_map(last_run).collect()
    }

    /// Waits until a request for `path` gets a 200 response.
    fn wait_for(&self, address: SocketAddr, path: &str) {
        let start = Instant::now();
        while block_on(get(address, path)).is_none() {
            assert!(start.elapsed() < READY_TIMEOUT, "{address}{path} does not answer");
            block_on(Timer::after(Duration::from_millis(20)));
        }
    }

    fn put_tables(&self, binary: &Path, plan: &FleetPlan, service: SocketAddr) {
        let routes = "[patches]\npool = graz\ntier = 0\n[labels]\npool = graz\ntier = 3\n\
                      [bookings]\npool = desk\ntier = 1\n";
        let mut pools = "[graz]\nversion = v1\n".to_owned();
        for (number, address) in self.engine_addresses.iter().enumerate() {
            let (domain, region) = DOMAINS[number % DOMAINS.len()];
            let limit = plan.limit_tokens;
            write!(
                pools,
                "[graz/e{number}]\naddress = {address}\ndomain = {domain}\nregion = {region}\n\
                 limit_tokens = {limit}\n"
            )
            .expect("writing to a string never fails");
        }
        let (domain, region) = DOMAINS[0];
        write!(
            pools,
            "[desk]\nkind = service\nversion = v1\n[desk/s0]\naddress = {service}\n\
             domain = {domain}\nregion = {region}\nlimit_tokens = 100000\n"
        )
        .expect("writing to a string never fails");
        let (routes_file, pools_file) = (self.dir.join("routes.ini"), self.dir.join("pools.ini"));
        std::fs::write(&routes_file, routes).expect("the fleet's directory is writable");
        std::fs::write(&pools_file, pools).expect("the fleet's directory is writable");
        let arguments = vec![
            "tables".to_owned(),
            "put".to_owned(),
            "--tables".to_owned(),
            self.platform_address.to_string(),
            "--routes".to_owned(),
            routes_file.display().to_string(),
            "--pools".to_owned(),
            pools_file.display().to_string(),
        ];
        let mut put = FleetProcess::start(binary, arguments, self.dir.join("tables.out"));
        assert!(
            put.wait().is_some_and(|status| status.success()),
            "`knapweedglade tables put` failed"
        );
    }

    fn start_routers(&mut self, binary: &Path, plan: &FleetPlan, peers: &[SocketAddr]) {
        let authority = FleetAuthority::generate().expect("key generation succeeds");
        std::fs::write(self.dir.join("fleet.crt"), authority.certificate())
            .expect("the fleet's directory is writable");
        let rows = self.relay.addresses().iter().enumerate().map(|(number, peer)| {
            let (name, admin) = (format!("r{number}"), self.admins[number]);
            let (_, region) = DOMAINS[number % DOMAINS.len()];
            json!({
                "name": name, "kind": "router", "address": peer, "admin": admin, "region": region,
            })
        });
        let rows = json!(rows.collect::<Vec<_>>());
        let client = client(self.platform_address);
        let mut request = client.request(Method::Put, "/v1/instances").expect("a valid path");
        request.set_body(rows.to_string());
        drop(block_on(client.call(request)));
        for (number, peer) in peers.iter().enumerate() {
            let issued = authority.issue(&format!("r{number}")).expect("key generation succeeds");
            for (name, text) in [("crt", &issued.certificate), ("key", &issued.key)] {
                let path = self.dir.join(format!("r{number}.{name}"));
                std::fs::write(path, text).expect("the fleet's directory is writable");
            }
            let settings = self.dir.join(format!("r{number}.ini"));
            std::fs::write(&settings, self.settings(number, *peer, plan))
                .expect("the fleet's directory is writable");
            let arguments =
                vec!["router".into(), "--settings".into(), settings.display().to_string()];
            let output = self.dir.join(format!("r{number}.out"));
            self.routers.push(FleetProcess::start(binary, arguments, output));
        }
        (0..plan.routers).for_each(|router| self.wait_ready(router));
        // Routers discover their peers with the first heartbeats.
        self.wait_for_peers(plan.routers - 1);
    }

    fn wait_for_peers(&self, peers: usize) {
        let start = Instant::now();
        let expected = format!("\"peers\":{peers}");
        for admin in &self.admins {
            while !block_on(get(*admin, "/status")).is_some_and(|page| page.contains(&expected)) {
                assert!(start.elapsed() < READY_TIMEOUT, "{admin} does not discover its peers");
                block_on(Timer::after(Duration::from_millis(20)));
            }
        }
    }

    fn settings(&self, number: usize, peer: SocketAddr, plan: &FleetPlan) -> String {
        let (domain, region) = DOMAINS[number % DOMAINS.len()];
        let (front, admin) = (self.fronts[number], self.admins[number]);
        let platform = self.platform_address;
        let (threads, notice) = (plan.threads, plan.drain_notice_ms);
        let hash = HEXLOWER.encode(&AccountGrant::hash_key(ACCOUNT_KEY));
        format!(
            "[router]\nname = r{number}\ndomain = {domain}\nregion = {region}\n\
             threads = {threads}\nfront = {front}\nadmin = {admin}\n\
             [peer]\naddress = {peer}\nauthority = fleet.crt\ncertificate = r{number}.crt\n\
             key = r{number}.key\n[fleet]\nseal_secret = {SEAL_SECRET}\n\
             [platform]\ntables = {platform}\nobjects = {platform}\ninstances = {platform}\n\
             [timing]\ndrain_notice_ms = {notice}\narchive_s = 60\n\
             [log]\nfile = r{number}.log\n[account {ACCOUNT}]\nkey_hash = {hash}\n"
        )
    }
}

impl Drop for FleetHarness {
    fn drop(&mut self) {
        let all = self.routers.iter_mut().chain(&mut self.engines);
        all.chain([&mut self.service, &mut self.platform]).for_each(FleetProcess::kill);
        drop(std::fs::remove_dir_all(&self.dir));
    }
}

fn engine_arguments(
    dir: &Path,
    number: usize,
    address: SocketAddr,
    plan: &FleetPlan,
) -> Vec<String> {
    let (address, step, name) = (address.to_string(), plan.step_ms, format!("e{number}"));
    let log = dir.join(format!("{name}.log")).display().to_string();
    let step = step.to_string();
    let arguments =
        ["engine", "--address", &address, "--name", &name, "--step-ms", &step, "--log", &log];
    arguments.map(str::to_owned).to_vec()
}

fn client(address: SocketAddr) -> CallClient {
    CallClient::new(address, Duration::from_secs(2), ClockHandle::system())
}

/// The body of a 200 response to a GET request, or `None` on any failure.
async fn get(address: SocketAddr, path: &str) -> Option<String> {
    let client = client(address);
    let reply = client.call(client.request(Method::Get, path).ok()?).await.ok()?;
    (reply.status == StatusCode::Ok).then(|| String::from_utf8_lossy(&reply.body).into_owned())
}
