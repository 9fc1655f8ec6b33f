//! The parameters of an experiment: hosts, upstreams, zones, callers and their requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::config_snapshot::HostEntry;
use lagoonproxy::config_snapshot::HostView;
use lagoonproxy::config_snapshot::ServiceEntry;
use lagoonproxy::config_snapshot::UpstreamEntry;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::ServiceId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::ids::ZoneName;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::work_shape::WorkShape;

/// The one service of every experiment.
pub const SERVICE: ServiceId = 1;

/// A class of callers with the same traffic pattern.
#[derive(Clone, Debug)]
pub struct CallerClass {
    /// Name of the class in reports.
    pub name: &'static str,
    /// Number of callers.
    pub callers: u32,
    /// Offered load: request rate as a fraction of the rate that saturates all slots at `mean`.
    pub load: f64,
    /// Mean service time.
    pub mean: Duration,
    /// Distribution of service times.
    pub shape: WorkShape,
    /// The upstream that all requests must run on, if any.
    pub pinned: Option<UpstreamId>,
    /// Fraction of the requests that are pinned, each to an upstream drawn at random.
    pub pinned_share: f64,
    /// First and last moment at which the class sends, as offsets from the start.
    pub active: (Duration, Duration),
}

/// Behaviour of callers whose request was rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryBehavior {
    /// Callers give up.
    Leave,
    /// Callers retry after the `retry_after` of the rejection, at most this many times.
    RetryAfter(u32),
    /// Callers retry after a fixed delay and ignore `retry_after`, at most this many times.
    FixedDelay(Duration, u32),
}

/// Published upstreams that differ from the initial configuration.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// Draining upstreams.
    pub draining: Vec<UpstreamId>,
    /// Upstreams that are no longer published.
    pub gone: Vec<UpstreamId>,
    /// Upstreams that were restarted and have a new generation.
    pub restarted: Vec<UpstreamId>,
}

/// Parameters of an experiment.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Entry hosts, assigned to the zones in turn.
    pub hosts: u32,
    /// Upstreams, assigned to the zones in turn.
    pub upstreams: u32,
    /// Published slots per upstream.
    pub slots: u32,
    /// Number of zones.
    pub zones: u32,
    /// Caller classes.
    pub classes: Vec<CallerClass>,
    /// Time from the arrival of a request to its deadline.
    pub request_timeout: Duration,
    /// Whether requests may run twice.
    pub idempotent: bool,
    /// Behaviour of callers whose request was rejected.
    pub retry_behavior: RetryBehavior,
    /// Time during which requests arrive.
    pub length: Duration,
    /// Time at the beginning that is left out of the results.
    pub warm_up: Duration,
    /// Fraction of messages between hosts that are lost.
    pub loss: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl ClusterPlan {
    /// Returns a plan with 8 hosts, 14 upstreams of 2 slots, 3 zones and one class of 100 callers.
    pub fn standard(load: f64, shape: WorkShape, seed: u64) -> Self {
        let length = Duration::from_secs(130);
        Self {
            hosts: 8,
            upstreams: 14,
            slots: 2,
            zones: 3,
            classes: vec![CallerClass::steady(load, shape)],
            request_timeout: Duration::from_secs(4),
            idempotent: false,
            retry_behavior: RetryBehavior::Leave,
            length,
            warm_up: Duration::from_secs(10),
            loss: 0.0,
            seed,
        }
    }

    /// Returns the published slots of all upstreams.
    pub fn all_slots(&self) -> u32 {
        self.upstreams * self.slots
    }

    /// Returns the zone of a host or upstream.
    pub fn zone(&self, id: u32) -> u32 {
        id % self.zones
    }

    /// Returns the configuration with the differences in `state` applied.
    pub fn config(&self, version: u64, state: &FleetState) -> Arc<ConfigSnapshot> {
        let mut ids: Vec<UpstreamId> = (0..self.upstreams).collect();
        ids.retain(|id| !state.gone.contains(id));
        let service = ServiceEntry {
            id: SERVICE,
            name: "ledger".into(),
            address: ([10, 0, 0, 1], 700).into(),
            upstreams: ids.clone(),
        };
        let entry = |id: UpstreamId| UpstreamEntry {
            id,
            name: format!("ledger-{id}").into(),
            address: ([127, 0, 1, 1], 5_000 + id as u16).into(),
            health_address: None,
            zone: self.zone_name(id),
            incarnation: u64::from(state.restarted.contains(&id)),
            state: match state.draining.contains(&id) {
                true => UpstreamState::Draining,
                false => UpstreamState::Active,
            },
            slots: self.slots,
            connections: 2_000,
        };
        Arc::new(ConfigSnapshot {
            version,
            services: HashMap::from([(SERVICE, service)]),
            upstreams: ids.into_iter().map(|id| (id, entry(id))).collect(),
            addresses: HashMap::from([(([10, 0, 0, 1], 700).into(), SERVICE)]),
        })
    }

    /// Returns the view of the hosts in which all but `dead` are alive.
    pub fn host_view(&self, dead: &[HostId]) -> Arc<HostView> {
        let entry = |id: HostId| HostEntry {
            id,
            zone: self.zone_name(id),
            cell: 0,
            peer_address: ([127, 0, 2, 1], 6_000 + id as u16).into(),
            control_address: ([127, 0, 2, 1], 7_000 + id as u16).into(),
            leaving: false,
        };
        Arc::new(HostView {
            version: 1,
            published: (0..self.hosts).map(entry).collect(),
            alive: (0..self.hosts).filter(|id| !dead.contains(id)).collect(),
        })
    }

    /// Returns the one-way delay between two zones: 0.5 ms within a zone, a random 3 to 4 ms
    /// between zones.
    pub fn delay(&self, random: &mut StdRng, one: u32, other: u32) -> Duration {
        if one == other {
            Duration::from_micros(500)
        } else {
            Duration::from_micros(random.random_range(3_000..4_000))
        }
    }

    fn zone_name(&self, id: u32) -> ZoneName {
        format!("zone-{}", self.zone(id)).into()
    }
}

impl CallerClass {
    /// Returns a class of 100 callers that send throughout, with a mean service time of 100 ms.
    pub fn steady(load: f64, shape: WorkShape) -> Self {
        Self {
            name: "all",
            callers: 100,
            load,
            mean: Duration::from_millis(100),
            shape,
            pinned: None,
            pinned_share: 0.0,
            active: (Duration::ZERO, Duration::MAX),
        }
    }

    /// Returns the requests per second that the class offers to `slots` slots.
    pub fn rate(&self, slots: u32) -> f64 {
        self.load * f64::from(slots) / self.mean.as_secs_f64()
    }
}
