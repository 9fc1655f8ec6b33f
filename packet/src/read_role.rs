//! Whether this host reads the store for its zone.
//!
//! Load pattern: every host that watches pays for each change and each watch that ends; with 90
//! hosts that was the largest price of a calm day. One host a zone reads and hands changes on. It
//! is the one with the most processor time, and of equals the first by rendezvous rank over those
//! that are heard: no election, no state. When it is no longer heard to read, the next takes over,
//! and a host that hears nobody reads for itself.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::HostId;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::reader_duty::DutySettings;
use lagoonproxy::reader_duty::ReaderDuty;
use lagoonproxy::reader_rank::ranked;
use xxhash_rust::xxh3::xxh3_64;

use crate::peer_table::PeerTable;

/// Readers of a zone. One is enough, for the readers of other zones show when it falls behind.
const READERS: usize = 1;

/// How much longer each further host in rank waits before it reads as well.
const STAGGER: Duration = Duration::from_millis(300);

/// How long after its start a host leaves the reading to others although it has heard nobody yet.
/// All hosts of a fleet start within 0.3 s; beats follow each 0.5 s.
const HEARING: Duration = Duration::from_millis(1200);

/// Whether this host reads the store for its zone.
pub struct ReadRole {
    own: HostId,
    capacity: u32,
    zone_key: u64,
    /// `None` until the first question.
    duty: Option<ReaderDuty>,
    started: Option<Instant>,
}

impl ReadRole {
    /// The role of the host at `own`, with so many thousandths of a core.
    pub fn new(own: SocketAddrV4, zone: &ZoneName, capacity: u32) -> Self {
        Self {
            own: host_id(own),
            capacity,
            zone_key: xxh3_64(zone.as_bytes()),
            duty: None,
            started: None,
        }
    }

    /// Whether to read now.
    pub fn decide(&mut self, now: Instant, peers: &PeerTable) -> bool {
        let started = *self.started.get_or_insert(now);
        let ranking = self.ranking(now, peers);
        let alone = ranking.len() == 1;
        if alone && now.saturating_duration_since(started) < HEARING {
            return false;
        }
        let settings = DutySettings {
            readers: READERS,
            stagger: STAGGER,
        };
        let own = self.own;
        let duty = self
            .duty
            .get_or_insert_with(|| ReaderDuty::new(now, own, settings, 0));
        duty.learn_ranking(now, ranking);
        duty.decide(now, |host| peers.is_reading(now, host_address(host)), alone)
    }

    /// The hosts of the zone that may read, the best first.
    fn ranking(&self, now: Instant, peers: &PeerTable) -> Vec<HostId> {
        let mut hosts: Vec<(HostId, u32)> = peers
            .near_readers(now)
            .map(|(address, capacity)| (host_id(address), capacity))
            .collect();
        hosts.push((self.own, self.capacity));
        let order = ranked(self.zone_key, hosts.iter().map(|(host, _capacity)| *host));
        hosts.sort_by_key(|(host, capacity)| {
            let place = order.iter().position(|other| other == host);
            (std::cmp::Reverse(*capacity), place)
        });
        hosts.into_iter().map(|(host, _capacity)| host).collect()
    }
}

/// What ranks speak of: the ports of all hosts are alike, so that the IP number tells them apart.
fn host_id(address: SocketAddrV4) -> HostId {
    u32::from(*address.ip())
}

fn host_address(host: HostId) -> Ipv4Addr {
    Ipv4Addr::from(host)
}
