//! Where a new flow goes.
//!
//! Load pattern: long flows that each send a request now and then, many hosts that each see a part
//! of them, upstreams with two slots. Placing by hash alone gives some upstreams twice the flows
//! of others and their requests wait; placing by load alone fills whoever is dark, since nothing
//! is in progress there. So: least loaded a slot among those that answer, in the own zone as long
//! as one is there (a flow that leaves the zone pays two crossings a packet and ends with the next
//! cut), and of equals the one with the larger rendezvous weight, so that hosts that know nothing
//! yet do not all begin with the same.

use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;

use crate::ids::ServiceIndex;
use crate::ids::UpstreamIndex;
use crate::upstream_record::UpstreamRecord;
use crate::upstream_table::UpstreamTable;

/// Parts of load that one flow counts for on a warm upstream.
const FLOW_LOAD: u64 = 100;

/// The same on an upstream that has just started. Cold upstreams take 1.6 times as long here.
const COLD_FLOW_LOAD: u64 = 160;

/// A flow that waits for an answer counts as this many more flows: it occupies a slot or a place in
/// the queue now. Of 1, 3 and 8, three served most on days with a rush (0.1 % more worth than 1).
const WAITING_FLOWS: u64 = 3;

/// Of a service's upstreams, one in this many may be avoided at a time (panic threshold). When
/// more seem silent, the fault is likely this host's own path, and crowding the rest makes it worse.
const MOST_AVOIDED: usize = 2;

/// A new flow to be placed.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// The present time.
    pub now: Instant,
    /// The service.
    pub service: ServiceIndex,
    /// Hash of the flow.
    pub flow_hash: u64,
    /// Upstreams that earlier copies of the opening packet went to.
    pub tried: &'a [UpstreamIndex],
}

/// The upstreams that get an opening packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowChoice {
    /// The best one.
    pub first: UpstreamIndex,
    /// Another that gets the packet at the same time, where the first is doubtful or this one is
    /// to be tried. The caller takes whoever answers first.
    pub second: Option<UpstreamIndex>,
}

/// Order of preference; smaller is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ChoiceRank {
    avoided: bool,
    tried: bool,
    far: bool,
    load: u64,
    tie: u64,
}

/// Chooses the upstreams of a new flow; `None` if the service has nobody that takes flows.
pub fn choose_upstream(table: &UpstreamTable, query: ChoiceQuery<'_>) -> Option<FlowChoice> {
    let panic = is_panic(table, query.service);
    let mut best: Option<(ChoiceRank, UpstreamIndex)> = None;
    let mut next: Option<(ChoiceRank, UpstreamIndex)> = None;
    let mut trial = None;
    for index in table.pool(query.service).members.iter().copied() {
        let record = table.get(index);
        if !record.takes_flows() {
            continue;
        }
        if record.silence.wants_trial(query.now) && !query.tried.contains(&index) {
            trial = Some(index);
        }
        let ranked = (rank(record, index, query, panic), index);
        if best.is_none_or(|best| ranked < best) {
            next = best;
            best = Some(ranked);
        } else if next.is_none_or(|next| ranked < next) {
            next = Some(ranked);
        }
    }
    let (_rank, first) = best?;
    let doubtful = table.get(first).silence.is_doubtful();
    let beside = next.map(|(_rank, index)| index).filter(|_index| doubtful);
    let second = trial.filter(|index| *index != first).or(beside);
    Some(FlowChoice { first, second })
}

/// Whether so many upstreams of a service seem silent that the fault is likely on this side.
pub fn is_panic(table: &UpstreamTable, service: ServiceIndex) -> bool {
    let members = &table.pool(service).members;
    let records = || members.iter().map(|index| table.get(*index));
    let usable = records().filter(|record| record.takes_flows()).count();
    let avoided = records()
        .filter(|record| record.takes_flows() && record.silence.is_avoided())
        .count();
    avoided * MOST_AVOIDED > usable
}

fn rank(
    record: &UpstreamRecord,
    index: UpstreamIndex,
    query: ChoiceQuery<'_>,
    panic: bool,
) -> ChoiceRank {
    let flow_load = if record.warm_at > query.now {
        COLD_FLOW_LOAD
    } else {
        FLOW_LOAD
    };
    let flows = u64::from(record.flows)
        + u64::from(record.flows_elsewhere)
        + WAITING_FLOWS * u64::from(record.waiting);
    let tag = u64::from(record.tag.unwrap_or_default());
    ChoiceRank {
        avoided: record.silence.is_avoided() && !panic,
        tried: query.tried.contains(&index),
        far: !record.near,
        load: flows * flow_load / u64::from(record.slots),
        tie: u64::MAX - rendezvous_weight(query.flow_hash, tag),
    }
}
