//! Counts flows as load at their upstreams while they are active.
//!
//! When all hosts of a zone return at once, the fabric first sends flows to the first ready host
//! and then moves them to the others, and callers give up at their deadlines without closing their
//! flows. The first host does not see these flows end. If it counted them until their idle timeout
//! (12 s), most of them as waiting, it would report its own zone as full and the others as empty.
//! All hosts would then send most new flows out of their zone for that time.
//!
//! A flow is therefore active while it has packets. After several times the usual pause of its
//! route it becomes idle: it keeps its record but no longer counts, until its next packet makes it
//! active again.

use crate::flows::flow_table::FlowActivity;
use crate::flows::flow_table::FlowRecord;
use crate::flows::flow_table::HalfOpenFlow;
use crate::upstreams::upstream_table::UpstreamTable;

/// Counts a flow whose caller now waits for a response.
pub fn begin_waiting(record: &FlowRecord, upstreams: &mut UpstreamTable) {
    upstreams.get_mut(record.upstream).waiting += 1;
}

/// Stops counting a flow as waiting, after a response or when it no longer counts.
pub fn stop_waiting(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    let waited = record.waiting_since.take().is_some();
    if waited && record.activity == FlowActivity::Active {
        upstreams.get_mut(record.upstream).waiting -= 1;
    }
}

/// Marks an active flow as idle, after a pause that is longer than usual on its route.
pub fn mark_idle(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    record.activity = FlowActivity::Idle;
    let upstream = upstreams.get_mut(record.upstream);
    upstream.flows -= 1;
    upstream.idle += 1;
    upstream.waiting -= u32::from(record.waiting_since.is_some());
}

/// Marks an idle flow as active, upon a packet. Has no effect on other flows.
pub fn mark_active(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    if record.activity != FlowActivity::Idle {
        return;
    }
    record.activity = FlowActivity::Active;
    let upstream = upstreams.get_mut(record.upstream);
    upstream.flows += 1;
    upstream.idle -= 1;
    upstream.waiting += u32::from(record.waiting_since.is_some());
}

/// Marks a flow as closing, after its caller has ended its stream.
pub fn mark_closing(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    stop_counting(record, upstreams);
    record.activity = FlowActivity::Closing;
    upstreams.get_mut(record.upstream).closing += 1;
}

/// Stops counting a flow that is closing or removed.
pub fn stop_counting(record: &mut FlowRecord, upstreams: &mut UpstreamTable) {
    stop_waiting(record, upstreams);
    let upstream = upstreams.get_mut(record.upstream);
    match record.activity {
        FlowActivity::Active => upstream.flows -= 1,
        FlowActivity::Idle => upstream.idle -= 1,
        FlowActivity::Closing => upstream.closing -= 1,
    }
}

/// Stops counting the SYNs of a flow that is established or whose caller has given up.
pub fn release_attempts(half_open_flow: &HalfOpenFlow, upstreams: &mut UpstreamTable) {
    for attempt in &half_open_flow.attempts {
        let upstream = upstreams.get_mut(attempt.upstream);
        upstream.flows -= 1;
        upstream.opening -= 1;
    }
}
