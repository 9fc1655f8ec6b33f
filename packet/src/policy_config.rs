//! The parameters of the packet path's policies, and their defaults.
//!
//! Each policy reads its part of [`PolicyConfig`]. Operators may override some of them, and tests
//! pass other values to [`crate::packet_core::PacketCore::new`].

use std::time::Duration;

use crate::admission::class_admission::ClassAdmissionConfig;
use crate::dispatch::dispatch_policy::DispatchConfig;
use crate::flows::flow_cost::FlowCostConfig;
use crate::load::load_tracker::LoadExchangeConfig;
use crate::selection::load_weight::LoadWeightConfig;
use crate::selection::zone_spill::ZoneSpillConfig;

/// Load of one flow at a warm upstream. Flow loads are expressed in parts of it.
pub const FLOW_LOAD: u64 = 100;

/// The parameters of every policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyConfig {
    /// Upstream selection for new flows.
    pub selection: SelectionConfig,
    /// Failure detection from unanswered attempts.
    pub detector: DetectorConfig,
    /// Outlier detection from failed requests.
    pub outlier: OutlierConfig,
    /// Grace times of lapsed registrations.
    pub lapse: LapseConfig,
    /// Idle times of flows.
    pub load: LoadConfig,
    /// Deferral of SYN retransmissions.
    pub admission: AdmissionConfig,
    /// Load exchange between hosts.
    pub exchange: LoadExchangeConfig,
    /// Placement by dispatchers.
    pub dispatch: DispatchConfig,
    /// Admission by priority class.
    pub classes: ClassAdmissionConfig,
    /// Selection by load while a service is contended.
    pub load_weight: LoadWeightConfig,
    /// Expected load of new flows.
    pub costs: FlowCostConfig,
    /// Spill to other zones.
    pub spill: ZoneSpillConfig,
}

/// Parameters of [`crate::selection::upstream_selection`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionConfig {
    /// Load of one flow at a warming upstream, in the unit of [`FLOW_LOAD`].
    pub cold_load: u64,
    /// Requests in progress per slot from which an upstream is saturated. Below the queue length at
    /// which upstreams shed.
    pub saturation_requests: u32,
    /// Number of flows that a request in progress adds to the load of an upstream, on top of the
    /// flow that carries it.
    pub waiting_flows: u64,
    /// Panic threshold: ejections are ignored once more than one in this many upstreams is ejected,
    /// since the fault is then likely on this host's own path.
    pub panic_divisor: usize,
    /// Largest number of a zone's upstreams that are sampled for a new flow.
    pub max_sampled: usize,
    /// Whether a SYN is hedged if the first upstream is suspected: it has not responded yet, or has
    /// left an attempt unanswered.
    pub hedges_suspected: bool,
    /// Whether other SYNs are hedged too, if the second upstream is healthy and has free capacity.
    pub hedges_healthy: bool,
}

/// Parameters of [`crate::health::failure_detector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Consecutive unanswered attempts after which an upstream is ejected.
    pub ejection_attempts: u32,
    /// Retransmissions of unanswered requests of at least two callers after which the flows of an
    /// upstream whose registration has ended are reset. Larger than `ejection_attempts`, since a
    /// reset is irreversible.
    pub reset_attempts: u32,
    /// Shortest time without a response after which these flows are reset.
    pub min_silence: Duration,
    /// Shortest time between a packet and its retransmission that counts as an unanswered attempt.
    /// Shorter times indicate reordering or duplication.
    pub min_retransmission_age: Duration,
    /// How long an unanswered attempt counts. Flows move between hosts, so that a host that has
    /// seen nothing of an upstream for longer cannot tell its state.
    pub attempt_lifetime: Duration,
    /// How long an upstream is ejected before it is probed.
    pub ejection: Duration,
    /// Interval between probes of an ejected upstream.
    pub probe_interval: Duration,
}

/// Parameters of [`crate::health::outlier_detector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutlierConfig {
    /// Time to the first byte of a response after which a request counts as failed.
    pub failure_timeout: Duration,
    /// Multiple of the route's mean response time that replaces `failure_timeout` for contended
    /// services, if it is longer.
    pub contended_timeout_factor: u32,
    /// Smallest number of failed requests that ejects an upstream.
    pub min_failures: u32,
    /// An upstream is ejected if at least one in this many requests fails.
    pub failure_divisor: u32,
    /// How long an upstream stays ejected after its counts no longer require it.
    pub ejection: Duration,
    /// Numerator and denominator of the fraction of a route's usual response size below which a
    /// response counts as an error.
    pub short_response_ratio: (u64, u64),
    /// Smallest number of responses of a route before a response can count as an error by its size.
    pub min_responses: u64,
}

/// Parameters of registrations that lapse without a deregistration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LapseConfig {
    /// How long an upstream that responds is used after its registration lapsed. Covers the time in
    /// which upstreams register again after an outage of the store.
    pub grace: Duration,
    /// Largest age of the last response at which an upstream counts as responding when its
    /// registration vanishes.
    pub max_response_age: Duration,
    /// How long a registration stays in use if a restored store has lost it or its last state.
    /// Covers the time in which upstreams write their registrations again, and in which the store
    /// removes those of the others.
    pub restored_grace: Duration,
    /// How long an evacuation that a restored store has lost stays in effect.
    pub evacuation_grace: Duration,
}

/// Parameters of [`crate::flows::flow_load`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadConfig {
    /// Shortest time without a packet after which a flow is idle. Longer than the interval between
    /// retransmissions.
    pub min_idle_time: Duration,
    /// Multiple of the route's usual pause between packets after which a flow is idle.
    pub idle_pause_factor: u32,
}

/// Parameters of [`crate::admission::syn_deferral`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Requests in progress per slot from which late SYN retransmissions are deferred.
    pub busy_requests: u32,
}

impl Default for SelectionConfig {
    fn default() -> Self {
        Self {
            cold_load: 160,
            saturation_requests: 3,
            waiting_flows: 3,
            panic_divisor: 2,
            max_sampled: 48,
            hedges_suspected: true,
            hedges_healthy: true,
        }
    }
}

impl Default for DetectorConfig {
    fn default() -> Self {
        Self {
            ejection_attempts: 2,
            reset_attempts: 3,
            min_silence: Duration::from_secs(2),
            min_retransmission_age: Duration::from_millis(150),
            attempt_lifetime: Duration::from_secs(2),
            ejection: Duration::from_millis(1000),
            probe_interval: Duration::from_millis(300),
        }
    }
}

impl Default for OutlierConfig {
    fn default() -> Self {
        Self {
            failure_timeout: Duration::from_millis(450),
            contended_timeout_factor: 8,
            min_failures: 3,
            failure_divisor: 4,
            ejection: Duration::from_secs(5),
            short_response_ratio: (3, 10),
            min_responses: 16,
        }
    }
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            min_idle_time: Duration::from_secs(1),
            idle_pause_factor: 8,
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
            max_response_age: Duration::from_millis(1000),
            restored_grace: Duration::from_secs(5),
            evacuation_grace: Duration::from_secs(30),
        }
    }
}
