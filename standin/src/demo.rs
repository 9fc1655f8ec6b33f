//! Runs a whole system in one process: platform, entry hosts, upstreams and fabric.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonproxy::config_snapshot::HostEntry;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy::daemon_settings::DEFAULT_REGION;
use lagoonproxy::daemon_settings::EntrySettings;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::ServiceId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::load_settings::LoadSettings;
use lagoonproxy::published_config::ServiceDoc;
use lagoonproxy::published_config::UpstreamDoc;
use lagoonproxy::shared_key::SharedKey;
use lagoonproxy_daemon::control_daemon::ControlDaemon;
use lagoonproxy_daemon::entry_daemon::EntryDaemon;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::task::JoinHandle;

use crate::fabric::Fabric;
use crate::fabric::FabricHost;
use crate::fabric::FabricSettings;
use crate::platform::Platform;
use crate::ready_wait::wait_until_ready;
use crate::service_time::ServiceTime;
use crate::upstream::RunReport;
use crate::upstream::Upstream;
use crate::upstream::UpstreamHandle;
use crate::upstream_core::UpstreamSettings;

/// Key that the demonstration's hosts share.
const SHARED_KEY: [u8; 16] = *b"lagoonproxy demo";
/// Requests that an upstream runs concurrently, and also the length of its queue.
const SLOTS: u32 = 2;
/// Maximum number of open flows of an upstream.
const CONNECTIONS: u32 = 2_000;

/// A service of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoService {
    /// The published number of the service.
    pub id: ServiceId,
    /// The service's name, also the value of its upstreams' `service` label.
    pub name: &'static str,
    /// The virtual address that callers send to.
    pub address: SocketAddr,
    /// Number of upstreams.
    pub upstreams: u32,
}

/// The ledger and certdocs services of Ziguinchor.
pub const DEMO_SERVICES: [DemoService; 2] = [
    DemoService {
        id: 1,
        name: "ledger",
        address: SocketAddr::new(
            std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1)),
            700,
        ),
        upstreams: 14,
    },
    DemoService {
        id: 2,
        name: "certdocs",
        address: SocketAddr::new(
            std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 2)),
            443,
        ),
        upstreams: 4,
    },
];

/// The availability zones of Ziguinchor.
pub const DEMO_ZONES: [&str; 3] = ["zig-a", "zig-b", "bign"];

/// A running system; its tasks are aborted when it is dropped.
pub struct Demo {
    /// The platform stand-in.
    pub platform: Platform,
    /// The fabric that spreads callers' datagrams over the entry hosts.
    pub fabric: Fabric,
    /// Admin addresses of the entry daemons.
    pub admin_addresses: Vec<SocketAddr>,
    upstreams: Vec<UpstreamHandle>,
    tasks: Vec<JoinHandle<()>>,
}

impl Demo {
    /// Starts `hosts` entry hosts and the upstreams of `services`, both distributed over `zones` in
    /// turn, and returns once every host is ready.
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(
        hosts: u32,
        zones: &[&str],
        services: &[DemoService],
        fabric: FabricSettings,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let platform = Platform::default();
        let platform_address = platform.start().await?;
        let mut demo = Self {
            platform,
            fabric: Fabric::new(fabric, Vec::new()),
            admin_addresses: Vec::new(),
            upstreams: Vec::new(),
            tasks: Vec::new(),
        };
        let upstreams = demo.start_upstreams(zones, services).await?;
        publish_by_zone(&demo.platform, "upstreams", "/0", &upstreams, |doc| {
            &doc.zone
        });
        demo.platform
            .publish("services/main/0", &service_docs(services));
        let mut entries = Vec::new();
        let mut fabric_hosts = Vec::new();
        for (host, zone) in (0..hosts).zip(zones.iter().cycle()) {
            let (entry, address) = demo.start_host(host, zone, platform_address).await?;
            fabric_hosts.push(FabricHost {
                zone: entry.zone.clone(),
                address,
            });
            entries.push(entry);
        }
        publish_by_zone(&demo.platform, "hosts", "", &entries, |entry| &entry.zone);
        demo.fabric.set_hosts(fabric_hosts);
        wait_until_ready(&demo.admin_addresses).await;
        Ok(demo)
    }

    /// Returns the run records of each upstream.
    pub fn run_reports(&self) -> Vec<RunReport> {
        let records = self.upstreams.iter().map(UpstreamHandle::records);
        records
            .map(|records| RunReport {
                totals: records.totals,
                requests: records.entries().collect(),
            })
            .collect()
    }

    async fn start_upstreams(
        &mut self,
        zones: &[&str],
        services: &[DemoService],
    ) -> std::io::Result<Vec<UpstreamDoc>> {
        let mut docs = Vec::new();
        for service in services {
            for (_index, zone) in (0..service.upstreams).zip(zones.iter().cycle()) {
                let id = docs.len() as UpstreamId;
                docs.push(self.start_upstream(id, zone, service).await?);
            }
        }
        Ok(docs)
    }

    async fn start_upstream(
        &mut self,
        id: UpstreamId,
        zone: &str,
        service: &DemoService,
    ) -> std::io::Result<UpstreamDoc> {
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let upstream = Upstream::bind(UpstreamSettings {
            id,
            address: any_port,
            health_address: any_port,
            services: vec![service.address],
            incarnation: 0,
            slots: SLOTS,
            queue: SLOTS as usize,
            connections: CONNECTIONS as usize,
            service_time: ServiceTime::Exponential { mean_ms: 4.0 },
            cold_start: None,
            seed: 0,
        })
        .await?;
        let doc = UpstreamDoc {
            id,
            name: format!("{}-{id}", service.name).into(),
            address: upstream.address()?,
            health_address: Some(upstream.health_address()?),
            zone: zone.into(),
            incarnation: 0,
            labels: [("service".into(), service.name.into())].into(),
            state: UpstreamState::Active,
            slots: SLOTS,
            connections: CONNECTIONS,
        };
        self.upstreams.push(upstream.handle());
        self.tasks.push(tokio::spawn(async move {
            if let Err(error) = upstream.run().await {
                log::error!("upstream {id}: {error}");
            }
        }));
        Ok(doc)
    }

    async fn start_host(
        &mut self,
        host: HostId,
        zone: &str,
        platform_address: SocketAddr,
    ) -> Result<(HostEntry, SocketAddr), Box<dyn std::error::Error>> {
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let control = ControlDaemon::bind(&ControlSettings {
            host,
            control_address: any_port,
            platform_address,
            zone: zone.into(),
            region: DEFAULT_REGION.into(),
            admin_address: None,
            shared_key: SharedKey::new(SHARED_KEY),
            byte_budget: 3_000,
            read_budget: 12_000,
            zones: Vec::new(),
            seed_peers: Vec::new(),
        })
        .await?;
        let control_address = control.address()?;
        let entry = EntryDaemon::bind(&EntrySettings {
            host,
            zone: zone.into(),
            caller_address: any_port,
            peer_address: any_port,
            upstream_address: any_port,
            control_address,
            admin_address: Some(any_port),
            shared_key: SharedKey::new(SHARED_KEY),
            flow_idle: Duration::from_secs(7_200),
            max_datagram_age: Duration::from_secs(1),
            drain_limit: Duration::from_secs(30),
            load: LoadSettings::default(),
        })
        .await?;
        let addresses = entry.addresses()?;
        self.admin_addresses.extend(addresses.admin);
        self.tasks.push(tokio::spawn(async move {
            if let Err(error) = control.run(std::future::pending()).await {
                log::error!("host {host}: control daemon: {error}");
            }
        }));
        self.tasks.push(tokio::spawn(async move {
            if let Err(error) = entry.run(std::future::pending()).await {
                log::error!("host {host}: entry daemon: {error}");
            }
        }));
        let entry = HostEntry {
            id: host,
            zone: zone.into(),
            cell: 0,
            peer_address: addresses.peer,
            control_address,
            leaving: false,
        };
        Ok((entry, addresses.caller))
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Returns the addresses of services by name.
pub fn service_addresses(services: &[DemoService]) -> BTreeMap<SmolStr, SocketAddr> {
    let named = services.iter();
    named
        .map(|service| (service.name.into(), service.address))
        .collect()
}

fn service_docs(services: &[DemoService]) -> Vec<ServiceDoc> {
    services
        .iter()
        .map(|service| ServiceDoc {
            id: service.id,
            name: service.name.into(),
            address: service.address,
            selector: format!("service={}", service.name),
        })
        .collect()
}

/// Publishes entries under one key per zone: `<kind>/<zone><suffix>`.
pub fn publish_by_zone<T: Serialize>(
    platform: &Platform,
    kind: &str,
    suffix: &str,
    entries: &[T],
    zone_of: impl Fn(&T) -> &ZoneName,
) {
    let mut by_zone: BTreeMap<&ZoneName, Vec<&T>> = BTreeMap::new();
    for entry in entries {
        by_zone.entry(zone_of(entry)).or_default().push(entry);
    }
    for (zone, entries) in by_zone {
        platform.publish(&format!("{kind}/{zone}{suffix}"), &entries);
    }
}
