//! Active and idle flows: which of them count as load at their upstreams.
//!
//! Load pattern: all hosts of a zone come back at once. The fabric hands flows to the first that is
//! ready, moves them to the others as it notices those, and callers give up at their deadlines without
//! a word. The first host sees no end of any of these flows. Counted until their idle time (12 s),
//! most of them as waiting, they make its own zone look full and the others empty, to every host at
//! the same time: most new flows leave their zone, each zone's callers for another one, until that time is
//! over.
//!
//! So a flow is active while it has packets. After several times the usual pause of its route it is idle: it
//! keeps its record, counts no longer, and is active again with its next packet.

use crate::flows::flow_table::FlowRecord;
use crate::flows::flow_table::FlowUsage;
use crate::flows::flow_table::OpeningRecord;
use crate::upstreams::upstream_table::UpstreamTable;

/// A request has gone out.
pub fn begin_waiting(record: &FlowRecord, upstreams: &mut UpstreamTable) {
    upstreams.get_mut(record.upstream).waiting += 1;
}

/// An answer has come, or nobody waits for one any more.
pub fn stop_waiting(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    let waited = record.waiting_since.take().is_some();
    if waited && record.usage == FlowUsage::Active {
        upstreams.get_mut(record.upstream).waiting -= 1;
    }
}

/// An active flow has had no packet for longer than is usual on its route.
pub fn become_idle(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    record.usage = FlowUsage::Idle;
    let upstream = upstreams.get_mut(record.upstream);
    upstream.flows -= 1;
    upstream.idle += 1;
    upstream.waiting -= u32::from(record.waiting_since.is_some());
}

/// An idle flow has a packet.
pub fn become_active(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    if record.usage != FlowUsage::Idle {
        return;
    }
    record.usage = FlowUsage::Active;
    let upstream = upstreams.get_mut(record.upstream);
    upstream.flows += 1;
    upstream.idle -= 1;
    upstream.waiting += u32::from(record.waiting_since.is_some());
}

/// The caller has ended its stream.
pub fn close(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    leave(record, upstreams);
    record.usage = FlowUsage::Closing;
}

/// The flow is forgotten.
pub fn leave(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    stop_waiting(record, upstreams);
    let upstream = upstreams.get_mut(record.upstream);
    match record.usage {
        FlowUsage::Active => upstream.flows -= 1,
        FlowUsage::Idle => upstream.idle -= 1,
        FlowUsage::Closing => {}
    }
}

/// The SYNs of a flow no longer count: it has opened, or its caller has given up.
pub fn release(opening: &OpeningRecord, upstreams: &mut UpstreamTable) {
    for attempt in &opening.attempts {
        let upstream = upstreams.get_mut(attempt.upstream);
        upstream.flows -= 1;
        upstream.opening -= 1;
    }
}
