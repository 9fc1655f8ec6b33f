//! The configuration that the control plane experiment publishes: services, shards of upstreams,
//! hosts.

use std::time::Duration;

use lagoonproxy::config_snapshot::HostEntry;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::Version;
use lagoonproxy::published_config::ServiceDoc;
use lagoonproxy::published_config::UpstreamDoc;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::lab_platform::LabPlatform;

/// Upstreams under one key, as the documentation for operators recommends.
const UPSTREAM_SHARD: u32 = 32;
/// Bytes per second that a host may send or read. This is half of the budget of 25 KB/s, because a
/// host receives as much as it sends on average.
pub const SEND_RATE: u32 = 12_500;
/// Services under one key.
const SERVICE_SHARD: u32 = 64;

/// Size of the published configuration.
#[derive(Clone, Copy, Debug)]
pub struct LabSize {
    /// Number of entry hosts, spread evenly over the zones.
    pub hosts: u32,
    /// Number of availability zones.
    pub zones: u32,
    /// Number of services.
    pub services: u32,
    /// Number of upstreams, spread evenly over the zones.
    pub upstreams: u32,
    /// Number of upstreams under one key.
    pub upstream_shard: u32,
    /// Bytes per second that a host may send for control.
    pub send_rate: u32,
}

impl LabSize {
    /// Returns the size of one of the two current fleets.
    pub fn today() -> Self {
        Self {
            hosts: 8,
            zones: 3,
            services: 2,
            upstreams: 18,
            upstream_shard: 6,
            send_rate: SEND_RATE,
        }
    }

    /// Returns the size of a zone with the target number of upstreams and `hosts` hosts.
    pub fn large_zone(hosts: u32) -> Self {
        Self {
            hosts,
            zones: 1,
            services: 1_121,
            upstreams: 5_000,
            upstream_shard: UPSTREAM_SHARD,
            send_rate: SEND_RATE,
        }
    }
}

/// The published documents, kept so that they can be changed and published again.
pub struct LabConfig {
    /// Size of the configuration.
    pub size: LabSize,
    upstreams: Vec<UpstreamDoc>,
    changes: u32,
}

/// Returns the name of a zone.
pub fn zone_name(zone: u32) -> SmolStr {
    format_smolstr!("zone-{zone}")
}

impl LabConfig {
    /// Publishes the whole configuration.
    pub fn publish(size: LabSize, platform: &mut LabPlatform) -> Self {
        let config = Self {
            size,
            upstreams: (0..size.upstreams).map(|id| upstream(size, id)).collect(),
            changes: 0,
        };
        let services: Vec<ServiceDoc> = (0..size.services).map(service).collect();
        for (shard, docs) in services.chunks(SERVICE_SHARD as usize).enumerate() {
            platform.publish(&format!("services/main/{shard}"), json!(docs));
        }
        for shard in 0..size.upstreams.div_ceil(size.upstream_shard) {
            config.publish_shard(shard, platform);
        }
        for zone in 0..size.zones {
            let hosts: Vec<HostEntry> = (0..size.hosts)
                .filter(|host| host % size.zones == zone)
                .map(|host| host_entry(size, host))
                .collect();
            platform.publish(&format!("hosts/{}", zone_name(zone)), json!(hosts));
        }
        config
    }

    /// Changes one upstream: every third change sets a label, the others toggle between active and
    /// draining. Returns the new version.
    pub fn change_one(&mut self, platform: &mut LabPlatform) -> Version {
        self.changes += 1;
        let number = self.changes;
        let index = (number.wrapping_mul(7_919) % self.size.upstreams) as usize;
        let doc = &mut self.upstreams[index];
        if number.is_multiple_of(3) {
            doc.labels
                .insert("tier".into(), format_smolstr!("t{}", number % 5));
        } else if doc.state == UpstreamState::Active {
            doc.state = UpstreamState::Draining;
        } else {
            doc.state = UpstreamState::Active;
        }
        self.publish_shard(index as u32 / self.size.upstream_shard, platform)
    }

    fn publish_shard(&self, shard: u32, platform: &mut LabPlatform) -> Version {
        let length = self.size.upstream_shard as usize;
        let begin = shard as usize * length;
        let end = (begin + length).min(self.upstreams.len());
        let key = format!("upstreams/main/{shard}");
        platform.publish(&key, json!(self.upstreams[begin..end]))
    }
}

fn service(id: u32) -> ServiceDoc {
    ServiceDoc {
        id,
        name: format_smolstr!("service-{id}"),
        address: ([10, 0, (id / 250) as u8, (id % 250) as u8], 443).into(),
        selector: format!("service=service-{id}"),
    }
}

fn upstream(size: LabSize, id: u32) -> UpstreamDoc {
    let service = id % size.services;
    UpstreamDoc {
        id,
        name: format_smolstr!("service-{service}-{id}"),
        address: ([10, 1, (id / 250) as u8, (id % 250) as u8], 8_443).into(),
        health_address: None,
        zone: zone_name(id % size.zones),
        incarnation: 1,
        labels: [
            ("service".into(), format_smolstr!("service-{service}")),
            ("tier".into(), "t0".into()),
        ]
        .into(),
        state: UpstreamState::Active,
        slots: 2,
        connections: 2_000,
    }
}

fn host_entry(size: LabSize, id: HostId) -> HostEntry {
    let octets = [127, 1, (id / 250) as u8, (id % 250) as u8];
    HostEntry {
        id,
        zone: zone_name(id % size.zones),
        cell: id / 8,
        peer_address: (octets, 6_000).into(),
        control_address: (octets, 7_000).into(),
        leaving: false,
    }
}

/// Returns the one-way delay between hosts of two zones or of the same zone.
pub fn link_delay(left: u32, right: u32) -> Duration {
    if left == right {
        Duration::from_micros(500)
    } else {
        Duration::from_millis(4)
    }
}
