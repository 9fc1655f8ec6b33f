//! The upstreams that a host knows, by tag, by name and by service.

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
use crate::ids::FlowTag;
use crate::ids::Revision;
use crate::ids::ServiceIndex;
use crate::ids::ServiceName;
use crate::ids::ServiceTag;
use crate::ids::UpstreamIndex;
use crate::ids::UpstreamName;
use crate::load::load_report::service_tag;
use crate::peers::peer_heartbeat::AnswerReport;
use crate::peers::peer_heartbeat::FailureReport;
use crate::peers::peer_heartbeat::MAX_FAILURE_REPORTS;
use crate::peers::peer_heartbeat::MAX_UPSTREAM_REPORTS;
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
    /// The service.
    pub name: ServiceName,
    /// Its tag in what hosts send each other.
    pub tag: ServiceTag,
    /// Its upstreams of this host's zone, in any registration state but deregistered.
    pub local: Vec<UpstreamIndex>,
    /// The same of other zones.
    pub remote: Vec<UpstreamIndex>,
    /// The same of evacuated zones, this host's included; never in the other two.
    pub evacuated: Vec<UpstreamIndex>,
    /// How fast its upstreams get new flows while they warm up; `None` if that is not limited.
    pub warmup: Option<WarmupLimit>,
    /// Whether its load exceeds what decisions in calm are made for; see [`crate::load`].
    pub is_contended: bool,
    /// The priorities of the routes that lead to it, ascending.
    pub priorities: Vec<RequestPriority>,
    /// Requests in progress for each slot in this host's zone, in parts of [`crate::load::load_state::REQUEST_LOAD`],
    /// raised while upstreams shed.
    pub pressure: u32,
    /// The most connections that one upstream holds; `None` if it is not published.
    pub connection_limit: Option<u32>,
    /// Mean weight of a slot of its local upstreams; above 0.
    pub mean_weight: f64,
}

/// Every upstream that is registered, or was and may still have flows.
#[derive(Debug)]
pub struct UpstreamTable {
    zone: ZoneName,
    max_flow_age: Duration,
    pub(crate) config: PolicyConfig,
    /// Entries that `free` names hold an upstream that nothing refers to.
    pub(crate) records: Vec<UpstreamRecord>,
    free: Vec<UpstreamIndex>,
    by_name: HashMap<UpstreamName, UpstreamIndex>,
    by_tag: HashMap<FlowTag, UpstreamIndex>,
    pools: Vec<ServicePool>,
    pool_by_name: HashMap<ServiceName, ServiceIndex>,
    pub(crate) evacuated: EvacuatedZones,
}

/// Upstreams whose grace time has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiredUpstreams {
    /// Their lapsed registrations now count as gone.
    pub retired: Vec<UpstreamIndex>,
    /// Their held registrations have been applied.
    pub registered: Vec<UpstreamIndex>,
}

/// The tag of an upstream's flows: alike on every host, whatever its view.
pub fn flow_tag(name: &UpstreamName) -> FlowTag {
    let hash = xxh3_64(name.as_bytes());
    let tag = (hash ^ (hash >> 32)) as FlowTag;
    tag.max(1)
}

impl UpstreamTable {
    /// An empty table of a host in `zone`, which remembers former upstreams for `max_flow_age`.
    pub fn new(zone: ZoneName, max_flow_age: Duration, config: PolicyConfig) -> Self {
        Self {
            zone,
            max_flow_age,
            config,
            records: Vec::new(),
            free: Vec::new(),
            by_name: HashMap::default(),
            by_tag: HashMap::default(),
            pools: Vec::new(),
            pool_by_name: HashMap::default(),
            evacuated: EvacuatedZones::new(),
        }
    }

    /// The policy parameters.
    pub fn config(&self) -> &PolicyConfig {
        &self.config
    }

    /// The upstream with this tag, also a former one.
    pub fn by_tag(&self, tag: FlowTag) -> Option<UpstreamIndex> {
        self.by_tag.get(&tag).copied()
    }

    /// The upstream with this name, also a former one.
    pub fn by_name(&self, name: &UpstreamName) -> Option<UpstreamIndex> {
        self.by_name.get(name).copied()
    }

    /// One upstream.
    pub fn get(&self, index: UpstreamIndex) -> &UpstreamRecord {
        &self.records[index as usize]
    }

    /// One upstream, to change.
    pub fn get_mut(&mut self, index: UpstreamIndex) -> &mut UpstreamRecord {
        &mut self.records[index as usize]
    }

    /// The place of a service, which is given one if it has none.
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
            mean_weight: slot_weight(&self.config.room),
        });
        self.pool_by_name.insert(name.clone(), index);
        index
    }

    /// The upstreams of a service.
    pub fn pool(&self, service: ServiceIndex) -> &ServicePool {
        &self.pools[service as usize]
    }

    /// Every upstream in use, in the order of its place.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.by_name.values().map(|index| self.get(*index))
    }

    /// The places in use.
    pub fn indices(&self) -> impl Iterator<Item = UpstreamIndex> {
        self.by_name.values().copied()
    }

    /// Adds or replaces a registration; returns its place.
    pub fn register(&mut self, now: Instant, entry: &UpstreamEntry) -> UpstreamIndex {
        let service = self.service(&entry.service);
        let index = match self.by_name(&entry.name) {
            Some(index) => {
                self.leave_pool(index);
                index
            }
            None => self.insert(now, entry, service),
        };
        let is_local = entry.zone == self.zone;
        let record = self.get_mut(index);
        let restarted = record.born != entry.born || record.address != entry.address;
        if restarted {
            record.silence.reset();
            record.answers = Default::default();
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
        self.enter_pool(index);
        index
    }

    /// The evacuated zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Open flows through this host to upstreams of each evacuated zone, active or idle.
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

    /// Places no new flows in a zone until it is restored; a later request for the same zone only
    /// changes its revision.
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

    /// Places new flows in a zone again. Its upstreams may have become cold without saying so yet, so
    /// that those with a limit warm up from now.
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

    /// Replaces the limits of services whose upstreams warm up.
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

    /// Replaces the limits of connections.
    pub fn set_connection_limits(&mut self, limits: &[ConnectionLimit]) {
        for pool in &mut self.pools {
            pool.connection_limit = None;
        }
        for limit in limits {
            let service = self.service(&limit.service);
            self.pools[service as usize].connection_limit = Some(limit.connections);
        }
    }

    /// Marks a service as contended, or not.
    pub fn set_contended(&mut self, service: ServiceIndex, is_contended: bool) {
        self.pools[service as usize].is_contended = is_contended;
    }

    /// Sets the priorities of the routes that lead to a service, ascending.
    pub fn set_priorities(&mut self, service: ServiceIndex, priorities: Vec<RequestPriority>) {
        self.pools[service as usize].priorities = priorities;
    }

    /// Sets the pressure of a service; see [`ServicePool::pressure`].
    pub fn set_pressure(&mut self, service: ServiceIndex, pressure: u32) {
        self.pools[service as usize].pressure = pressure;
    }

    /// Every service's pool, in the order of its place.
    pub fn pools(&self) -> &[ServicePool] {
        &self.pools
    }

    /// Whether new flows to an upstream are limited because it warms up.
    pub fn is_warming(&self, now: Instant, record: &UpstreamRecord) -> bool {
        record.warm_at > now && self.pool(record.service).warmup.is_some()
    }

    /// Whether an ejected upstream may be probed: it may have restarted cold, so that in a service with
    /// a limit only the host that claims it does.
    pub fn admits_probe(&self, now: Instant, record: &UpstreamRecord) -> bool {
        let limit = self.pool(record.service).warmup;
        limit.is_none() || record.warmup.admits(now)
    }

    /// Whether any service limits the flows of upstreams that warm up.
    pub fn has_warmup_limits(&self) -> bool {
        self.pools.iter().any(|pool| pool.warmup.is_some())
    }

    /// Lets an upstream warm up from now: it answers again and may have restarted meanwhile.
    pub fn restart_warmup(&mut self, now: Instant, index: UpstreamIndex) {
        let record = &mut self.records[index as usize];
        if let Some(limit) = self.pools[record.service as usize].warmup {
            record.warm_at = record.warm_at.max(now + limit.duration);
        }
    }

    /// Whether a service has upstreams that would take flows if they were warm.
    pub fn has_warming(&self, now: Instant, service: ServiceIndex) -> bool {
        let pool = self.pool(service);
        let members = pool.local.iter().chain(&pool.remote);
        let mut records = members.map(|index| self.get(*index));
        records.any(|record| record.takes_flows() && self.is_warming(now, record))
    }

    /// Decides which of the zone's upstreams that warm up, or are ejected, get their flows through this
    /// host.
    pub fn claim_warmups(&mut self, now: Instant, claims: impl Fn(FlowTag) -> bool) {
        for record in &mut self.records {
            let limited = record.warm_at > now || record.silence.is_ejected();
            record.warmup.is_claimed =
                record.is_local && limited && record.tag.is_some_and(&claims);
        }
    }

    /// Records that a new flow was placed.
    pub fn flow_placed(&mut self, now: Instant, index: UpstreamIndex) {
        let record = &mut self.records[index as usize];
        if let Some(limit) = self.pools[record.service as usize].warmup {
            record.warmup.flow_placed(now, limit);
        }
    }

    /// Removes a registration.
    ///
    /// One of a ready upstream that responded just now counts as lapsed first: registrations lapse while the
    /// store is down, and all upstreams would else be out of use when it returns.
    pub fn unregister(&mut self, now: Instant, name: &UpstreamName) -> Option<UpstreamIndex> {
        let index = self.by_name(name)?;
        let LapseConfig {
            grace,
            max_response_age,
            ..
        } = self.config.lapse;
        let record = self.get_mut(index);
        record.held = None;
        let answers = record
            .silence
            .last_response()
            .is_some_and(|sign| now.saturating_duration_since(sign) < max_response_age);
        if record.registration == RegistrationState::Ready && answers {
            let until = now + grace;
            record.registration = RegistrationState::Lapsed {
                until,
                is_draining: false,
            };
        } else {
            self.retire(now, index);
        }
        Some(index)
    }

    /// Expires lapsed and deregistered upstreams, and applies registrations that were held; returns those whose
    /// grace time has ended.
    pub fn tick(&mut self, now: Instant) -> ExpiredUpstreams {
        let mut expired = ExpiredUpstreams::default();
        let mut forgotten = Vec::new();
        let mut due = Vec::new();
        for index in self.by_name.values().copied() {
            let record = &mut self.records[index as usize];
            record.silence.tick(now);
            due.extend(record.held.take_if(|held| held.until <= now));
            match record.registration {
                RegistrationState::Lapsed { until, .. } if until <= now => {
                    expired.retired.push(index);
                }
                RegistrationState::Deregistered { forget_at }
                    if forget_at <= now && !record.has_flows() && record.held.is_none() =>
                {
                    forgotten.push(index);
                }
                _ => {}
            }
        }
        for index in &expired.retired {
            self.retire(now, *index);
        }
        for index in forgotten {
            self.forget(index);
        }
        for held in due {
            expired.registered.push(self.register(now, &held.entry));
        }
        expired
    }

    /// Runs outlier detection; returns the upstreams whose state changed.
    pub fn judge_answers(&mut self, now: Instant) -> Vec<UpstreamIndex> {
        let mut changed = Vec::new();
        for index in self.by_name.values().copied() {
            let answers = &mut self.records[index as usize].answers;
            if answers.evaluate(&self.config.outlier, now) {
                changed.push(index);
            }
        }
        changed
    }

    /// Lets weights follow the loads that were measured anew. To be called after each change of loads.
    pub fn learn_loads(&mut self, costs: &FlowCosts) {
        let config = &self.config.room;
        for (service, pool) in self.pools.iter_mut().enumerate() {
            let short_flow_share =
                costs.short_flow_share(&self.config.costs, service as ServiceIndex);
            let (mut weights, mut slots) = (0.0, 0.0);
            for index in &pool.local {
                let record = &mut self.records[*index as usize];
                record
                    .weight
                    .learn(config, record.slots, short_flow_share, &record.load);
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
                record.weight.start(record.slots, mean_weight, &record.load);
            }
            pool.mean_weight = mean_weight;
        }
    }

    /// Replaces the reports of the other local hosts. A response counts from the time at which it was seen.
    pub fn learn_reports<'a>(
        &mut self,
        reports: impl Iterator<Item = (Instant, &'a [UpstreamReport])>,
    ) {
        for record in &mut self.records {
            record.flows_elsewhere = 0;
            record.answers.clear_elsewhere();
        }
        for (heard, reports) in reports {
            for report in reports {
                let Some(index) = self.by_tag(report.tag) else {
                    continue;
                };
                let record = self.get_mut(index);
                record.flows_elsewhere += report.flows;
                record.answers.add_elsewhere(report.answers.into());
                let sign = report.heard_ago.and_then(|ago| heard.checked_sub(ago));
                if let Some(sign) = sign {
                    record.silence.remote_response(sign);
                }
            }
        }
    }

    /// This host's reports on the upstreams of its zone.
    pub fn reports(&self, now: Instant) -> Vec<UpstreamReport> {
        let local = self.records().filter(|record| record.is_local);
        let reports = local.filter_map(|record| {
            let sign = record.silence.own_response();
            let heard_ago = sign.map(|sign| now.saturating_duration_since(sign));
            let silent = record.flows == 0 && heard_ago.is_none();
            let tag = record.tag.filter(|_tag| !silent)?;
            Some(UpstreamReport {
                tag,
                flows: record.flows,
                heard_ago,
                answers: record.answers.own_counts().into(),
            })
        });
        reports.take(MAX_UPSTREAM_REPORTS).collect()
    }

    /// This host's failure reports on the upstreams of its zone.
    pub fn failure_reports(&self) -> Vec<FailureReport> {
        let local = self.records().filter(|record| record.is_local);
        let reports = local.filter_map(|record| {
            let answers = AnswerReport::from(record.answers.own_counts());
            let tag = record.tag.filter(|_tag| answers.failed > 0)?;
            Some(FailureReport { tag, answers })
        });
        reports.take(MAX_FAILURE_REPORTS).collect()
    }

    /// Records an unanswered attempt of a caller, sent at `sent`; true if it ejects the upstream.
    pub fn attempt_failed(
        &mut self,
        index: UpstreamIndex,
        now: Instant,
        sent: Instant,
        caller: SocketAddrV4,
    ) -> bool {
        let silence = &mut self.records[index as usize].silence;
        silence.attempt_failed(&self.config.detector, now, sent, caller)
    }

    /// Records a probe of an ejected upstream.
    pub fn probe_sent(&mut self, index: UpstreamIndex, now: Instant) {
        let silence = &mut self.records[index as usize].silence;
        silence.probe_sent(&self.config.detector, now);
    }

    /// Resets every failure detector, after this host was stalled.
    pub fn reset_detectors(&mut self) {
        for record in &mut self.records {
            record.silence.reset();
        }
    }

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
            waiting: 0,
            opening: 0,
            flows_elsewhere: 0,
            load: Default::default(),
            placed: Default::default(),
            weight: Default::default(),
            silence: Default::default(),
            answers: Default::default(),
        };
        let index = match self.free.pop() {
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

    fn retire(&mut self, now: Instant, index: UpstreamIndex) {
        self.leave_pool(index);
        let forget_at = now + self.max_flow_age;
        self.get_mut(index).registration = RegistrationState::Deregistered { forget_at };
    }

    /// Moves the upstreams of a zone to the lists of their pools to which they belong now.
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
            self.leave_pool(index);
            self.enter_pool(index);
        }
    }

    fn enter_pool(&mut self, index: UpstreamIndex) {
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

    fn leave_pool(&mut self, index: UpstreamIndex) {
        let service = self.get(index).service;
        let pool = &mut self.pools[service as usize];
        for members in [&mut pool.local, &mut pool.remote, &mut pool.evacuated] {
            members.retain(|member| *member != index);
        }
    }

    fn forget(&mut self, index: UpstreamIndex) {
        let record = &self.records[index as usize];
        if let Some(tag) = record.tag {
            self.by_tag.remove(&tag);
        }
        self.by_name.remove(&record.name);
        self.free.push(index);
    }
}
