//! Selects the upstreams of a new flow.
//!
//! Load pattern: long flows with a request now and then, many hosts that each see a part of them, and
//! upstreams with few slots. By hash alone some upstreams get twice the flows of others; by load alone a
//! dead one gets all, since nothing is in progress there. So the least loaded by slot is selected among
//! those that respond: local ones until they are saturated, and of equals the one with the larger
//! rendezvous weight, so that hosts without any flow do not all begin with the same.
//!
//! Upstreams of a contended service are drawn instead, by the room that [`crate::selection::room_weight`] states.
//!
//! A SYN is hedged: a second upstream gets it as well, and the caller takes whichever responds first.

use std::cmp::Ordering;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::ids::ZoneName;

use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::load::service_room::REQUEST_LOAD;
use crate::load::service_room::ServiceRoom;
use crate::policy_config::FLOW_LOAD;
use crate::policy_config::SelectionConfig;
use crate::selection::room_weight::draw_order;
use crate::selection::room_weight::is_at_connection_limit;
use crate::selection::room_weight::is_drawn_after;
use crate::selection::room_weight::known_in_progress;
use crate::selection::room_weight::room_weight;
use crate::upstreams::upstream_record::UpstreamRecord;
use crate::upstreams::upstream_table::UpstreamTable;

/// A new flow to be placed.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// The present time.
    pub now: Instant,
    /// The service.
    pub service: ServiceIndex,
    /// Hash of the flow.
    pub flow_hash: u64,
    /// Hosts of this zone that take packets, this one included.
    pub local_hosts: u32,
    /// Upstreams that got an earlier SYN of this flow.
    pub tried: &'a [UpstreamIndex],
    /// Load of the service.
    pub room: ServiceRoom,
    /// The zone that the flow leaves for; `None` if it stays.
    pub leaves_for: Option<&'a ZoneName>,
}

/// The upstreams that get a SYN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowSelection {
    /// The selected one.
    pub first: UpstreamIndex,
    /// Another one that gets the SYN as well: a hedge, or the probe of an ejected upstream.
    pub second: Option<UpstreamIndex>,
    /// Whether a sampled upstream is known to have a free slot, or the service is not contended.
    pub has_free_slot: bool,
}

/// Order of preference; smaller is better. Equals are told apart by rendezvous weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SelectionKey {
    degraded: bool,
    saturated: bool,
    tried: bool,
    remote: bool,
    /// Load by slot, in parts of [`FLOW_LOAD`]; while the service is contended, the order in the weighted draw.
    load: u64,
}

/// An upstream that may be selected.
#[derive(Clone, Copy, Debug)]
struct UpstreamCandidate {
    key: SelectionKey,
    index: UpstreamIndex,
}

/// The two best of the upstreams sampled so far, and one that is due for a probe.
#[derive(Clone, Copy, Debug, Default)]
struct SampledUpstreams {
    best: Option<UpstreamCandidate>,
    runner_up: Option<UpstreamCandidate>,
    probe: Option<UpstreamIndex>,
    /// Whether one of them that responds is known to have a free slot.
    has_free_slot: bool,
    /// Whether one of them that responds is not saturated.
    has_room: bool,
}

/// How an upstream of a contended service ranks, and what is known of its room.
#[derive(Clone, Copy, Debug)]
struct UpstreamRank {
    /// Its key, without the load.
    key: SelectionKey,
    /// Its weight in the draw.
    weight: f64,
    has_free_slot: bool,
    has_room: bool,
}

/// Selects the upstreams of a new flow; `None` if the service has none that takes flows.
pub fn select_upstream(table: &UpstreamTable, query: SelectionQuery<'_>) -> Option<FlowSelection> {
    let leaving = query
        .leaves_for
        .and_then(|zone| sample_zone(table, query, zone));
    let sampled = leaving.unwrap_or_else(|| sample_pool(table, query));
    let first = sampled.best?.index;
    let probe = sampled.probe.filter(|index| *index != first);
    let second = probe.or_else(|| hedge(table, query, first, sampled.runner_up?));
    Some(FlowSelection {
        first,
        second,
        has_free_slot: sampled.has_free_slot || !query.room.is_contended,
    })
}

/// Upstreams of another zone that the flow leaves for; `None` if none there is fit for it.
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
    sampled.add_all(table, of_zone.take(max_sampled), query, false);
    let is_fit = sampled.best.is_some_and(|best| !best.key.degraded);
    is_fit.then_some(sampled)
}

/// Upstreams of this zone, and those of other zones if these do not do.
fn sample_pool(table: &UpstreamTable, query: SelectionQuery<'_>) -> SampledUpstreams {
    let pool = table.pool(query.service);
    let max_sampled = max_sampled(table, query);
    let local = sample(&pool.local, query.flow_hash, max_sampled);
    let panic = is_panic_among(table, local.clone(), UpstreamRecord::is_degraded)
        && is_panic(table, query.service, UpstreamRecord::is_degraded);
    let mut sampled = SampledUpstreams::default();
    sampled.add_all(table, local, query, panic);
    if query.room.is_contended && !sampled.has_room {
        sampled.mark_saturated();
    }
    if !sampled.is_enough(table) {
        let remote = sample(&pool.remote, query.flow_hash, max_sampled);
        sampled.add_all(table, remote, query, panic);
    }
    sampled
}

/// Most upstreams of a zone that are sampled for this flow.
fn max_sampled(table: &UpstreamTable, query: SelectionQuery<'_>) -> usize {
    match query.room.is_contended {
        true => table.config().room.max_sampled,
        false => table.config().selection.max_sampled,
    }
}

/// The runner-up, if the SYN is to be hedged with it. While the service is contended, only a SYN to an upstream in
/// doubt is: any other hedge takes room that requests need.
fn hedge(
    table: &UpstreamTable,
    query: SelectionQuery<'_>,
    first: UpstreamIndex,
    runner_up: UpstreamCandidate,
) -> Option<UpstreamIndex> {
    let config = &table.config().selection;
    let record = table.get(runner_up.index);
    let doubtful = config.hedges_doubtful && table.get(first).silence.is_doubtful();
    let has_free_slot = record.requests(query.local_hosts) < record.slots;
    let is_calm = !query.room.is_contended;
    let sound = is_calm && config.hedges_sound && !runner_up.key.degraded && has_free_slot;
    let hedges = !table.is_warming(query.now, record) && (doubtful || sound);
    hedges.then_some(runner_up.index)
}

/// Whether so many upstreams of a service are `out` that the fault is likely on this host's path.
pub fn is_panic(
    table: &UpstreamTable,
    service: ServiceIndex,
    out: impl Fn(&UpstreamRecord) -> bool,
) -> bool {
    let pool = table.pool(service);
    let members = pool.local.iter().chain(&pool.remote);
    is_panic_among(table, members.copied(), out)
}

fn is_panic_among(
    table: &UpstreamTable,
    members: impl Iterator<Item = UpstreamIndex>,
    out: impl Fn(&UpstreamRecord) -> bool,
) -> bool {
    let records = members.map(|index| table.get(index));
    let usable = records.filter(|record| record.takes_flows());
    let (mut all, mut left_out) = (0, 0);
    for record in usable {
        all += 1;
        left_out += usize::from(out(record));
    }
    left_out * table.config().selection.panic_divisor > all
}

/// Part of a list of upstreams, from a place that follows from the flow's hash.
pub(crate) fn sample(
    members: &[UpstreamIndex],
    flow_hash: u64,
    most: usize,
) -> impl Iterator<Item = UpstreamIndex> + Clone {
    let start = match members.len() {
        0 => 0,
        length => flow_hash as usize % length,
    };
    let around = members[start..].iter().chain(&members[..start]);
    around.copied().take(most)
}

impl SampledUpstreams {
    /// Whether a local upstream will do, and there is a hedge for it if it is in doubt.
    fn is_enough(&self, table: &UpstreamTable) -> bool {
        let Some(best) = self.best else {
            return false;
        };
        let doubtful = table.get(best.index).silence.is_doubtful();
        let lacks_hedge = doubtful && self.runner_up.is_none();
        !best.key.degraded && !best.key.saturated && !best.key.tried && !lacks_hedge
    }

    fn add_all(
        &mut self,
        table: &UpstreamTable,
        members: impl Iterator<Item = UpstreamIndex> + Clone,
        query: SelectionQuery<'_>,
        panic: bool,
    ) {
        let pool = table.pool(query.service);
        let connection_limit = pool.connection_limit;
        let load_life = table.config().room.load_life;
        let is_measured = |at: Instant| query.now.saturating_duration_since(at) < load_life;
        let has_digest = query.room.updated_at.is_some_and(is_measured);
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
            let wants_probe = may_probe && record.silence.wants_probe(query.now);
            if wants_probe && !query.tried.contains(&index) {
                self.probe = Some(index);
            }
            let is_full = is_at_connection_limit(&table.config().room, record, connection_limit);
            let key = if query.room.is_contended {
                let rank = contended_rank(table, record, index, query, panic, is_full, mean_weight);
                self.has_free_slot |= rank.has_free_slot;
                self.has_room |= rank.has_room;
                match self.draw(record, rank, query.flow_hash) {
                    Some(key) => key,
                    None => continue,
                }
            } else {
                let mut key = selection_key(&table.config().selection, record, index, query, panic);
                key.saturated |= is_full;
                key
            };
            self.add(table, UpstreamCandidate { key, index }, query.flow_hash);
        }
    }

    /// The key of an upstream of a contended service; `None` if it comes after the two best.
    fn draw(
        &self,
        record: &UpstreamRecord,
        rank: UpstreamRank,
        flow_hash: u64,
    ) -> Option<SelectionKey> {
        let tag = record.tag.unwrap_or_default();
        let hash = rendezvous_weight(flow_hash, u64::from(tag));
        let loses = self.runner_up.is_some_and(|held| {
            let key = SelectionKey {
                load: held.key.load,
                ..rank.key
            };
            key >= held.key && is_drawn_after(hash, rank.weight, held.key.load)
        });
        (!loses).then(|| SelectionKey {
            load: draw_order(hash, rank.weight),
            ..rank.key
        })
    }

    /// Prefers upstreams that are not saturated to all of these.
    fn mark_saturated(&mut self) {
        for candidate in [&mut self.best, &mut self.runner_up].into_iter().flatten() {
            candidate.key.saturated = true;
        }
    }

    fn add(&mut self, table: &UpstreamTable, candidate: UpstreamCandidate, flow_hash: u64) {
        if is_better(table, candidate, self.best, flow_hash) {
            self.runner_up = self.best;
            self.best = Some(candidate);
        } else if is_better(table, candidate, self.runner_up, flow_hash) {
            self.runner_up = Some(candidate);
        }
    }
}

fn is_better(
    table: &UpstreamTable,
    candidate: UpstreamCandidate,
    held: Option<UpstreamCandidate>,
    flow_hash: u64,
) -> bool {
    let Some(held) = held else {
        return true;
    };
    let weight = |candidate: UpstreamCandidate| {
        let tag = table.get(candidate.index).tag.unwrap_or_default();
        rendezvous_weight(flow_hash, u64::from(tag))
    };
    match candidate.key.cmp(&held.key) {
        Ordering::Less => true,
        Ordering::Equal => weight(candidate) > weight(held),
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
        saturated: record.requests(query.local_hosts) >= record.slots * config.full_requests,
        tried: query.tried.contains(&index),
        remote: !record.is_local,
        load: upstream_load(config, record, query.now),
    }
}

/// The rank of an upstream of a contended service. Of one in another zone, only what this host placed is known.
///
/// A saturated one of this zone is drawn with little odds while others have room: one that got nothing would not
/// show when it has room again.
fn contended_rank(
    table: &UpstreamTable,
    record: &UpstreamRecord,
    index: UpstreamIndex,
    query: SelectionQuery<'_>,
    panic: bool,
    is_full: bool,
    mean_weight: Option<f64>,
) -> UpstreamRank {
    let config = table.config();
    let in_progress = known_in_progress(&config.room, record, query.now, query.local_hosts);
    let cold_load = config.selection.cold_load;
    let weight = room_weight(
        &config.room,
        cold_load,
        record,
        in_progress,
        mean_weight,
        query.now,
    );
    let slots = u64::from(record.slots) * u64::from(REQUEST_LOAD);
    let full = slots * u64::from(config.selection.full_requests);
    let degraded = record.is_degraded() && !panic;
    let saturated = u64::from(in_progress) >= full;
    let is_known = record.is_local || query.leaves_for == Some(&record.zone);
    UpstreamRank {
        key: SelectionKey {
            degraded,
            saturated: is_full || (saturated && !record.is_local),
            tried: query.tried.contains(&index),
            remote: !record.is_local,
            load: 0,
        },
        weight,
        has_free_slot: is_known && !degraded && !is_full && u64::from(in_progress) < slots,
        has_room: !degraded && !is_full && !saturated,
    }
}

/// Load by slot, in parts of [`FLOW_LOAD`], as far as this host knows.
fn upstream_load(config: &SelectionConfig, record: &UpstreamRecord, now: Instant) -> u64 {
    let flow_load = if record.warm_at > now {
        config.cold_load
    } else {
        FLOW_LOAD
    };
    let flows = u64::from(record.flows)
        + u64::from(record.flows_elsewhere)
        + config.waiting_flows * u64::from(record.waiting);
    flows * flow_load / u64::from(record.slots)
}
