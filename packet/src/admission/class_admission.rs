//! Which SYNs of a contended service are placed now, by priority class.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;

use crate::load::service_room::ServiceRoom;
use crate::routes::route_table::RequestClass;

/// Parameters of admission by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassAdmissionConfig {}

/// A SYN of a contended service.
#[derive(Clone, Copy, Debug)]
pub struct SynQuery {
    /// The load of its service.
    pub room: ServiceRoom,
    /// The class of the request inside.
    pub class: RequestClass,
    /// Which retransmission it is; 0 for the first SYN.
    pub copy: u32,
    /// Hash of the flow, alike on every host.
    pub flow_hash: u64,
    /// An earlier SYN of the flow went to an upstream through this host.
    pub placed_before: bool,
    /// Every earlier SYN of the flow was deferred by this host. True for the first.
    pub deferred_before: bool,
    /// Whether an upstream is known to have a free slot.
    pub has_free_slot: bool,
    /// Whether the caller uses far more than others of its class.
    pub is_heavy_caller: bool,
    /// Latency objective of the route, from the first SYN.
    pub target: Option<Duration>,
    /// Timeout of the route, from the first SYN.
    pub timeout: Option<Duration>,
}

/// What becomes of a SYN.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SynVerdict {
    /// It is placed.
    Admit,
    /// It is dropped, and its caller sends the next one.
    Defer(ResultCode),
    /// The flow is reset: its request has not run and will not.
    Refuse(ResultCode),
}

/// Decides about a SYN.
pub fn judge_syn(_config: &ClassAdmissionConfig, _query: &SynQuery) -> SynVerdict {
    SynVerdict::Admit
}
