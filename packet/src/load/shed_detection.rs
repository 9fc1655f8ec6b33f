//! Distinguishes shed requests from failed ones.
//!
//! A short error is a response that is much shorter than usual for its route. Upstreams without
//! free capacity respond with a short error, at once or after the request has waited in their
//! queue, which states that the request was not executed. If such errors counted as failures, they
//! would eject busy upstreams, and the remaining ones would get their load in addition. An upstream
//! with free slots has no reason to shed, so its short errors remain failures.

use crate::ids::UpstreamIndex;
use crate::load::load_state::REQUEST_LOAD;
use crate::upstreams::upstream_table::UpstreamTable;

/// Returns whether a short error of this upstream is a shed, provided that it arrived within
/// [`crate::load::load_tracker::LoadExchangeConfig::max_shed_delay`] of its request.
pub fn is_shed(upstreams: &UpstreamTable, index: UpstreamIndex) -> bool {
    let record = upstreams.get(index);
    let pool = upstreams.pool(record.service);
    let is_full = record.load.in_progress >= record.slots.saturating_mul(REQUEST_LOAD);
    let is_pressed = pool.pressure >= upstreams.config().exchange.shed_pressure;
    pool.is_contended && (is_full || is_pressed)
}
