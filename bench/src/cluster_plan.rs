//! What an experiment is made of: hosts, upstreams, zones, callers and their work.

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

/// One kind of caller.
#[derive(Clone, Debug)]
pub struct CallerClass {
    /// Name in reports.
    pub name: &'static str,
    /// How many callers there are.
    pub callers: u32,
    /// Jobs that the class sends, as a fraction of what all slots can do at `mean`.
    pub load: f64,
    /// Mean service time.
    pub mean: Duration,
    /// Distribution of service times.
    pub shape: WorkShape,
    /// The upstream that all jobs must run on, if any.
    pub pinned: Option<UpstreamId>,
    /// Fraction of the jobs that must run on an upstream of their own, drawn at random.
    pub pinned_share: f64,
    /// When the class begins and ends to send, from the start.
    pub active: (Duration, Duration),
}

/// What callers do when they are refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RefusedHabit {
    /// They give up.
    Leave,
    /// They come back when they were told to, at most so often.
    ComeBack(u32),
    /// They come back after a fixed time, whatever they were told, at most so often.
    Insist(Duration, u32),
}

/// What is published of upstreams that are not as at the beginning.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// Those that drain.
    pub draining: Vec<UpstreamId>,
    /// Those that are not published any more.
    pub gone: Vec<UpstreamId>,
    /// Those that were started anew.
    pub restarted: Vec<UpstreamId>,
}

/// An experiment.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Entry hosts, in zones by turns.
    pub hosts: u32,
    /// Upstreams, in zones by turns.
    pub upstreams: u32,
    /// Slots an upstream.
    pub slots: u32,
    /// Zones.
    pub zones: u32,
    /// The callers.
    pub classes: Vec<CallerClass>,
    /// Time that a caller waits for its answer.
    pub patience: Duration,
    /// Whether jobs may run twice.
    pub idempotent: bool,
    /// What refused callers do.
    pub habit: RefusedHabit,
    /// How long work arrives.
    pub length: Duration,
    /// What is not counted at the beginning.
    pub warm_up: Duration,
    /// Fraction of messages between hosts that is lost.
    pub loss: f64,
    /// Seed of everything random.
    pub seed: u64,
}

impl ClusterPlan {
    /// Eight hosts, 14 upstreams of 2 slots, three zones, one class of 100 callers.
    pub fn standard(load: f64, shape: WorkShape, seed: u64) -> Self {
        let length = Duration::from_secs(130);
        Self {
            hosts: 8,
            upstreams: 14,
            slots: 2,
            zones: 3,
            classes: vec![CallerClass::steady(load, shape)],
            patience: Duration::from_secs(4),
            idempotent: false,
            habit: RefusedHabit::Leave,
            length,
            warm_up: Duration::from_secs(10),
            loss: 0.0,
            seed,
        }
    }

    /// Slots of all upstreams.
    pub fn all_slots(&self) -> u32 {
        self.upstreams * self.slots
    }

    /// Zone of a host or upstream.
    pub fn zone(&self, id: u32) -> u32 {
        id % self.zones
    }

    /// The configuration, with some upstreams in a state of their own.
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

    /// The view in which all hosts but some are alive.
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

    /// One-way delay between two zones: 0.5 ms within one, 3 to 4 ms between two.
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
    /// 100 callers that send all the time, jobs of 100 ms on average.
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

    /// Jobs a second on `slots` slots.
    pub fn rate(&self, slots: u32) -> f64 {
        self.load * f64::from(slots) / self.mean.as_secs_f64()
    }
}
