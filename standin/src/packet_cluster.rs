//! Test cluster: entry hosts as child processes, with stand-ins for the store, the upstreams, the
//! fabric and the callers.
//!
//! Used by tests and the soak. Panics if the setup fails.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::packet_caller::PacketCaller;
use crate::packet_caller::PacketFabric;
use crate::packet_store::PacketStore;
use crate::packet_store::StoreBehaviour;
use crate::packet_store::StorePort;
use crate::packet_upstream::PacketUpstream;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::process::Command;

/// Timeout of waits that end unless something hangs. It is long, so that no test result depends on
/// the speed of the machine.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which an awaited condition is polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a request in tests, long enough for all its retransmissions.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after the start of a process within which it may not handle signals yet, with a margin for
/// a busy machine.
const STARTUP_TIME: Duration = Duration::from_millis(500);

/// Port at which hosts receive packets and callers receive responses.
const PACKET_PORT: u16 = 28_172;
const READY_PORT: u16 = 28_167;
const PEER_PORT: u16 = 28_720;

/// Number of the next cluster of this process. Clusters have separate IP addresses by it.
static NEXT_CLUSTER: AtomicU8 = AtomicU8::new(1);

/// An entry host, run as a child process.
pub struct ClusterHost {
    /// Address at which it receives packets.
    pub packets: SocketAddrV4,
    /// Address of its readiness check.
    pub ready: SocketAddrV4,
    /// Its port of the store.
    pub store: StorePort,
    program: PathBuf,
    settings: PathBuf,
    /// File to which its processes append their log.
    log: PathBuf,
    /// Whether the log file is kept when the cluster ends.
    keeps_log: bool,
    child: Child,
    started: Instant,
}

/// A cluster of hosts and upstreams with a store and a fabric.
pub struct PacketCluster {
    number: u8,
    program: PathBuf,
    /// The store of all hosts.
    pub store: PacketStore,
    /// The fabric through which callers send packets.
    pub fabric: PacketFabric,
    /// The hosts, all in one zone unless a test adds others.
    pub hosts: Vec<ClusterHost>,
    /// The upstreams, of the ledger unless a test adds others.
    pub upstreams: Vec<PacketUpstream>,
    /// Numbers of the upstreams in the remote zone.
    remote_upstreams: BTreeSet<u64>,
    next_caller: u8,
    /// Sequence number of the next registration.
    next_sequence: AtomicU64,
}

/// The zone of all hosts unless a test adds others, and the other zone.
const LOCAL_ZONE: &str = "a";
const REMOTE_ZONE: &str = "b";

/// Address of the service `ledger`.
pub fn ledger() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Address of the service `certs`.
pub fn certs() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

impl PacketCluster {
    /// Starts a cluster without hosts, with published routes and `count` registered upstreams of
    /// the ledger.
    pub async fn with_upstreams(program: &Path, count: u8) -> Self {
        let mut cluster = Self {
            number: NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed),
            program: program.to_owned(),
            store: PacketStore::default(),
            fabric: PacketFabric::default(),
            hosts: Vec::new(),
            upstreams: Vec::new(),
            remote_upstreams: BTreeSet::new(),
            next_caller: 0,
            next_sequence: AtomicU64::new(1),
        };
        cluster.publish_routes(1, &[(ledger(), "ledger"), (certs(), "certs")]);
        for index in 0..count {
            let upstream = cluster.start_upstream(index + 1, index + 1).await;
            cluster.register(&upstream, "ledger", "ready");
            cluster.upstreams.push(upstream);
        }
        cluster
    }

    /// Starts a cluster and waits until all its hosts are ready and in rotation.
    pub async fn ready(program: &Path, hosts: u8, upstreams: u8) -> Self {
        let mut cluster = Self::with_upstreams(program, upstreams).await;
        for _host in 0..hosts {
            cluster.start_host(StoreBehaviour::Serve).await;
        }
        cluster.wait_for_rotation(usize::from(hosts)).await;
        cluster
    }

    /// Starts an upstream. `address_index` selects its IP address; two upstreams with the same
    /// index have the same address.
    pub async fn start_upstream(&self, number: u8, address_index: u8) -> PacketUpstream {
        let address = SocketAddrV4::new(self.ip(100 + address_index), 9_000);
        PacketUpstream::start(u64::from(number), address, PACKET_PORT)
            .await
            .unwrap()
    }

    /// Starts an upstream again at an index: a new process with this number, in the same zone. The
    /// process before it must have been stopped.
    pub async fn start_incarnation(&mut self, index: usize, number: u8) {
        let before = &self.upstreams[index];
        let (born_ms, is_remote) = (before.born_ms + 1_000, self.is_remote(before));
        let mut upstream = self.start_upstream(number, number).await;
        upstream.born_ms = born_ms;
        if is_remote {
            self.remote_upstreams.insert(upstream.number);
        }
        self.upstreams[index] = upstream;
    }

    /// Whether an upstream is in the remote zone.
    pub fn is_remote(&self, upstream: &PacketUpstream) -> bool {
        self.remote_upstreams.contains(&upstream.number)
    }

    /// Registers an upstream of the ledger in the remote zone.
    pub fn move_to_remote_zone(&mut self, index: usize) {
        self.remote_upstreams.insert(self.upstreams[index].number);
        self.register(&self.upstreams[index], "ledger", "ready");
    }

    /// Starts the evacuation of the local zone.
    pub fn evacuate_local_zone(&self) {
        self.store.put(&evacuation_key(LOCAL_ZONE), &json!({}));
    }

    /// Ends the evacuation of the local zone.
    pub fn restore_local_zone(&self) {
        self.store.remove(&evacuation_key(LOCAL_ZONE));
    }

    /// Writes the registration of an upstream to the store.
    pub fn register(&self, upstream: &PacketUpstream, service: &str, state: &str) {
        let zone = if self.is_remote(upstream) {
            REMOTE_ZONE
        } else {
            LOCAL_ZONE
        };
        let entry = json!({
            "Service": service, "Address": upstream.address.to_string(), "Zone": zone, "Version": "v1",
            "Slots": 2, "State": state, "WarmupLeftMs": 0, "Sequence": self.next_sequence.fetch_add(1, Ordering::Relaxed), "born": upstream.born_ms,
        });
        self.store.put(&registration_key(upstream), &entry);
    }

    /// Writes a configuration with these routes to the store.
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

    /// Starts a host whose only seed is the first host. The store treats it as `behaviour` says.
    pub async fn start_host(&mut self, behaviour: StoreBehaviour) {
        self.start_host_in(LOCAL_ZONE, behaviour).await;
    }

    /// Starts a host in the remote zone.
    pub async fn start_remote_host(&mut self) {
        self.start_host_in(REMOTE_ZONE, StoreBehaviour::Serve).await;
    }

    async fn start_host_in(&mut self, zone: &str, behaviour: StoreBehaviour) {
        let address_index = self.hosts.len() as u8 + 1;
        let store = self.store.open_port(behaviour).await.unwrap();
        let settings = self.write_zone_settings(address_index, zone, &store);
        let log = settings.with_extension("log");
        let host = ClusterHost {
            packets: SocketAddrV4::new(self.ip(address_index), PACKET_PORT),
            ready: SocketAddrV4::new(self.ip(address_index), READY_PORT),
            store,
            child: spawn(&self.program, &settings, &log),
            program: self.program.clone(),
            settings,
            log,
            keeps_log: false,
            started: Instant::now(),
        };
        self.fabric.watch_readiness(host.packets, host.ready);
        self.hosts.push(host);
    }

    /// Binds a caller with an IP address of its own.
    pub async fn caller(&mut self) -> PacketCaller {
        self.next_caller += 1;
        let address = SocketAddrV4::new(self.ip(200 + self.next_caller), PACKET_PORT);
        PacketCaller::bind(address, self.fabric.clone())
            .await
            .unwrap()
    }

    /// Sends a request from a new caller on a new flow to the ledger. Panics if it gets no
    /// response.
    pub async fn serve_one(&mut self) {
        let mut caller = self.caller().await;
        let mut flow = caller.open(ledger()).await.expect("a flow");
        caller
            .request(&mut flow, b"one", REQUEST_TIMEOUT)
            .await
            .expect("a response");
    }

    /// Waits until exactly this number of hosts is in rotation.
    pub async fn wait_for_rotation(&mut self, hosts: usize) {
        let fabric = self.fabric.clone();
        let reached = poll_until(async || fabric.hosts() == hosts).await;
        let exits: Vec<_> = self
            .hosts
            .iter_mut()
            .map(ClusterHost::exit_status)
            .collect();
        assert!(
            reached,
            "timeout: never {hosts} hosts in rotation; exit status of each host: {exits:?}"
        );
    }

    /// Writes the settings file of a local host with this address index, and returns its path.
    pub fn write_settings(&self, address_index: u8, store: &StorePort) -> PathBuf {
        self.write_zone_settings(address_index, LOCAL_ZONE, store)
    }

    fn write_zone_settings(&self, address_index: u8, zone: &str, store: &StorePort) -> PathBuf {
        let ip = self.ip(address_index);
        let settings = json!({
            "NodeName": format!("host-{}-{address_index}", self.number), "Ip": ip.to_string(), "Zone": zone,
            "Listen": {
                "DatagramAddr": format!("{ip}:{PACKET_PORT}"), "Ready": format!("{ip}:{READY_PORT}"),
                "Control": format!("{ip}:28166"),
            },
            "InternalPorts": [PEER_PORT, PEER_PORT + 15],
            "Seeds": [format!("{}:28166", self.ip(1))],
            "Bounds": {"GraceS": 6, "FlowTimeoutS": 60},
            "platform": {"Address": store.address.to_string()},
        });
        let name = format!(
            "packet-{}-{}-{address_index}.json",
            std::process::id(),
            self.number
        );
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        path
    }

    /// Returns the peer address of the host with this address index.
    pub fn peer_address(&self, address_index: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(address_index), PEER_PORT)
    }

    /// Returns an IP address of this cluster. The process id is part of it, so that clusters of
    /// concurrent test processes do not share addresses.
    fn ip(&self, last_octet: u8) -> Ipv4Addr {
        let process = 1 + (std::process::id() % 250) as u8;
        Ipv4Addr::new(127, process, self.number, last_octet)
    }
}

impl ClusterHost {
    /// Returns the path of the settings file.
    pub fn settings_path(&self) -> &Path {
        &self.settings
    }

    /// Keeps the log file when the cluster ends, and returns its path.
    pub fn keep_log(&mut self) -> &Path {
        self.keeps_log = true;
        &self.log
    }

    /// Sends a signal, such as `TERM`, to the process.
    pub async fn signal(&self, name: &str) {
        let id = self.child.id().expect("the process runs");
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id.to_string()])
            .status()
            .await;
        assert!(status.unwrap().success());
    }

    /// Waits until the process listens for readiness checks. From then on it handles signals; a
    /// signal before its handlers are installed would end it.
    pub async fn wait_until_listening(&self) {
        let is_listening = poll_until(async || TcpStream::connect(self.ready).await.is_ok()).await;
        assert!(
            is_listening,
            "timeout: {} does not accept connections",
            self.ready
        );
    }

    /// Waits for the process to exit. Panics after [`HANG_TIMEOUT`].
    pub async fn ended(&mut self) -> ExitStatus {
        tokio::time::timeout(HANG_TIMEOUT, self.child.wait())
            .await
            .expect("the process exits")
            .unwrap()
    }

    /// Kills the process, as after a power loss of its machine.
    pub async fn kill(&mut self) {
        self.child.start_kill().unwrap();
        self.child.wait().await.unwrap();
    }

    /// Whether the process was started so recently that it may not have installed its signal
    /// handlers, so that any signal would end it.
    pub fn is_starting(&self) -> bool {
        self.started.elapsed() < STARTUP_TIME
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Starts a new process with the same settings.
    pub fn restart_process(&mut self) {
        self.child = spawn(&self.program, &self.settings, &self.log);
        self.started = Instant::now();
    }

    /// Returns the value of the first metric whose line starts with `name`, or 0 if there is none
    /// or the process does not listen yet.
    pub async fn metric(&self, name: &str) -> f64 {
        let text = self.page("/metrics").await;
        let line = text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.map_or(0.0, |value| value.parse().unwrap())
    }

    /// Reads a page of the admin server; empty if it does not listen.
    pub async fn page(&self, path: &str) -> String {
        let address = SocketAddr::from((*self.ready.ip(), 9180));
        let Ok(response) = reqwest::get(format!("http://{address}{path}")).await else {
            return String::new();
        };
        response.text().await.unwrap()
    }

    /// Waits until `is_expected` holds for the value of a metric.
    pub async fn wait_for_metric(&self, name: &str, is_expected: impl Fn(f64) -> bool) {
        let reached = poll_until(async || is_expected(self.metric(name).await)).await;
        assert!(reached, "timeout: {name} never has an expected value");
    }
}

impl Drop for ClusterHost {
    fn drop(&mut self) {
        let _removed = std::fs::remove_file(&self.settings);
        if !self.keeps_log {
            let _removed = std::fs::remove_file(&self.log);
        }
    }
}

/// Returns the store key of an upstream's registration.
pub fn registration_key(upstream: &PacketUpstream) -> String {
    format!("servers/i-{:x}", upstream.number)
}

/// Returns the store key of a zone's evacuation.
fn evacuation_key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

/// Polls a condition until it holds; returns false after [`HANG_TIMEOUT`].
async fn poll_until(condition: impl AsyncFn() -> bool) -> bool {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(HANG_TIMEOUT, wait).await.is_ok()
}

/// Starts a process that appends its log to a file.
fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap();
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdout(log)
        .kill_on_drop(true)
        .spawn()
        .unwrap()
}
