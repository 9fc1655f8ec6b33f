//! Parameters of the policies of the packet path, with their units and defaults.
//!
//! Each policy reads its part of [`PolicyConfig`]. Tests and experiments pass other values to
//! [`crate::packet_core::PacketCore::new`].

use std::time::Duration;

use crate::admission::class_admission::ClassAdmissionConfig;
use crate::dispatch::dispatch_policy::DispatchConfig;
use crate::flows::flow_cost::FlowCostConfig;
use crate::load::load_view::LoadExchangeConfig;
use crate::selection::room_weight::RoomWeightConfig;
use crate::selection::zone_spill::ZoneSpillConfig;

/// Load of one flow at a warm upstream.
pub const FLOW_LOAD: u64 = 100;

/// The parameters of every policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyConfig {
    /// Upstream selection for new flows.
    pub selection: SelectionConfig,
    /// Failure detection from unanswered packets.
    pub detector: DetectorConfig,
    /// Outlier detection by failed requests.
    pub outlier: OutlierConfig,
    /// Grace of registrations that lapse.
    pub lapse: LapseConfig,
    /// Which flows count as active.
    pub load: LoadConfig,
    /// Admission of SYN retransmissions.
    pub admission: AdmissionConfig,
    /// Load exchange among hosts.
    pub exchange: LoadExchangeConfig,
    /// Placement by dispatchers.
    pub dispatch: DispatchConfig,
    /// Admission by priority class.
    pub classes: ClassAdmissionConfig,
    /// Selection by room.
    pub room: RoomWeightConfig,
    /// Costs of flows.
    pub costs: FlowCostConfig,
    /// Spill to other zones.
    pub spill: ZoneSpillConfig,
}

/// Parameters of [`crate::selection::upstream_selection`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionConfig {
    /// Load of one flow at an upstream that warms up, against [`FLOW_LOAD`].
    pub cold_load: u64,
    /// Requests in progress a slot from which an upstream is saturated. Below the queue length at which
    /// upstreams shed.
    pub full_requests: u32,
    /// Flows that a flow with a request in progress counts for in addition.
    pub waiting_flows: u64,
    /// Panic threshold: ejections are ignored once more than one upstream in this many is ejected, since
    /// the fault is then likely on this host's own path.
    pub panic_divisor: usize,
    /// Most upstreams of a zone that are sampled for a new flow.
    pub max_sampled: usize,
    /// Whether a SYN to an upstream in doubt is hedged.
    pub hedges_doubtful: bool,
    /// Whether any other SYN is hedged, if the second upstream is healthy and has a free slot.
    pub hedges_sound: bool,
}

/// Parameters of [`crate::health::failure_detector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Consecutive unanswered attempts that eject an upstream.
    pub silent_attempts: u32,
    /// Unanswered attempts, of two callers or more, after which an upstream is dead and its flows are
    /// reset. A reset cannot be taken back, so that this exceeds `silent_attempts`.
    pub dark_attempts: u32,
    /// Shortest time without a response of an upstream that is dead.
    pub dark_silence: Duration,
    /// Shortest age of a packet whose retransmission counts as an unanswered attempt. Less is
    /// reordering or duplication.
    pub soonest_repeat: Duration,
    /// How long an unanswered attempt counts. Flows move between hosts, so that a host that hears
    /// nothing of an upstream for longer knows nothing of it.
    pub dark_memory: Duration,
    /// Ejection time before an upstream is probed.
    pub ejection: Duration,
    /// Pause between two probes of an ejected upstream.
    pub probe_pause: Duration,
}

/// Parameters of [`crate::health::answer_record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutlierConfig {
    /// Time to the first byte of a response after which a request counts as failed.
    pub failed_wait: Duration,
    /// Multiple of its route's mean response time after which a request to a contended service counts as
    /// failed, if that is longer.
    pub contended_times: u32,
    /// Fewest failed requests that eject an upstream.
    pub fewest_failed: u32,
    /// An upstream is ejected if one request in this many fails.
    pub failed_share: u32,
    /// Ejection time after the counts no longer call for it.
    pub left_out: Duration,
    /// Numerator and denominator of the share of a route's usual response size below which a response
    /// counts as an error.
    pub short_share: (u64, u64),
    /// Fewest responses of a route before one of them counts as an error by its size.
    pub fewest_answers: u64,
}

/// Parameters of registrations that lapse without notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LapseConfig {
    /// How long an upstream that responds is used without a registration. Covers the time in which
    /// registrations that lapsed during an outage of the store are back.
    pub grace: Duration,
    /// Greatest age of a response that keeps an upstream in use.
    pub recent_response: Duration,
    /// How long a registration stands that a restored store has lost, wholly or in its last state. Covers the time in
    /// which upstreams write again, and in which the store removes those that do not.
    pub restored_grace: Duration,
    /// How long an evacuation stands that a restored store has lost.
    pub evacuation_grace: Duration,
}

/// Parameters of [`crate::flows::flow_load`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadConfig {
    /// Shortest time without a packet after which a flow is idle. Longer than retransmissions are apart.
    pub idle_floor: Duration,
    /// Multiple of its route's usual pause after which a flow is idle.
    pub idle_times: u32,
}

/// Parameters of [`crate::admission::opening_admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Requests in progress a slot from which late SYN retransmissions are deferred.
    pub busy_requests: u32,
}

impl Default for SelectionConfig {
    fn default() -> Self {
        Self {
            cold_load: 160,
            full_requests: 3,
            waiting_flows: 3,
            panic_divisor: 2,
            max_sampled: 48,
            hedges_doubtful: true,
            hedges_sound: true,
        }
    }
}

impl Default for DetectorConfig {
    fn default() -> Self {
        Self {
            silent_attempts: 2,
            dark_attempts: 3,
            dark_silence: Duration::from_millis(350),
            soonest_repeat: Duration::from_millis(150),
            dark_memory: Duration::from_secs(2),
            ejection: Duration::from_millis(1000),
            probe_pause: Duration::from_millis(300),
        }
    }
}

impl Default for OutlierConfig {
    fn default() -> Self {
        Self {
            failed_wait: Duration::from_millis(450),
            contended_times: 8,
            fewest_failed: 3,
            failed_share: 4,
            left_out: Duration::from_secs(5),
            short_share: (3, 10),
            fewest_answers: 16,
        }
    }
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            idle_floor: Duration::from_secs(1),
            idle_times: 8,
        }
    }
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self { busy_requests: 1 }
    }
}

impl Default for LapseConfig {
    fn default() -> Self {
        Self {
            grace: Duration::from_millis(2500),
            recent_response: Duration::from_millis(1000),
            restored_grace: Duration::from_secs(5),
            evacuation_grace: Duration::from_secs(30),
        }
    }
}
