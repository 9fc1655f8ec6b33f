//! Distinguishes sheds from failures.
//!
//! Load pattern: upstreams without room answer with a short error that says that the request has not run, at once
//! or after it has waited in their queue. Taken for failures, these eject upstreams whose only fault is that they
//! are busy, and the others get their load on top. An upstream with free slots has no reason to shed, so that its
//! short errors stay failures.

use crate::ids::UpstreamIndex;
use crate::load::service_room::REQUEST_LOAD;
use crate::upstreams::upstream_table::UpstreamTable;

/// Whether a short error that came within [`crate::load::load_view::LoadExchangeConfig::shed_wait`] of its request is a
/// shed of this upstream.
pub fn is_shed(upstreams: &UpstreamTable, index: UpstreamIndex) -> bool {
    let record = upstreams.get(index);
    let pool = upstreams.pool(record.service);
    let is_full = record.load.in_progress >= record.slots.saturating_mul(REQUEST_LOAD);
    let is_pressed = pool.pressure >= upstreams.config().exchange.shed_pressure;
    pool.is_contended && (is_full || is_pressed)
}
