//! Selects the upstreams of a new flow.
//!
//! Flows are long and carry a request now and then, each host sees only a part of them, and
//! upstreams have few slots. Selection by hash alone gives some upstreams twice the flows of
//! others. Selection by load alone gives all new flows to a dead upstream, since nothing is in
//! progress there. Selection therefore takes the upstream with the lowest load per slot among those
//! that respond, preferring upstreams of this zone until they are saturated. Ties are broken by
//! rendezvous weight, so that hosts without any flow do not all begin with the same upstream.
//!
//! Upstreams of a contended service are drawn at random instead, with the weights of
//! [`crate::selection::load_weight`].
//!
//! A SYN is hedged: a second upstream gets it as well, and the caller uses the one that responds
//! first.

use std::cmp::Ordering;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::ids::ZoneName;

use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::load::load_state::ContentionState;
use crate::load::load_state::REQUEST_LOAD;
use crate::policy_config::FLOW_LOAD;
use crate::policy_config::SelectionConfig;
use crate::selection::load_weight::draw_rank;
use crate::selection::load_weight::estimated_in_progress;
use crate::selection::load_weight::is_at_connection_limit;
use crate::selection::load_weight::is_drawn_after;
use crate::selection::load_weight::upstream_weight;
use crate::upstreams::upstream_record::UpstreamRecord;
use crate::upstreams::upstream_table::UpstreamTable;

/// A new flow to be placed.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// The current time.
    pub now: Instant,
    /// The service of the flow.
    pub service: ServiceIndex,
    /// Hash of the flow.
    pub flow_hash: u64,
    /// Number of hosts of this zone that take packets, including this one.
    pub local_hosts: u32,
    /// Upstreams that an earlier SYN of the flow went to.
    pub tried: &'a [UpstreamIndex],
    /// Contention state and load of the service.
    pub contention: ContentionState,
    /// The other zone that the flow is sent to; `None` if it is not spilled.
    pub spill_zone: Option<&'a ZoneName>,
}

/// The upstreams that get a SYN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowSelection {
    /// The selected upstream.
    pub first: UpstreamIndex,
    /// A second upstream that gets the SYN as well: a hedge, or an ejected upstream that is probed.
    pub second: Option<UpstreamIndex>,
    /// Whether a sampled upstream is known to have a free slot. Always true if the service is not
    /// contended.
    pub has_free_slot: bool,
}

/// Sort key of an upstream; lower is preferred. Rendezvous weight breaks ties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SelectionKey {
    /// Ejected, and the panic threshold is not exceeded.
    degraded: bool,
    /// Has no free capacity, or is at its connection limit.
    saturated: bool,
    /// An earlier SYN of the flow went to it.
    tried: bool,
    /// In another zone.
    remote: bool,
    /// Load per slot, in parts of [`FLOW_LOAD`]. For a contended service, the rank in the weighted
    /// draw.
    load: u64,
}

/// An upstream that may be selected.
#[derive(Clone, Copy, Debug)]
struct UpstreamCandidate {
    key: SelectionKey,
    index: UpstreamIndex,
}

/// The two preferred upstreams of those sampled so far, and one that is due for a probe.
#[derive(Clone, Copy, Debug, Default)]
struct SampledUpstreams {
    preferred: Option<UpstreamCandidate>,
    runner_up: Option<UpstreamCandidate>,
    probe: Option<UpstreamIndex>,
    /// Whether a sampled upstream that responds is known to have a free slot.
    has_free_slot: bool,
    /// Whether a sampled upstream that responds is not saturated.
    has_capacity: bool,
}

/// Sort key, weight and free capacity of an upstream of a contended service.
#[derive(Clone, Copy, Debug)]
struct UpstreamRank {
    /// The sort key, without the rank in the draw.
    key: SelectionKey,
    /// The weight in the draw.
    weight: f64,
    has_free_slot: bool,
    has_capacity: bool,
}

/// Selects the upstreams of a new flow. Returns `None` if no upstream of the service takes flows.
pub fn select_upstream(table: &UpstreamTable, query: SelectionQuery<'_>) -> Option<FlowSelection> {
    let spilled = query
        .spill_zone
        .and_then(|zone| sample_zone(table, query, zone));
    let sampled = spilled.unwrap_or_else(|| sample_pool(table, query));
    let first = sampled.preferred?.index;
    let probe = sampled.probe.filter(|index| *index != first);
    let second = probe.or_else(|| hedge(table, query, first, sampled.runner_up?));
    Some(FlowSelection {
        first,
        second,
        has_free_slot: sampled.has_free_slot || !query.contention.is_contended,
    })
}

/// Samples the upstreams of the zone that the flow is spilled to. Returns `None` if all of them are
/// ejected or none takes flows.
fn sample_zone(
    table: &UpstreamTable,
    query: SelectionQuery<'_>,
    zone: &ZoneName,
) -> Option<SampledUpstreams> {
    let pool = table.pool(query.service);
    let max_sampled = max_sampled(table, query);
    let remote = sample(&pool.remote, query.flow_hash, pool.remote.len());
    let of_zone = remote.filter(|index| table.get(*index).zone == *zone);
    let mut sampled = SampledUpstreams::default();
    sampled.consider_all(table, of_zone.take(max_sampled), query, false);
    let is_usable = sampled
        .preferred
        .is_some_and(|preferred| !preferred.key.degraded);
    is_usable.then_some(sampled)
}

/// Samples the upstreams of this zone, and those of other zones if this zone's are not sufficient.
fn sample_pool(table: &UpstreamTable, query: SelectionQuery<'_>) -> SampledUpstreams {
    let pool = table.pool(query.service);
    let max_sampled = max_sampled(table, query);
    let local = sample(&pool.local, query.flow_hash, max_sampled);
    let panic = is_panic_among(table, local.clone(), UpstreamRecord::is_degraded)
        && is_panic(table, query.service, UpstreamRecord::is_degraded);
    let mut sampled = SampledUpstreams::default();
    sampled.consider_all(table, local, query, panic);
    if query.contention.is_contended && !sampled.has_capacity {
        sampled.mark_saturated();
    }
    if !sampled.is_sufficient(table) {
        let remote = sample(&pool.remote, query.flow_hash, max_sampled);
        sampled.consider_all(table, remote, query, panic);
    }
    sampled
}

/// Returns the maximum number of upstreams of a zone that are sampled for this flow.
fn max_sampled(table: &UpstreamTable, query: SelectionQuery<'_>) -> usize {
    match query.contention.is_contended {
        true => table.config().load_weight.max_sampled,
        false => table.config().selection.max_sampled,
    }
}

/// Returns the runner-up if the SYN is to be hedged with it. For a contended service, only a SYN to
/// an upstream suspected of failure is hedged: other hedges take capacity that requests need.
fn hedge(
    table: &UpstreamTable,
    query: SelectionQuery<'_>,
    first: UpstreamIndex,
    runner_up: UpstreamCandidate,
) -> Option<UpstreamIndex> {
    let config = &table.config().selection;
    let record = table.get(runner_up.index);
    let suspected = config.hedges_suspected && table.get(first).failure_detector.is_suspected();
    let has_free_slot = record.requests(query.local_hosts) < record.slots;
    let is_uncontended = !query.contention.is_contended;
    let healthy =
        is_uncontended && config.hedges_healthy && !runner_up.key.degraded && has_free_slot;
    let hedges = !table.is_warming(query.now, record) && (suspected || healthy);
    hedges.then_some(runner_up.index)
}

/// Returns whether more upstreams of a service than the panic threshold are unhealthy, so that the
/// fault is likely on this host's own path.
pub fn is_panic(
    table: &UpstreamTable,
    service: ServiceIndex,
    is_unhealthy: impl Fn(&UpstreamRecord) -> bool,
) -> bool {
    let pool = table.pool(service);
    let members = pool.local.iter().chain(&pool.remote);
    is_panic_among(table, members.copied(), is_unhealthy)
}

fn is_panic_among(
    table: &UpstreamTable,
    members: impl Iterator<Item = UpstreamIndex>,
    is_unhealthy: impl Fn(&UpstreamRecord) -> bool,
) -> bool {
    let records = members.map(|index| table.get(index));
    let usable = records.filter(|record| record.takes_flows());
    exceeds_panic_threshold(table, usable, is_unhealthy)
}

/// Returns whether more of these upstreams than the panic threshold are unhealthy.
pub fn exceeds_panic_threshold<'a>(
    table: &UpstreamTable,
    records: impl Iterator<Item = &'a UpstreamRecord>,
    is_unhealthy: impl Fn(&UpstreamRecord) -> bool,
) -> bool {
    let (mut all, mut unhealthy) = (0, 0);
    for record in records {
        all += 1;
        unhealthy += usize::from(is_unhealthy(record));
    }
    unhealthy * table.config().selection.panic_divisor > all
}

/// Returns up to `max_count` of `members`, starting at an index derived from the flow's hash.
pub(crate) fn sample(
    members: &[UpstreamIndex],
    flow_hash: u64,
    max_count: usize,
) -> impl Iterator<Item = UpstreamIndex> + Clone {
    let start = match members.len() {
        0 => 0,
        length => flow_hash as usize % length,
    };
    let rotated = members[start..].iter().chain(&members[..start]);
    rotated.copied().take(max_count)
}

impl SampledUpstreams {
    /// Returns whether the preferred upstream can be used without sampling other zones: it
    /// responds, is not saturated, was not tried, and has a hedge if it is suspected of failure.
    fn is_sufficient(&self, table: &UpstreamTable) -> bool {
        let Some(preferred) = self.preferred else {
            return false;
        };
        let suspected = table.get(preferred.index).failure_detector.is_suspected();
        let lacks_hedge = suspected && self.runner_up.is_none();
        !preferred.key.degraded && !preferred.key.saturated && !preferred.key.tried && !lacks_hedge
    }

    /// Adds those of `members` that take flows, and records one that is due for a probe.
    fn consider_all(
        &mut self,
        table: &UpstreamTable,
        members: impl Iterator<Item = UpstreamIndex> + Clone,
        query: SelectionQuery<'_>,
        panic: bool,
    ) {
        let pool = table.pool(query.service);
        let connection_limit = pool.connection_limit;
        let max_load_age = table.config().load_weight.max_load_age;
        let is_measured = |at: Instant| query.now.saturating_duration_since(at) < max_load_age;
        let has_digest = query.contention.updated_at.is_some_and(is_measured);
        let mean_weight = has_digest.then_some(pool.mean_weight);
        for index in members {
            let record = table.get(index);
            if !record.takes_flows() {
                continue;
            }
            let warming = table.is_warming(query.now, record);
            if warming && !record.warmup.admits(query.now) {
                continue;
            }
            let may_probe = !warming && table.admits_probe(query.now, record);
            let wants_probe = may_probe && record.failure_detector.wants_probe(query.now);
            if wants_probe && !query.tried.contains(&index) {
                self.probe = Some(index);
            }
            let is_at_limit =
                is_at_connection_limit(&table.config().load_weight, record, connection_limit);
            let key = if query.contention.is_contended {
                let rank =
                    contended_rank(table, record, index, query, panic, is_at_limit, mean_weight);
                self.has_free_slot |= rank.has_free_slot;
                self.has_capacity |= rank.has_capacity;
                match self.ranked_key(record, rank, query.flow_hash) {
                    Some(key) => key,
                    None => continue,
                }
            } else {
                let mut key = selection_key(&table.config().selection, record, index, query, panic);
                key.saturated |= is_at_limit;
                key
            };
            self.consider(table, UpstreamCandidate { key, index }, query.flow_hash);
        }
    }

    /// Returns the sort key of an upstream of a contended service, or `None` if it ranks after the
    /// runner-up.
    fn ranked_key(
        &self,
        record: &UpstreamRecord,
        rank: UpstreamRank,
        flow_hash: u64,
    ) -> Option<SelectionKey> {
        let tag = record.tag.unwrap_or_default();
        let hash = rendezvous_weight(flow_hash, u64::from(tag));
        let is_outranked = self.runner_up.is_some_and(|other| {
            let key = SelectionKey {
                load: other.key.load,
                ..rank.key
            };
            key >= other.key && is_drawn_after(hash, rank.weight, other.key.load)
        });
        (!is_outranked).then(|| SelectionKey {
            load: draw_rank(hash, rank.weight),
            ..rank.key
        })
    }

    /// Marks the upstreams sampled so far as saturated, so that any unsaturated one is preferred to
    /// them.
    fn mark_saturated(&mut self) {
        for candidate in [&mut self.preferred, &mut self.runner_up]
            .into_iter()
            .flatten()
        {
            candidate.key.saturated = true;
        }
    }

    /// Keeps a candidate if it is among the two preferred ones.
    fn consider(&mut self, table: &UpstreamTable, candidate: UpstreamCandidate, flow_hash: u64) {
        if is_preferred(table, candidate, self.preferred, flow_hash) {
            self.runner_up = self.preferred;
            self.preferred = Some(candidate);
        } else if is_preferred(table, candidate, self.runner_up, flow_hash) {
            self.runner_up = Some(candidate);
        }
    }
}

fn is_preferred(
    table: &UpstreamTable,
    candidate: UpstreamCandidate,
    other: Option<UpstreamCandidate>,
    flow_hash: u64,
) -> bool {
    let Some(other) = other else {
        return true;
    };
    let weight = |candidate: UpstreamCandidate| {
        let tag = table.get(candidate.index).tag.unwrap_or_default();
        rendezvous_weight(flow_hash, u64::from(tag))
    };
    match candidate.key.cmp(&other.key) {
        Ordering::Less => true,
        Ordering::Equal => weight(candidate) > weight(other),
        Ordering::Greater => false,
    }
}

fn selection_key(
    config: &SelectionConfig,
    record: &UpstreamRecord,
    index: UpstreamIndex,
    query: SelectionQuery<'_>,
    panic: bool,
) -> SelectionKey {
    SelectionKey {
        degraded: record.is_degraded() && !panic,
        saturated: record.requests(query.local_hosts) >= record.slots * config.saturation_requests,
        tried: query.tried.contains(&index),
        remote: !record.is_local,
        load: upstream_load(config, record, query.now),
    }
}

/// Returns the rank of an upstream of a contended service. For an upstream of another zone, only
/// the load placed by this host is known.
///
/// A saturated upstream of this zone keeps a low probability while others have capacity. An
/// upstream that got no flows would not show when it has capacity again.
fn contended_rank(
    table: &UpstreamTable,
    record: &UpstreamRecord,
    index: UpstreamIndex,
    query: SelectionQuery<'_>,
    panic: bool,
    is_at_limit: bool,
    mean_weight: Option<f64>,
) -> UpstreamRank {
    let config = table.config();
    let in_progress =
        estimated_in_progress(&config.load_weight, record, query.now, query.local_hosts);
    let cold_load = config.selection.cold_load;
    let weight = upstream_weight(
        &config.load_weight,
        cold_load,
        record,
        in_progress,
        mean_weight,
        query.now,
    );
    let slots = u64::from(record.slots) * u64::from(REQUEST_LOAD);
    let full = slots * u64::from(config.selection.saturation_requests);
    let degraded = record.is_degraded() && !panic;
    let saturated = u64::from(in_progress) >= full;
    let is_load_known = record.is_local || query.spill_zone == Some(&record.zone);
    UpstreamRank {
        key: SelectionKey {
            degraded,
            saturated: is_at_limit || (saturated && !record.is_local),
            tried: query.tried.contains(&index),
            remote: !record.is_local,
            load: 0,
        },
        weight,
        has_free_slot: is_load_known && !degraded && !is_at_limit && u64::from(in_progress) < slots,
        has_capacity: !degraded && !is_at_limit && !saturated,
    }
}

/// Returns the load per slot that this host knows of, in parts of [`FLOW_LOAD`].
fn upstream_load(config: &SelectionConfig, record: &UpstreamRecord, now: Instant) -> u64 {
    let flow_load = if record.warm_at > now {
        config.cold_load
    } else {
        FLOW_LOAD
    };
    let flows = u64::from(record.flows)
        + u64::from(record.peer_flows)
        + config.waiting_flows * u64::from(record.waiting);
    flows * flow_load / u64::from(record.slots)
}
