//! A small deployment: entry hosts in three zones, upstreams, a store and one fabric per zone.

use std::fmt::Display;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_standin::packet_caller::PacketCaller;
use lagoonproxy_standin::packet_caller::PacketFabric;
use lagoonproxy_standin::packet_store::PacketStore;
use lagoonproxy_standin::packet_store::StoreBehaviour;
use lagoonproxy_standin::packet_store::StorePort;
use lagoonproxy_standin::packet_upstream::PacketUpstream;
use serde_json::Value;
use serde_json::json;
use tokio::process::Child;
use tokio::process::Command;

use crate::store_proxy;

/// The program of the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/host/lagoon-packet";

const PACKET_PORT: u16 = 28_172;
const READY_PORT: u16 = 28_167;
const CONTROL_PORT: u16 = 28_166;
const PEER_PORT: u16 = 28_720;

/// How long the hosts may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

pub type CaseResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Writes what was sent, answered and run, with the time since the start, to the standard output;
/// `run.sh` of the case directs it to record.txt.
pub struct Record {
    started: Instant,
}

impl Record {
    pub fn new() -> Self {
        let started = Instant::now();
        Self { started }
    }

    pub fn line(&self, text: impl Display) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, time: Instant, text: impl Display) {
        let seconds = time.saturating_duration_since(self.started).as_secs_f64();
        println!("{seconds:8.3} s  {text}");
    }
}

/// An entry host that runs as a process of its own.
pub struct Host {
    pub name: String,
    pub packets: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub store: StorePort,
    /// Killed when the host is dropped.
    _child: Child,
}

/// The deployment. Its files lie in a temporary folder, which is removed at the end.
pub struct Cluster {
    pub store: PacketStore,
    pub zones: Vec<&'static str>,
    /// One fabric per zone.
    pub fabrics: Vec<PacketFabric>,
    pub hosts: Vec<Host>,
    pub upstreams: Vec<PacketUpstream>,
    /// Whether nothing passes between the store and any host.
    pub silent: Arc<AtomicBool>,
    seeds: Vec<String>,
    folder: PathBuf,
    next_caller: u8,
    sequence: u64,
}

/// The address of a route that the operator drops.
pub fn dropped() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 11), 443)
}

pub fn ledger() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

impl Cluster {
    /// Starts the deployment, and waits until every host is in rotation.
    pub async fn start(
        zones: Vec<&'static str>,
        hosts_per_zone: &[usize],
        upstreams: usize,
    ) -> CaseResult<Self> {
        let name = format!("lagoonproxy-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let mut cluster = Self {
            store: PacketStore::default(),
            fabrics: zones.iter().map(|_zone| PacketFabric::default()).collect(),
            zones,
            hosts: Vec::new(),
            upstreams: Vec::new(),
            silent: Arc::default(),
            seeds: Vec::new(),
            folder,
            next_caller: 0,
            sequence: 0,
        };
        cluster.publish_routes(1, false);
        for index in 0..upstreams {
            let number = index as u64 + 1;
            let address = SocketAddrV4::new(ip(100 + number as u8), 9_000);
            let upstream = PacketUpstream::start(number, address, PACKET_PORT).await?;
            cluster.upstreams.push(upstream);
            cluster.register(index, "ready");
        }
        let mut firsts = Vec::new();
        let mut members = Vec::new();
        for (zone, count) in hosts_per_zone.iter().enumerate() {
            firsts.push(members.len() as u8 + 1);
            members.extend((0..*count).map(|_host| zone));
        }
        cluster.seeds = firsts
            .iter()
            .map(|first| format!("{}:{CONTROL_PORT}", ip(*first)))
            .collect();
        for zone in members {
            cluster.start_host(zone).await?;
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        let expected: Vec<usize> = hosts_per_zone.to_vec();
        while cluster
            .fabrics
            .iter()
            .map(PacketFabric::hosts)
            .collect::<Vec<_>>()
            != expected
        {
            if Instant::now() > deadline {
                return Err("the hosts are not ready in time".into());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(cluster)
    }

    /// Starts a host in a zone.
    pub async fn start_host(&mut self, zone: usize) -> CaseResult<()> {
        let number = self.hosts.len() as u8 + 1;
        let store = self.store.open_port(StoreBehaviour::Serve).await?;
        let store_address = store_proxy::start(store.address, self.silent.clone()).await?;
        let address = ip(number);
        let name = format!("frontend-{}-{number}", self.zones[zone]);
        let zones: serde_json::Map<String, Value> = self
            .zones
            .iter()
            .map(|zone| ((*zone).to_owned(), json!("casamance")))
            .collect();
        let settings = json!({
            "NodeName": name, "Role": "entry-host", "MachineClass": "frontend",
            "Serves": ["frontend", "control"], "Ip": address.to_string(), "Zone": self.zones[zone],
            "Region": "casamance", "Zones": zones,
            "Listen": {
                "DatagramAddr": format!("{address}:{PACKET_PORT}"),
                "Ready": format!("{address}:{READY_PORT}"),
                "Control": format!("{address}:{CONTROL_PORT}"),
            },
            "InternalPorts": [PEER_PORT, PEER_PORT + 15], "Seeds": self.seeds,
            "Bootstrap": true, "FaultCounted": false,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": null, "Discovery": "platform", "Entry": "announcement", "HeartbeatMs": 770,
            "Contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": {
                "SeedLagS": 3, "ReuseDelayS": 2, "StableWindowMs": 4000, "AckMs": 5000, "CatchUpS": 4,
                "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
                "RollbackSlackMs": 250, "OuterMs": 12000, "RecoveryS": 12, "ReorderWindowMs": 2000,
                "FlowTimeoutS": 60,
            },
            "FlowHash": "steady", "ForwardingMode": "echo",
            "platform": {
                "Address": store_address.to_string(), "ForwardingMode": "read", "WritesPerS": 400,
                "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1_048_576, "MinTtlMs": 1000,
            },
        });
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let child = Command::new(PROGRAM)
            .env("LAGOONPROXY_SETTINGS", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        let packets = SocketAddrV4::new(address, PACKET_PORT);
        let ready = SocketAddrV4::new(address, READY_PORT);
        self.fabrics[zone].watch_readiness(packets, ready);
        self.hosts.push(Host {
            name,

            packets,
            ready,
            store,
            _child: child,
        });
        Ok(())
    }

    /// The zone of an upstream: they alternate.
    pub fn zone_of(&self, upstream: usize) -> usize {
        upstream % self.zones.len()
    }

    /// Writes the registration of an upstream.
    pub fn register(&mut self, index: usize, state: &str) {
        self.sequence += 1;
        let upstream = &self.upstreams[index];
        let entry = json!({
            "Service": "ledger", "Address": upstream.address.to_string(),
            "Zone": self.zones[self.zone_of(index)], "Version": "v1", "Slots": 2, "State": state,
            "WarmupLeftMs": 0, "Sequence": self.sequence, "born": upstream.born_ms,
        });
        self.store
            .put(&format!("servers/i-{:x}", upstream.number), &entry);
    }

    /// Removes the registration of an upstream, as the store does when it has expired.
    pub fn expire(&self, index: usize) {
        let number = self.upstreams[index].number;
        self.store.remove(&format!("servers/i-{number:x}"));
    }

    /// Writes a configuration with the route of the ledger, and with one that is dropped later.
    pub fn publish_routes(&self, version: u64, has_dropped: bool) {
        let route = |name: &str, address: SocketAddrV4| {
            json!({
                "Name": name, "Hostname": address.ip().to_string(), "Prefix": format!("/{}/", address.port()),
                "RouteType": "safe", "TimeoutMs": 2000, "TargetLatencyMs": 150, "Priority": 2,
                "Service": "ledger", "Attempts": 2,
            })
        };
        let mut routes = vec![route("r-ledger", ledger())];
        if has_dropped {
            routes.push(route("r-dropped", dropped()));
        }
        let service = json!({"Name": "ledger", "HealthPath": "/health", "MaxConnections": 2000, "Protocol": "h1", "Tls": false});
        let limits = json!({"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000});
        let config =
            json!({"Version": version, "Routes": routes, "Services": [service], "Limits": limits});
        self.store.put("op/config", &config);
    }

    /// Binds a caller of a zone, with an IP address of its own.
    pub async fn caller(&mut self, zone: usize) -> CaseResult<PacketCaller> {
        self.next_caller += 1;
        let address = SocketAddrV4::new(ip(200 + self.next_caller), PACKET_PORT);
        Ok(PacketCaller::bind(address, self.fabrics[zone].clone()).await?)
    }

    /// The name of the host at an address.
    pub fn host_name(&self, address: Option<SocketAddrV4>) -> Option<&str> {
        let mut hosts = self.hosts.iter();
        let host = hosts.find(|host| Some(host.packets) == address)?;
        Some(&host.name)
    }

    /// The hosts that read the store now, by their status page.
    pub async fn readers(&self) -> CaseResult<Vec<usize>> {
        let mut readers = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let url = format!("http://{}/v1/status", host.ready);
            let status: Value = reqwest::get(url).await?.json().await?;
            if status["reads"] == json!(true) {
                readers.push(index);
            }
        }
        Ok(readers)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

/// A loopback address of this run. The process id is part of it, so that runs do not share any.
fn ip(last: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 2 + (id % 250) as u8, 1 + (id / 250 % 250) as u8, last)
}
