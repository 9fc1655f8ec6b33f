//! Passes the load of this zone to the spill policy, and exchanges load with other zones.

use std::net::SocketAddrV4;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::ids::ServiceIndex;
use crate::load::load_state::REQUEST_LOAD;
use crate::load::load_tracker::AddressedDatagram;
use crate::load::zone_load::SpilledRequests;
use crate::load::zone_load::ZoneLoadReport;
use crate::load::zone_load::slot_pressure_or_max;
use crate::packet_action::PacketOutput;
use crate::packet_core::PacketCore;
use crate::peers::peer_datagram::PeerDatagram;
use crate::selection::zone_spill::LocalLoad;
use crate::selection::zone_spill::SpillInput;
use crate::selection::zone_spill::ZoneSpill;
use crate::upstreams::upstream_record::UpstreamRecord;

impl PacketCore {
    /// The load of other zones, and the shares of new flows that spill to them.
    pub fn spill(&self) -> &ZoneSpill {
        &self.spill
    }

    /// Updates the shares of new flows that spill to other zones.
    pub(crate) fn tick_spill(&mut self, now: Instant, output: &mut PacketOutput) {
        let services = self.spill_loads(now);
        let input = SpillInput {
            is_aggregator: self.load.is_aggregator(),
            services: &services,
            evacuated: self.upstreams.evacuated(),
        };
        self.spill.tick(now, input, &mut output.events);
    }

    /// Returns the reports to other zones that are due; none while no service is contended.
    pub(crate) fn due_zone_reports(&mut self, now: Instant) -> Vec<AddressedDatagram> {
        let services = self.spill_loads(now);
        let input = SpillInput {
            is_aggregator: self.load.is_aggregator(),
            services: &services,
            evacuated: self.upstreams.evacuated(),
        };
        self.spill.due_datagrams(now, input, &self.peers)
    }

    /// Adds the load of other zones to the digests that are due.
    pub(crate) fn add_zones(&self, now: Instant, due: &mut [AddressedDatagram]) {
        for addressed in due {
            if let PeerDatagram::Digest(digest) = &mut addressed.datagram {
                digest.zones = self.spill.entries(now, &self.spill_loads(now));
                digest.truncate_to_fit(&self.upstreams.config().exchange);
            }
        }
    }

    /// Merges the load of another zone, and returns the reply if the sender wants one.
    pub fn handle_zone_load(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        report: &ZoneLoadReport,
    ) -> Option<AddressedDatagram> {
        if !self.spill.handle_report(now, from, report) {
            return None;
        }
        let services = 0..self.upstreams.pools().len() as ServiceIndex;
        let is_wanted = |service: &ServiceIndex| {
            let tag = self.upstreams.pool(*service).tag;
            let is_reported = report.services.iter().any(|load| load.service == tag);
            is_reported || self.load.contention(now, *service).is_contended
        };
        let services = services.filter(is_wanted);
        let loads: Vec<LocalLoad> = services
            .map(|service| self.local_load(now, service))
            .collect();
        let reply = self.spill.reply_to(report, &loads);
        Some(AddressedDatagram {
            datagram: PeerDatagram::ZoneLoad(reply),
            targets: vec![from],
        })
    }

    /// Returns the load of the services that are contended or whose flows spill to other zones.
    fn spill_loads(&self, now: Instant) -> Vec<LocalLoad> {
        let services = 0..self.upstreams.pools().len() as ServiceIndex;
        let is_wanted = |service: &ServiceIndex| {
            let is_contended = self.load.contention(now, *service).is_contended;
            is_contended || !self.spill.shares(*service).is_empty()
        };
        let services = services.filter(is_wanted);
        services
            .map(|service| self.local_load(now, service))
            .collect()
    }

    /// Returns the load of a service in this zone: from the digest if there is one, otherwise this
    /// host's own counts times the number of hosts.
    fn local_load(&self, now: Instant, service: ServiceIndex) -> LocalLoad {
        let pool = self.upstreams.pool(service);
        let contention = self.load.contention(now, service);
        let hosts = self.peers.local_hosts(now) as u32;
        let records = |members: &'_ [u32]| {
            let records = members.iter().map(|index| self.upstreams.get(*index));
            let usable = records.filter(|record| record.takes_flows() && !record.is_degraded());
            usable.collect::<Vec<&UpstreamRecord>>()
        };
        let local = records(&pool.local);
        let slots: u32 = local.iter().map(|record| record.slots).sum();
        let counted = local.iter().map(|record| record.requests(hosts));
        let counted = counted
            .fold(0, u32::saturating_add)
            .saturating_mul(REQUEST_LOAD);
        let in_progress = match contention.updated_at {
            Some(_) => contention.pressure.saturating_mul(slots),
            None => counted,
        };
        let mut responding: Vec<ZoneName> = Vec::new();
        let mut sent: Vec<SpilledRequests> = Vec::new();
        for record in records(&pool.remote) {
            if !responding.contains(&record.zone) {
                responding.push(record.zone.clone());
            }
            add_spilled_requests(&mut sent, record, hosts);
        }
        LocalLoad {
            index: service,
            name: pool.name.clone(),
            tag: pool.tag,
            slots,
            in_progress,
            pressure: match slots {
                0 => 0,
                _ => contention
                    .pressure
                    .max(slot_pressure_or_max(in_progress, slots)),
            },
            is_contended: contention.is_contended,
            objective: self.routes.service_objective(service),
            sent,
            responding,
        }
    }
}

/// Adds the requests that this zone has in progress at an upstream of another zone to `sent`.
fn add_spilled_requests(sent: &mut Vec<SpilledRequests>, record: &UpstreamRecord, hosts: u32) {
    let counted = record.requests(hosts).saturating_mul(hosts);
    let in_progress = match record.load.updated_at {
        Some(_) => record.load.in_progress,
        None => counted.saturating_mul(REQUEST_LOAD),
    };
    if in_progress == 0 {
        return;
    }
    match sent.iter_mut().find(|visit| visit.zone == record.zone) {
        Some(visit) => visit.in_progress = visit.in_progress.saturating_add(in_progress),
        None => sent.push(SpilledRequests {
            zone: record.zone.clone(),
            in_progress,
        }),
    }
}
