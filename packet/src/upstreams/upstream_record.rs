//! One upstream as a host sees it: its registration, its flows here and what they tell.

use std::net::SocketAddrV4;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::admission::warmup_admission::WarmupAdmission;
use crate::health::answer_record::AnswerRecord;
use crate::health::failure_detector::FailureDetector;
use crate::ids::BornMillis;
use crate::ids::FlowTag;
use crate::ids::ServiceIndex;
use crate::ids::UpstreamName;
use crate::ids::UpstreamNumber;
use crate::ids::WriteCount;
use crate::load::load_state::UpstreamLoad;
use crate::selection::load_weight::MeasuredWeight;
use crate::selection::load_weight::PlacedLoad;
use crate::upstreams::upstream_entry::UpstreamEntry;

/// The state of an upstream's registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationState {
    /// It takes new flows.
    Ready,
    /// It keeps its flows and takes no new ones.
    Draining,
    /// The registration vanished without notice while the upstream responded, or was lost by the store; it stands
    /// until the deadline, and the upstream then counts as deregistered.
    Lapsed {
        /// When it counts as deregistered.
        until: Instant,
        /// Whether it takes no new flows: it was draining.
        is_draining: bool,
    },
    /// The registration is gone. Flows to which the upstream still responds go on.
    Deregistered {
        /// When its tag is forgotten, for no flow can be older.
        forget_at: Instant,
    },
}

/// A registration that is applied only if its upstream does not write again before the deadline. Within this
/// time the store removes that of an upstream that is gone.
#[derive(Clone, Debug)]
pub struct HeldRegistration {
    /// The registration.
    pub entry: UpstreamEntry,
    /// When it is applied.
    pub until: Instant,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    /// Its name.
    pub name: UpstreamName,
    /// The number that packets meant for it carry.
    pub number: UpstreamNumber,
    /// The tag of its flows; `None` if another upstream's name gives the same, so that this one
    /// must not be given any.
    pub tag: Option<FlowTag>,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// The service whose flows it may take.
    pub service: ServiceIndex,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is in this host's zone.
    pub is_local: bool,
    /// Requests that it works on at a time; at least 1.
    pub slots: u32,
    /// The state of its registration.
    pub registration: RegistrationState,
    /// Which of its process's writes was applied last.
    pub write_count: WriteCount,
    /// A registration that a restored store lists and that is older than the one applied last.
    pub held: Option<Box<HeldRegistration>>,
    /// Until when it is slow after its start.
    pub warm_at: Instant,
    /// How it gets new flows until then, if its service has a limit.
    pub warmup: WarmupAdmission,
    /// When its process started.
    pub born: Option<BornMillis>,
    /// Flows that are in use or being opened there through this host.
    pub flows: u32,
    /// Idle flows there through this host; not in `flows`.
    pub idle: u32,
    /// Those of `flows` that wait for an answer.
    pub waiting: u32,
    /// Flows that are being opened there through this host.
    pub opening: u32,
    /// Flows that it has through the other hosts of this zone, as they last said.
    pub flows_elsewhere: u32,
    /// What hosts of the zone know of its load while its service is contended.
    pub load: UpstreamLoad,
    /// What this host has placed there since `load` was measured.
    pub placed: PlacedLoad,
    /// Its weight among the upstreams of a contended service, as it follows from measurements of `load`.
    pub weight: MeasuredWeight,
    /// Its failure detector.
    pub silence: FailureDetector,
    /// Its outlier detection.
    pub answers: AnswerRecord,
}

impl UpstreamRecord {
    /// Whether the registry allows new flows. Its zone may be evacuated all the same.
    pub fn takes_flows(&self) -> bool {
        let listed = matches!(
            self.registration,
            RegistrationState::Ready
                | RegistrationState::Lapsed {
                    is_draining: false,
                    ..
                }
        );
        listed && self.tag.is_some()
    }

    /// Whether a registration of it is older than the one applied last: a copy of the store may contain it.
    pub fn supersedes(&self, entry: &UpstreamEntry) -> bool {
        let is_gone = matches!(self.registration, RegistrationState::Deregistered { .. });
        match (self.born, entry.born) {
            (Some(applied), Some(listed)) if applied != listed => listed < applied,
            _ if is_gone => entry.write_count <= self.write_count,
            _ => entry.write_count < self.write_count,
        }
    }

    /// Requests that it has in progress, as far as can be told: those through this host and, in its own
    /// zone, as many through each other host. What those say is half a second old, which is ten requests.
    pub fn requests(&self, local_hosts: u32) -> u32 {
        let hosts = if self.is_local { local_hosts } else { 1 };
        (self.waiting + self.opening) * hosts
    }

    /// Flows there through this host, active or idle.
    pub fn open_flows(&self) -> u32 {
        self.flows + self.idle
    }

    /// Whether this host has any flow there, active or idle.
    pub fn has_flows(&self) -> bool {
        self.open_flows() > 0
    }

    /// Whether it is ejected, by the failure detector or as an outlier.
    pub fn is_degraded(&self) -> bool {
        self.silence.is_ejected() || self.answers.is_failing()
    }
}
