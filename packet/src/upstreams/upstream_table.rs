//! The table of upstreams that a host knows, by flow tag, by name and by service.
//!
//! Records of deregistered upstreams are kept until no flow of theirs can still be open, so that
//! packets of open flows are still forwarded.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;
use lagoonproxy::ids::ZoneName;
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::warmup_admission::WarmupAdmission;
use crate::admission::warmup_admission::WarmupLimit;
use crate::flows::flow_cost::FlowCosts;
use crate::health::outlier_detector::OutlierDetector;
use crate::ids::FlowTag;
use crate::ids::Revision;
use crate::ids::ServiceIndex;
use crate::ids::ServiceName;
use crate::ids::ServiceTag;
use crate::ids::UpstreamIndex;
use crate::ids::UpstreamName;
use crate::load::load_report::service_tag;
use crate::peers::peer_heartbeat::FailureReport;
use crate::peers::peer_heartbeat::MAX_FAILURE_REPORTS;
use crate::peers::peer_heartbeat::MAX_UPSTREAM_REPORTS;
use crate::peers::peer_heartbeat::OutcomeReport;
use crate::peers::peer_heartbeat::UpstreamReport;
use crate::policy_config::LapseConfig;
use crate::policy_config::PolicyConfig;
use crate::routes::route_config::ConnectionLimit;
use crate::routes::route_config::RequestPriority;
use crate::selection::load_weight::slot_weight;
use crate::upstreams::upstream_entry::EntryState;
use crate::upstreams::upstream_entry::UpstreamEntry;
use crate::upstreams::upstream_record::RegistrationState;
use crate::upstreams::upstream_record::UpstreamRecord;
use crate::upstreams::zone_evacuation::EvacuatedZones;
use crate::upstreams::zone_evacuation::ZoneEvacuation;

/// The upstreams of one service.
#[derive(Clone, Debug)]
pub struct ServicePool {
    /// Name of the service.
    pub name: ServiceName,
    /// Hash of the name in messages between hosts.
    pub tag: ServiceTag,
    /// Upstreams in this host's zone that are not deregistered; empty if the zone is evacuated.
    pub local: Vec<UpstreamIndex>,
    /// Upstreams in other zones that are neither deregistered nor evacuated.
    pub remote: Vec<UpstreamIndex>,
    /// Upstreams in evacuated zones, including this host's, that are not deregistered.
    pub evacuated: Vec<UpstreamIndex>,
    /// Limit on the new flows of upstreams that are warming up; `None` without a limit.
    pub warmup: Option<WarmupLimit>,
    /// Whether placement and admission take its load into account; see [`crate::load`].
    pub is_contended: bool,
    /// Priorities of the routes that lead to it, in ascending order.
    pub priorities: Vec<RequestPriority>,
    /// Requests in progress per slot in this host's zone, in parts of
    /// [`crate::load::load_state::REQUEST_LOAD`], raised while upstreams shed.
    pub pressure: u32,
    /// Maximum number of connections of one upstream; `None` if none is published.
    pub connection_limit: Option<u32>,
    /// Mean weight per slot of its local upstreams; greater than 0.
    pub mean_weight: f64,
}

/// Every upstream that is registered, or is deregistered and may still have flows.
#[derive(Debug)]
pub struct UpstreamTable {
    zone: ZoneName,
    max_flow_age: Duration,
    pub(crate) config: PolicyConfig,
    /// Records by [`UpstreamIndex`]. Those at indices in `unused` are not in use.
    pub(crate) records: Vec<UpstreamRecord>,
    /// Indices of unused records.
    unused: Vec<UpstreamIndex>,
    /// Every record in use.
    by_name: HashMap<UpstreamName, UpstreamIndex>,
    /// Every record in use that has a tag.
    by_tag: HashMap<FlowTag, UpstreamIndex>,
    pools: Vec<ServicePool>,
    pool_by_name: HashMap<ServiceName, ServiceIndex>,
    pub(crate) evacuated: EvacuatedZones,
}

/// Upstreams whose grace time has ended or whose record was removed, as returned by
/// [`UpstreamTable::tick`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiredUpstreams {
    /// Upstreams whose lapsed registration has expired, with its state before.
    pub deregistered: Vec<(UpstreamIndex, RegistrationState)>,
    /// Upstreams whose held registration has been applied.
    pub registered: Vec<UpstreamIndex>,
    /// Indices of records that have been removed, and that other upstreams may get.
    pub removed: Vec<UpstreamIndex>,
}

/// Returns the tag of an upstream's flows. It depends on the name alone, so that all hosts compute
/// the same tag.
pub fn flow_tag(name: &UpstreamName) -> FlowTag {
    let hash = xxh3_64(name.as_bytes());
    let tag = (hash ^ (hash >> 32)) as FlowTag;
    tag.max(1)
}

impl UpstreamTable {
    /// Returns the empty table of a host in `zone`. Records of deregistered upstreams are kept until
    /// flows of theirs through any host are older than `max_flow_age`.
    pub fn new(zone: ZoneName, max_flow_age: Duration, config: PolicyConfig) -> Self {
        Self {
            zone,
            max_flow_age,
            config,
            records: Vec::new(),
            unused: Vec::new(),
            by_name: HashMap::default(),
            by_tag: HashMap::default(),
            pools: Vec::new(),
            pool_by_name: HashMap::default(),
            evacuated: EvacuatedZones::new(),
        }
    }

    /// Returns the policy parameters.
    pub fn config(&self) -> &PolicyConfig {
        &self.config
    }

    /// Returns the longest lifetime of a flow.
    pub fn max_flow_age(&self) -> Duration {
        self.max_flow_age
    }

    /// Returns the upstream with this tag, deregistered ones included.
    pub fn by_tag(&self, tag: FlowTag) -> Option<UpstreamIndex> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns the upstream with this name, deregistered ones included.
    pub fn by_name(&self, name: &UpstreamName) -> Option<UpstreamIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the record of an upstream.
    pub fn get(&self, index: UpstreamIndex) -> &UpstreamRecord {
        &self.records[index as usize]
    }

    /// Returns the record of an upstream for modification.
    pub fn get_mut(&mut self, index: UpstreamIndex) -> &mut UpstreamRecord {
        &mut self.records[index as usize]
    }

    /// Returns the index of a service; adds an empty pool if the service is new.
    pub fn service(&mut self, name: &ServiceName) -> ServiceIndex {
        if let Some(index) = self.pool_by_name.get(name) {
            return *index;
        }
        let index = self.pools.len() as ServiceIndex;
        self.pools.push(ServicePool {
            name: name.clone(),
            tag: service_tag(name),
            local: Vec::new(),
            remote: Vec::new(),
            evacuated: Vec::new(),
            warmup: None,
            is_contended: false,
            priorities: Vec::new(),
            pressure: 0,
            connection_limit: None,
            mean_weight: slot_weight(&self.config.load_weight),
        });
        self.pool_by_name.insert(name.clone(), index);
        index
    }

    /// Returns the pool of a service.
    pub fn pool(&self, service: ServiceIndex) -> &ServicePool {
        &self.pools[service as usize]
    }

    /// Returns every record in use, in no particular order.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.by_name.values().map(|index| self.get(*index))
    }

    /// Returns the index of every record in use, in no particular order.
    pub fn indices(&self) -> impl Iterator<Item = UpstreamIndex> {
        self.by_name.values().copied()
    }

    /// Adds or replaces a registration; returns the index of the upstream.
    ///
    /// Resets failure and outlier detection if the start time or the address has changed, since the
    /// name then belongs to another process.
    pub fn register(&mut self, now: Instant, entry: &UpstreamEntry) -> UpstreamIndex {
        let service = self.service(&entry.service);
        let index = match self.by_name(&entry.name) {
            Some(index) => {
                self.remove_from_pool(index);
                index
            }
            None => self.insert(now, entry, service),
        };
        let is_local = entry.zone == self.zone;
        let record = self.get_mut(index);
        let restarted = record.born != entry.born || record.address != entry.address;
        if restarted {
            record.failure_detector.reset();
            record.outlier_detector = OutlierDetector::of_new_process(now);
        }
        record.number = entry.number;
        record.address = entry.address;
        record.service = service;
        record.zone = entry.zone.clone();
        record.is_local = is_local;
        record.slots = entry.slots;
        record.born = entry.born;
        record.write_count = entry.write_count;
        record.held = None;
        record.warm_at = now + entry.warmup_left;
        record.warmup.is_claimed = false;
        record.registration = match entry.state {
            EntryState::Ready => RegistrationState::Ready,
            EntryState::Draining => RegistrationState::Draining,
        };
        self.add_to_pool(index);
        index
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Returns the number of open flows through this host, active or idle, to upstreams of each
    /// evacuated zone.
    pub fn evacuated_flows(&self) -> BTreeMap<&ZoneName, u32> {
        let zones = self.evacuated.keys();
        let mut flows: BTreeMap<&ZoneName, u32> = zones.map(|zone| (zone, 0)).collect();
        for record in self.records() {
            if let Some(count) = flows.get_mut(&record.zone) {
                *count += record.open_flows();
            }
        }
        flows
    }

    /// Evacuates a zone: it gets no new flows until it is restored. If it is already evacuated, the
    /// revision is updated and the evacuation no longer expires.
    pub fn evacuate(&mut self, now: Instant, zone: &ZoneName, revision: Revision) {
        if let Some(evacuation) = self.evacuated.get_mut(zone) {
            evacuation.revision = revision;
            evacuation.expires_at = None;
            return;
        }
        let evacuation = ZoneEvacuation {
            revision,
            applied_at: now,
            expires_at: None,
        };
        self.evacuated.insert(zone.clone(), evacuation);
        self.reassign_zone(zone);
    }

    /// Ends the evacuation of a zone. Its upstreams may have become cold without having published
    /// it, so that those of services with a warm-up limit warm up from now.
    pub fn restore(&mut self, now: Instant, zone: &ZoneName) {
        if self.evacuated.remove(zone).is_none() {
            return;
        }
        self.reassign_zone(zone);
        let members: Vec<UpstreamIndex> = self
            .indices()
            .filter(|index| self.get(*index).zone == *zone)
            .collect();
        for index in members {
            self.restart_warmup(now, index);
        }
    }

    /// Replaces the warm-up limits of all services.
    pub fn set_warmup_limits<'a>(
        &mut self,
        limits: impl Iterator<Item = (&'a ServiceName, WarmupLimit)>,
    ) {
        for pool in &mut self.pools {
            pool.warmup = None;
        }
        for (name, limit) in limits {
            let service = self.service(name);
            self.pools[service as usize].warmup = Some(limit);
        }
    }

    /// Replaces the connection limits of all services.
    pub fn set_connection_limits(&mut self, limits: &[ConnectionLimit]) {
        for pool in &mut self.pools {
            pool.connection_limit = None;
        }
        for limit in limits {
            let service = self.service(&limit.service);
            self.pools[service as usize].connection_limit = Some(limit.connections);
        }
    }

    /// Sets whether a service is contended.
    pub fn set_contended(&mut self, service: ServiceIndex, is_contended: bool) {
        self.pools[service as usize].is_contended = is_contended;
    }

    /// Sets the priorities of the routes that lead to a service, in ascending order.
    pub fn set_priorities(&mut self, service: ServiceIndex, priorities: Vec<RequestPriority>) {
        self.pools[service as usize].priorities = priorities;
    }

    /// Sets the pressure of a service; see [`ServicePool::pressure`].
    pub fn set_pressure(&mut self, service: ServiceIndex, pressure: u32) {
        self.pools[service as usize].pressure = pressure;
    }

    /// Returns the pool of every service, by [`ServiceIndex`].
    pub fn pools(&self) -> &[ServicePool] {
        &self.pools
    }

    /// Whether new flows to an upstream are limited because it is warming up.
    pub fn is_warming(&self, now: Instant, record: &UpstreamRecord) -> bool {
        record.warm_at > now && self.pool(record.service).warmup.is_some()
    }

    /// Whether this host may probe an ejected upstream. The upstream may have restarted cold, so
    /// that in a service with a warm-up limit only the host that claims it may, within the limit.
    pub fn admits_probe(&self, now: Instant, record: &UpstreamRecord) -> bool {
        let limit = self.pool(record.service).warmup;
        limit.is_none() || record.warmup.admits(now)
    }

    /// Whether any service has a warm-up limit.
    pub fn has_warmup_limits(&self) -> bool {
        self.pools.iter().any(|pool| pool.warmup.is_some())
    }

    /// Restarts the warm-up of an upstream that may have restarted, if its service has a warm-up
    /// limit.
    pub fn restart_warmup(&mut self, now: Instant, index: UpstreamIndex) {
        let record = &mut self.records[index as usize];
        if let Some(limit) = self.pools[record.service as usize].warmup {
            record.warm_at = record.warm_at.max(now + limit.duration);
        }
    }

    /// Whether a service has upstreams that accept new flows but are limited by their warm-up.
    pub fn has_warming_upstreams(&self, now: Instant, service: ServiceIndex) -> bool {
        let pool = self.pool(service);
        let members = pool.local.iter().chain(&pool.remote);
        let mut records = members.map(|index| self.get(*index));
        records.any(|record| record.takes_flows() && self.is_warming(now, record))
    }

    /// Updates which of the zone's warming or ejected upstreams this host claims; `claims` tells
    /// whether it claims the upstream with a tag. A claimed upstream gets its new flows through
    /// this host alone.
    pub fn claim_warmups(&mut self, now: Instant, claims: impl Fn(FlowTag) -> bool) {
        for record in &mut self.records {
            let limited = record.warm_at > now || record.failure_detector.is_ejected();
            record.warmup.is_claimed =
                record.is_local && limited && record.tag.is_some_and(&claims);
        }
    }

    /// Records a new flow of an upstream against the warm-up limit of its service.
    pub fn flow_placed(&mut self, now: Instant, index: UpstreamIndex) {
        let record = &mut self.records[index as usize];
        if let Some(limit) = self.pools[record.service as usize].warmup {
            record.warmup.flow_placed(now, limit);
        }
    }

    /// Removes a registration; returns the upstream and the state of its registration before, or
    /// `None` if the name is not known.
    ///
    /// The registration of a ready upstream that has responded recently lapses first. Registrations
    /// expire while the store is down, and all upstreams would otherwise be out of use when it
    /// returns.
    pub fn unregister(
        &mut self,
        now: Instant,
        name: &UpstreamName,
    ) -> Option<(UpstreamIndex, RegistrationState)> {
        let index = self.by_name(name)?;
        let LapseConfig {
            grace,
            max_response_age,
            ..
        } = self.config.lapse;
        let record = self.get_mut(index);
        record.held = None;
        let before = record.registration;
        let has_responded = record
            .failure_detector
            .last_response()
            .is_some_and(|response| now.saturating_duration_since(response) < max_response_age);
        if before == RegistrationState::Ready && has_responded {
            let until = now + grace;
            record.registration = RegistrationState::Lapsed {
                until,
                is_draining: false,
            };
        } else {
            self.mark_deregistered(now, index);
        }
        Some((index, before))
    }

    /// Expires lapsed registrations, applies held ones and removes the records of deregistered
    /// upstreams that can have no open flow; returns the upstreams whose grace time has ended.
    ///
    /// A grace time ends only when the store has confirmed the state after it, as of
    /// `confirmed_at`. While the store does not respond, a registration may be back unnoticed.
    pub fn tick(&mut self, now: Instant, confirmed_at: Option<Instant>) -> ExpiredUpstreams {
        let is_over =
            |until: Instant| confirmed_at.is_some_and(|confirmed_at| until <= confirmed_at);
        let mut expired = ExpiredUpstreams::default();
        let mut due = Vec::new();
        for index in self.by_name.values().copied() {
            let record = &mut self.records[index as usize];
            record.failure_detector.tick(now);
            due.extend(record.held.take_if(|held| is_over(held.until)));
            match record.registration {
                RegistrationState::Lapsed { until, .. } if is_over(until) => {
                    expired.deregistered.push((index, record.registration));
                }
                RegistrationState::Deregistered { remove_at }
                    if remove_at <= now && !record.is_referenced() && record.held.is_none() =>
                {
                    expired.removed.push(index);
                }
                _ => {}
            }
        }
        for (index, _before) in &expired.deregistered {
            self.mark_deregistered(now, *index);
        }
        for index in &expired.removed {
            self.remove_record(*index);
        }
        for held in due {
            expired.registered.push(self.register(now, &held.entry));
        }
        expired
    }

    /// Runs outlier detection; returns the upstreams that it has ejected or whose ejection it has
    /// ended.
    pub fn detect_outliers(&mut self, now: Instant) -> Vec<UpstreamIndex> {
        let mut changed = Vec::new();
        for index in self.by_name.values().copied() {
            let outlier_detector = &mut self.records[index as usize].outlier_detector;
            if outlier_detector.evaluate(&self.config.outlier, now) {
                changed.push(index);
            }
        }
        changed
    }

    /// Updates the weights from new load measurements. Must be called after each change of loads.
    pub fn update_weights(&mut self, costs: &FlowCosts) {
        let config = &self.config.load_weight;
        for (service, pool) in self.pools.iter_mut().enumerate() {
            let short_flow_share =
                costs.short_flow_share(&self.config.costs, service as ServiceIndex);
            let (mut weights, mut slots) = (0.0, 0.0);
            for index in &pool.local {
                let record = &mut self.records[*index as usize];
                record
                    .weight
                    .update(config, record.slots, short_flow_share, &record.load);
                if let Some(weight) = record.weight.current(&record.load) {
                    weights += weight;
                    slots += f64::from(record.slots);
                }
            }
            let mean_weight = match slots > 0.0 {
                true => weights / slots,
                false => slot_weight(config),
            };
            for index in &pool.local {
                let record = &mut self.records[*index as usize];
                record
                    .weight
                    .initialize(record.slots, mean_weight, &record.load);
            }
            pool.mean_weight = mean_weight;
        }
    }

    /// Replaces the reports of the other hosts of this zone. Each comes with the time at which it
    /// was received; a response counts from the time at which the other host saw it.
    pub fn merge_reports<'a>(
        &mut self,
        reports: impl Iterator<Item = (Instant, &'a [UpstreamReport])>,
    ) {
        for record in &mut self.records {
            record.peer_flows = 0;
            record.outlier_detector.clear_peer_counts();
        }
        for (received_at, reports) in reports {
            for report in reports {
                let Some(index) = self.by_tag(report.tag) else {
                    continue;
                };
                let record = self.get_mut(index);
                record.peer_flows += report.flows;
                record
                    .outlier_detector
                    .add_peer_counts(report.answers.into());
                let response = report
                    .heard_ago
                    .and_then(|ago| received_at.checked_sub(ago));
                if let Some(response) = response {
                    record.failure_detector.record_peer_response(response);
                }
            }
        }
    }

    /// Returns this host's reports on the upstreams of its zone, at most
    /// [`MAX_UPSTREAM_REPORTS`]. Upstreams without flows and responses are left out.
    pub fn reports(&self, now: Instant) -> Vec<UpstreamReport> {
        let local = self.records().filter(|record| record.is_local);
        let reports = local.filter_map(|record| {
            let response = record.failure_detector.own_response();
            let heard_ago = response.map(|response| now.saturating_duration_since(response));
            let has_no_data = record.flows == 0 && heard_ago.is_none();
            let tag = record.tag.filter(|_tag| !has_no_data)?;
            Some(UpstreamReport {
                tag,
                flows: record.flows,
                heard_ago,
                answers: record.outlier_detector.own_counts().into(),
            })
        });
        reports.take(MAX_UPSTREAM_REPORTS).collect()
    }

    /// Returns this host's reports on the upstreams of its zone that have failed requests, at most
    /// [`MAX_FAILURE_REPORTS`].
    pub fn failure_reports(&self) -> Vec<FailureReport> {
        let local = self.records().filter(|record| record.is_local);
        let reports = local.filter_map(|record| {
            let answers = OutcomeReport::from(record.outlier_detector.own_counts());
            let tag = record.tag.filter(|_tag| answers.failed > 0)?;
            Some(FailureReport { tag, answers })
        });
        reports.take(MAX_FAILURE_REPORTS).collect()
    }

    /// Records an unanswered request on an open flow, sent at `sent`; true if it ejects the
    /// upstream.
    pub fn request_failed(
        &mut self,
        index: UpstreamIndex,
        now: Instant,
        sent: Instant,
        caller: SocketAddrV4,
    ) -> bool {
        let failure_detector = &mut self.records[index as usize].failure_detector;
        failure_detector.request_failed(&self.config.detector, now, sent, caller)
    }

    /// Records an unanswered SYN, sent at `sent`; true if it ejects the upstream.
    pub fn attempt_failed(&mut self, index: UpstreamIndex, now: Instant, sent: Instant) -> bool {
        let failure_detector = &mut self.records[index as usize].failure_detector;
        failure_detector.attempt_failed(&self.config.detector, now, sent)
    }

    /// Records a probe of an ejected upstream.
    pub fn probe_sent(&mut self, index: UpstreamIndex, now: Instant) {
        let failure_detector = &mut self.records[index as usize].failure_detector;
        failure_detector.probe_sent(&self.config.detector, now);
    }

    /// Resets every failure detector after a stall of this host.
    pub fn reset_detectors(&mut self) {
        for record in &mut self.records {
            record.failure_detector.reset();
        }
    }

    /// Inserts a record for an upstream that is not known; returns its index.
    fn insert(
        &mut self,
        now: Instant,
        entry: &UpstreamEntry,
        service: ServiceIndex,
    ) -> UpstreamIndex {
        let tag = flow_tag(&entry.name);
        let taken = self.by_tag.contains_key(&tag);
        if taken {
            log::warn!(upstream:% = entry.name, tag; "tag is another upstream's, gets no flows");
        }
        let record = UpstreamRecord {
            name: entry.name.clone(),
            number: entry.number,
            tag: (!taken).then_some(tag),
            address: entry.address,
            service,
            zone: entry.zone.clone(),
            is_local: false,
            slots: entry.slots,
            registration: RegistrationState::Ready,
            write_count: entry.write_count,
            held: None,
            warm_at: now,
            warmup: WarmupAdmission::default(),
            born: entry.born,
            flows: 0,
            idle: 0,
            closing: 0,
            waiting: 0,
            opening: 0,
            peer_flows: 0,
            load: Default::default(),
            placed: Default::default(),
            weight: Default::default(),
            failure_detector: Default::default(),
            outlier_detector: Default::default(),
        };
        let index = match self.unused.pop() {
            Some(index) => {
                self.records[index as usize] = record;
                index
            }
            None => {
                self.records.push(record);
                (self.records.len() - 1) as UpstreamIndex
            }
        };
        self.by_name.insert(entry.name.clone(), index);
        if !taken {
            self.by_tag.insert(tag, index);
        }
        index
    }

    /// Marks an upstream as deregistered and removes it from its pool.
    ///
    /// Another host may still open flows there until its own grace time has ended, so that the
    /// record is kept for the longest grace time and the age of such a flow.
    fn mark_deregistered(&mut self, now: Instant, index: UpstreamIndex) {
        self.remove_from_pool(index);
        let LapseConfig {
            grace,
            restored_grace,
            ..
        } = self.config.lapse;
        let remove_at = now + grace.max(restored_grace) + self.max_flow_age;
        self.get_mut(index).registration = RegistrationState::Deregistered { remove_at };
    }

    /// Moves the upstreams of a zone to the list of their pool that matches whether the zone is
    /// evacuated.
    fn reassign_zone(&mut self, zone: &ZoneName) {
        let is_member = |record: &UpstreamRecord| {
            let listed = !matches!(record.registration, RegistrationState::Deregistered { .. });
            listed && record.zone == *zone
        };
        let mut members: Vec<UpstreamIndex> = self
            .indices()
            .filter(|index| is_member(self.get(*index)))
            .collect();
        members.sort_unstable();
        for index in members {
            self.remove_from_pool(index);
            self.add_to_pool(index);
        }
    }

    /// Adds an upstream to the list of its service's pool that matches its zone.
    fn add_to_pool(&mut self, index: UpstreamIndex) {
        let record = &self.records[index as usize];
        let pool = &mut self.pools[record.service as usize];
        let members = if self.evacuated.contains_key(&record.zone) {
            &mut pool.evacuated
        } else if record.is_local {
            &mut pool.local
        } else {
            &mut pool.remote
        };
        members.push(index);
    }

    /// Removes an upstream from the pool of its service.
    fn remove_from_pool(&mut self, index: UpstreamIndex) {
        let service = self.get(index).service;
        let pool = &mut self.pools[service as usize];
        for members in [&mut pool.local, &mut pool.remote, &mut pool.evacuated] {
            members.retain(|member| *member != index);
        }
    }

    /// Removes the record of an upstream and frees its index.
    fn remove_record(&mut self, index: UpstreamIndex) {
        let record = &self.records[index as usize];
        if let Some(tag) = record.tag {
            self.by_tag.remove(&tag);
        }
        self.by_name.remove(&record.name);
        self.unused.push(index);
    }
}
