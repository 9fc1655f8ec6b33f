//! The whole path in one process: platform, entry hosts, upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonproxy::config_snapshot::HostEntry;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy::daemon_settings::DEFAULT_REGION;
use lagoonproxy::daemon_settings::EntrySettings;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::load_settings::LoadSettings;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::published_config::ServiceDoc;
use lagoonproxy::published_config::UpstreamDoc;
use lagoonproxy::shared_key::SharedKey;
use lagoonproxy_daemon::control_daemon::ControlDaemon;
use lagoonproxy_daemon::entry_daemon::EntryDaemon;
use tokio::task::JoinHandle;

use crate::platform::Platform;
use crate::upstream::Upstream;

/// Key of the demonstration's hosts.
const SHARED_KEY: [u8; 16] = *b"lagoonproxy demo";

/// A service of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoService {
    /// Its number.
    pub id: u32,
    /// Its name, also the value of its upstreams' `service` label.
    pub name: &'static str,
    /// Where callers send to.
    pub address: SocketAddr,
    /// How many upstreams it has.
    pub upstreams: u32,
}

/// A running system.
pub struct Demo {
    /// The platform.
    pub platform: Platform,
    /// Where the fabric sprays to.
    pub caller_addresses: Vec<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

impl Demo {
    /// Starts `hosts` entry hosts spread over `zones` and the upstreams of `services`.
    pub async fn start(
        hosts: u32,
        zones: &[&str],
        services: &[DemoService],
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let platform = Platform::default();
        let platform_address = platform.start().await?;
        let mut demo = Self {
            platform,
            caller_addresses: Vec::new(),
            tasks: Vec::new(),
        };
        let config = demo.start_upstreams(zones, services).await?;
        demo.publish_config(&config);
        let mut entries = Vec::new();
        for (host, zone) in (0..hosts).zip(zones.iter().cycle()) {
            entries.push(demo.start_host(host, zone, platform_address).await?);
        }
        demo.publish_hosts(&entries);
        Ok(demo)
    }

    fn publish_config(&self, config: &PublishedConfig) {
        self.platform.publish("services/main/0", &config.services);
        let mut by_zone: BTreeMap<ZoneName, Vec<&UpstreamDoc>> = BTreeMap::new();
        for upstream in &config.upstreams {
            by_zone
                .entry(upstream.zone.clone())
                .or_default()
                .push(upstream);
        }
        for (zone, upstreams) in by_zone {
            self.platform
                .publish(&format!("upstreams/{zone}/0"), &upstreams);
        }
    }

    fn publish_hosts(&self, hosts: &[HostEntry]) {
        let mut by_zone: BTreeMap<ZoneName, Vec<&HostEntry>> = BTreeMap::new();
        for host in hosts {
            by_zone.entry(host.zone.clone()).or_default().push(host);
        }
        for (zone, hosts) in by_zone {
            self.platform.publish(&format!("hosts/{zone}"), &hosts);
        }
    }

    async fn start_upstreams(
        &mut self,
        zones: &[&str],
        services: &[DemoService],
    ) -> Result<PublishedConfig, Box<dyn std::error::Error>> {
        let mut config = PublishedConfig::default();
        for service in services {
            config.services.push(ServiceDoc {
                id: service.id,
                name: service.name.into(),
                address: service.address,
                selector: format!("service={}", service.name),
            });
            for (_index, zone) in (0..service.upstreams).zip(zones.iter().cycle()) {
                let id = config.upstreams.len() as UpstreamId;
                let upstream = Upstream::bind(id, service.name).await?;
                config.upstreams.push(UpstreamDoc {
                    id,
                    name: format!("{}-{id}", service.name).into(),
                    address: upstream.address()?,
                    zone: (*zone).into(),
                    health_address: None,
                    incarnation: 0,
                    labels: [("service".into(), service.name.into())].into(),
                    state: UpstreamState::Active,
                    slots: 2,
                    connections: 2_000,
                });
                self.tasks.push(tokio::spawn(upstream.run()));
            }
        }
        Ok(config)
    }

    async fn start_host(
        &mut self,
        host: HostId,
        zone: &str,
        platform_address: SocketAddr,
    ) -> Result<HostEntry, Box<dyn std::error::Error>> {
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
            admin_address: None,
            shared_key: SharedKey::new(SHARED_KEY),
            flow_idle: Duration::from_secs(7_200),
            max_datagram_age: Duration::from_secs(1),
            drain_limit: Duration::from_secs(30),
            load: LoadSettings::default(),
        })
        .await?;
        let addresses = entry.addresses()?;
        self.caller_addresses.push(addresses.caller);
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
        Ok(HostEntry {
            id: host,
            zone: zone.into(),
            cell: 0,
            peer_address: addresses.peer,
            control_address,
            leaving: false,
        })
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// How long the demonstration's callers wait for an answer.
pub const CALL_BUDGET: Duration = Duration::from_secs(10);
