//! Selects the upstreams of a new flow.
//!
//! Load pattern: long flows with a request now and then, many hosts that each see a part of them, and
//! upstreams with few slots. By hash alone some upstreams get twice the flows of others; by load alone a
//! dead one gets all, since nothing is in progress there. So the least loaded by slot is selected among
//! those that respond: local ones until they are saturated, and of equals the one with the larger
//! rendezvous weight, so that hosts without any flow do not all begin with the same.
//!
//! A SYN is hedged: a second upstream gets it as well, and the caller takes whichever responds first.

use std::cmp::Ordering;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::ids::ZoneName;

use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::load::service_room::ServiceRoom;
use crate::policy_config::FLOW_LOAD;
use crate::policy_config::SelectionConfig;
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
    /// Load by slot, in parts of [`FLOW_LOAD`].
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
}

/// Selects the upstreams of a new flow; `None` if the service has none that takes flows.
pub fn select_upstream(table: &UpstreamTable, query: SelectionQuery<'_>) -> Option<FlowSelection> {
    let pool = table.pool(query.service);
    let config = &table.config().selection;
    let local = sample(&pool.local, query.flow_hash, config.max_sampled);
    let panic = is_panic_among(table, local.clone(), UpstreamRecord::is_degraded)
        && is_panic(table, query.service, UpstreamRecord::is_degraded);
    let mut sampled = SampledUpstreams::default();
    sampled.add_all(table, local, query, panic);
    if !sampled.is_enough(table) {
        let remote = sample(&pool.remote, query.flow_hash, config.max_sampled);
        sampled.add_all(table, remote, query, panic);
    }
    let first = sampled.best?.index;
    let probe = sampled.probe.filter(|index| *index != first);
    let second = probe.or_else(|| hedge(table, query, first, sampled.runner_up?));
    Some(FlowSelection {
        first,
        second,
        has_free_slot: true,
    })
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
fn sample(
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
            let key = selection_key(&table.config().selection, record, index, query, panic);
            self.add(table, UpstreamCandidate { key, index }, query.flow_hash);
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
