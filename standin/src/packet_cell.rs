//! Entry hosts as child processes, among stand-ins for the store, upstreams, fabric and callers.
//!
//! For tests and the soak: what cannot be set up panics.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::packet_caller::PacketCaller;
use crate::packet_caller::PacketFabric;
use crate::packet_store::PacketStore;
use crate::packet_store::StoreMood;
use crate::packet_store::StorePort;
use crate::packet_upstream::PacketUpstream;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::process::Command;

/// Ends a wait that can only be a hang; no verdict depends on it otherwise.
pub const HANG_LIMIT: Duration = Duration::from_secs(20);

/// Time between two looks at something that is waited for.
pub const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// How long a request may take in tests: long enough for every copy of it.
pub const REQUEST_LIMIT: Duration = Duration::from_secs(8);

/// Time after which a started process takes signals, also on a busy machine.
const STARTING: Duration = Duration::from_millis(500);

/// Port at which callers are answered and hosts take packets.
const PACKET_PORT: u16 = 28_172;
const READY_PORT: u16 = 28_167;
const PEER_PORT: u16 = 28_720;

/// Numbers the cells of this test program, each with addresses of its own.
static NEXT_CELL: AtomicU8 = AtomicU8::new(1);

/// One entry host.
pub struct CellHost {
    /// Where its packets arrive.
    pub packets: SocketAddrV4,
    /// Where it says whether it is ready.
    pub ready: SocketAddrV4,
    /// The store as this host meets it.
    pub store: StorePort,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
    started: Instant,
}

/// Hosts, upstreams and a store.
pub struct PacketCell {
    number: u8,
    program: PathBuf,
    /// The store.
    pub store: PacketStore,
    /// The fabric.
    pub fabric: PacketFabric,
    /// The hosts.
    pub hosts: Vec<CellHost>,
    /// The upstreams of the ledger.
    pub upstreams: Vec<PacketUpstream>,
    /// Numbers of the upstreams in the other zone; none of the hosts is there.
    remote_upstreams: BTreeSet<u64>,
    next_caller: u8,
    /// Registrations written so far.
    writes: AtomicU64,
}

/// The zone of all hosts, and the other one.
const LOCAL_ZONE: &str = "a";
const REMOTE_ZONE: &str = "b";

/// The address of the ledger.
pub fn ledger() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// The address of the certificate service.
pub fn certs() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

impl PacketCell {
    /// A cell without hosts, with upstreams of the ledger that are registered.
    pub async fn with_upstreams(program: &Path, count: u8) -> Self {
        let mut cell = Self {
            number: NEXT_CELL.fetch_add(1, Ordering::Relaxed),
            program: program.to_owned(),
            store: PacketStore::default(),
            fabric: PacketFabric::default(),
            hosts: Vec::new(),
            upstreams: Vec::new(),
            remote_upstreams: BTreeSet::new(),
            next_caller: 0,
            writes: AtomicU64::new(1),
        };
        cell.publish_routes(1, &[(ledger(), "ledger"), (certs(), "certs")]);
        for index in 0..count {
            let upstream = cell.start_upstream(index + 1, index + 1).await;
            cell.register(&upstream, "ledger", "ready");
            cell.upstreams.push(upstream);
        }
        cell
    }

    /// A cell with hosts that are ready and in the rotation.
    pub async fn ready(program: &Path, hosts: u8, upstreams: u8) -> Self {
        let mut cell = Self::with_upstreams(program, upstreams).await;
        for _host in 0..hosts {
            cell.start_host(StoreMood::Serve).await;
        }
        cell.wait_for_rotation(usize::from(hosts)).await;
        cell
    }

    /// Starts an upstream with this number at the address of this place.
    pub async fn start_upstream(&self, number: u8, place: u8) -> PacketUpstream {
        let address = SocketAddrV4::new(self.ip(100 + place), 9_000);
        PacketUpstream::start(u64::from(number), address, PACKET_PORT)
            .await
            .unwrap()
    }

    /// Puts an upstream of the ledger into the zone without hosts.
    pub fn move_upstream(&mut self, index: usize) {
        self.remote_upstreams.insert(self.upstreams[index].number);
        self.register(&self.upstreams[index], "ledger", "ready");
    }

    /// Asks for the evacuation of the zone of all hosts.
    pub fn evacuate_local(&self) {
        self.store.put(&evacuation_key(LOCAL_ZONE), &json!({}));
    }

    /// Ends the evacuation of the zone of all hosts.
    pub fn restore_local(&self) {
        self.store.remove(&evacuation_key(LOCAL_ZONE));
    }

    /// Writes an upstream's registration.
    pub fn register(&self, upstream: &PacketUpstream, service: &str, state: &str) {
        let is_remote = self.remote_upstreams.contains(&upstream.number);
        let zone = if is_remote { REMOTE_ZONE } else { LOCAL_ZONE };
        let entry = json!({
            "Service": service, "Address": upstream.address.to_string(), "Zone": zone, "Version": "v1",
            "Slots": 2, "State": state, "WarmupLeftMs": 0, "Sequence": self.writes.fetch_add(1, Ordering::Relaxed), "born": 1_772_323_200_000_u64,
        });
        self.store.put(&registration_key(upstream), &entry);
    }

    /// Writes a configuration.
    pub fn publish_routes(&self, version: u64, routes: &[(SocketAddrV4, &str)]) {
        let routes: Vec<Value> = routes
            .iter()
            .map(|(address, service)| {
                json!({
                    "Name": "r", "Hostname": address.ip().to_string(),
                    "Prefix": format!("/{}/", address.port()), "RouteType": "safe", "Service": service,
                })
            })
            .collect();
        let limits = json!({"IdleTimeoutMs": 15_000});
        let config =
            json!({"Version": version, "Routes": routes, "Services": [], "Limits": limits});
        self.store.put("op/config", &config);
    }

    /// Starts a host whose store treats it so, with the first host as its only seed.
    pub async fn start_host(&mut self, mood: StoreMood) {
        let place = self.hosts.len() as u8 + 1;
        let store = self.store.open_port(mood).await.unwrap();
        let settings = self.write_settings(place, &store);
        let host = CellHost {
            packets: SocketAddrV4::new(self.ip(place), PACKET_PORT),
            ready: SocketAddrV4::new(self.ip(place), READY_PORT),
            store,
            child: spawn(&self.program, &settings),
            program: self.program.clone(),
            settings,
            started: Instant::now(),
        };
        self.fabric.follow(host.packets, host.ready);
        self.hosts.push(host);
    }

    /// A caller of its own address.
    pub async fn caller(&mut self) -> PacketCaller {
        self.next_caller += 1;
        let address = SocketAddrV4::new(self.ip(200 + self.next_caller), PACKET_PORT);
        PacketCaller::bind(address, self.fabric.clone())
            .await
            .unwrap()
    }

    /// Serves a request of a caller of its own, on a new flow to the ledger.
    pub async fn serve_one(&mut self) {
        let mut caller = self.caller().await;
        let mut flow = caller.open(ledger()).await.expect("a flow");
        caller
            .request(&mut flow, b"one", REQUEST_LIMIT)
            .await
            .expect("an answer");
    }

    /// Waits until so many hosts are in the rotation.
    pub async fn wait_for_rotation(&mut self, hosts: usize) {
        let fabric = self.fabric.clone();
        let came_true = comes_true(async || fabric.hosts() == hosts).await;
        let ends: Vec<_> = self.hosts.iter_mut().map(CellHost::has_ended).collect();
        assert!(
            came_true,
            "{hosts} hosts never in the rotation; how each has ended: {ends:?}"
        );
    }

    /// The settings file of the host at this place, written anew.
    pub fn write_settings(&self, place: u8, store: &StorePort) -> PathBuf {
        let ip = self.ip(place);
        let settings = json!({
            "NodeName": format!("host-{}-{place}", self.number), "Ip": ip.to_string(), "Zone": LOCAL_ZONE,
            "Listen": {
                "DatagramAddr": format!("{ip}:{PACKET_PORT}"), "Ready": format!("{ip}:{READY_PORT}"),
                "Control": format!("{ip}:28166"),
            },
            "InternalPorts": [PEER_PORT, PEER_PORT + 15],
            "Seeds": [format!("{}:28166", self.ip(1))],
            "Bounds": {"GraceS": 6, "FlowTimeoutS": 60},
            "platform": {"Address": store.address.to_string()},
        });
        let name = format!("packet-{}-{}-{place}.json", std::process::id(), self.number);
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        path
    }

    /// Where peers reach the host at this place.
    pub fn peer_address(&self, place: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(place), PEER_PORT)
    }

    /// An address of this cell; cells of other processes that run at the same time have others.
    fn ip(&self, last: u8) -> Ipv4Addr {
        let process = 1 + (std::process::id() % 250) as u8;
        Ipv4Addr::new(127, process, self.number, last)
    }
}

impl CellHost {
    /// The settings file of this host.
    pub fn settings_path(&self) -> &Path {
        &self.settings
    }

    /// Sends a signal to this host's process.
    pub async fn signal(&self, name: &str) {
        let id = self.child.id().expect("the process runs");
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id.to_string()])
            .status()
            .await;
        assert!(status.unwrap().success());
    }

    /// Waits until the process serves its readiness, so that it takes signals: until a program has
    /// begun to run, the system ends it at any of them.
    pub async fn listens(&self) {
        let listens = comes_true(async || TcpStream::connect(self.ready).await.is_ok()).await;
        assert!(listens, "{} never listens", self.ready);
    }

    /// Waits for the process to end.
    pub async fn ended(&mut self) -> ExitStatus {
        tokio::time::timeout(HANG_LIMIT, self.child.wait())
            .await
            .expect("it ends")
            .unwrap()
    }

    /// Kills the process, as when its machine loses power.
    pub async fn kill(&mut self) {
        self.child.start_kill().unwrap();
        self.child.wait().await.unwrap();
    }

    /// Whether the process was started so short a time ago that it may not take signals yet: until
    /// a program has begun to run, the system ends it at any of them.
    pub fn is_starting(&self) -> bool {
        self.started.elapsed() < STARTING
    }

    /// How the process has ended, if it has.
    pub fn has_ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Starts the process again.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.program, &self.settings);
        self.started = Instant::now();
    }

    /// One metric, by the beginning of its line; 0 while the process does not listen yet.
    pub async fn metric(&self, name: &str) -> f64 {
        let text = self.page("/metrics").await;
        let line = text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.map_or(0.0, |value| value.parse().unwrap())
    }

    /// What the host serves to operators at a path; empty if it does not listen.
    pub async fn page(&self, path: &str) -> String {
        let address = SocketAddr::from((*self.ready.ip(), 9180));
        let Ok(response) = reqwest::get(format!("http://{address}{path}")).await else {
            return String::new();
        };
        response.text().await.unwrap()
    }

    /// Waits until a metric has a value that is wanted.
    pub async fn wait_for_metric(&self, name: &str, wanted: impl Fn(f64) -> bool) {
        let came_true = comes_true(async || wanted(self.metric(name).await)).await;
        assert!(came_true, "{name} never as wanted");
    }
}

impl Drop for CellHost {
    fn drop(&mut self) {
        let _removed = std::fs::remove_file(&self.settings);
    }
}

/// The key of an upstream's registration.
pub fn registration_key(upstream: &PacketUpstream) -> String {
    format!("servers/i-{:x}", upstream.number)
}

/// The key of a zone's evacuation.
fn evacuation_key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

/// Waits for something that must become so; false if it never does.
async fn comes_true(condition: impl AsyncFn() -> bool) -> bool {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, wait).await.is_ok()
}

fn spawn(program: &Path, settings: &Path) -> Child {
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .unwrap()
}
