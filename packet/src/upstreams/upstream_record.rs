//! The record that a host keeps of one upstream: its registration, flows, load and health.

use std::net::SocketAddrV4;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::admission::warmup_admission::WarmupAdmission;
use crate::health::failure_detector::FailureDetector;
use crate::health::outlier_detector::OutlierDetector;
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
    /// The upstream accepts new flows.
    Ready,
    /// The upstream keeps its flows and accepts no new ones.
    Draining,
    /// The registration was removed while the upstream was ready and responding, or was lost when
    /// the store was restored from a backup. It stays in use until the deadline.
    Lapsed {
        /// When the upstream counts as deregistered.
        until: Instant,
        /// Whether the upstream was draining and accepts no new flows.
        is_draining: bool,
    },
    /// The registration was removed. Flows to which the upstream still responds continue.
    Deregistered {
        /// When the record is removed: no flow of the upstream can be older than this.
        remove_at: Instant,
    },
}

impl RegistrationState {
    /// The name of the state in logs and in the status of a host.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Lapsed { .. } => "lapsed",
            Self::Deregistered { .. } => "deregistered",
        }
    }
}

/// An outdated registration that is applied only if its upstream does not write a newer one before
/// the deadline. Until then the store has removed the registrations of upstreams that no longer
/// exist.
#[derive(Clone, Debug)]
pub struct HeldRegistration {
    /// The outdated registration.
    pub entry: UpstreamEntry,
    /// When the registration is applied.
    pub until: Instant,
}

/// One upstream, as this host knows it.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    /// Name under which it is registered.
    pub name: UpstreamName,
    /// Number that precedes each packet forwarded to it.
    pub number: UpstreamNumber,
    /// Tag of its flows; `None` if the name of another upstream hashes to the same tag, so that
    /// this upstream gets no flows.
    pub tag: Option<FlowTag>,
    /// Address that packets are forwarded to.
    pub address: SocketAddrV4,
    /// The service that it belongs to.
    pub service: ServiceIndex,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Whether it is in this host's zone.
    pub is_local: bool,
    /// Number of requests that it processes concurrently; at least 1.
    pub slots: u32,
    /// State of its registration.
    pub registration: RegistrationState,
    /// Write count of the registration that was applied last.
    pub write_count: WriteCount,
    /// Registration listed by a restored store that is older than the one applied last.
    pub held: Option<Box<HeldRegistration>>,
    /// End of its warm-up.
    pub warm_at: Instant,
    /// Limit on its new flows until then, if its service has one.
    pub warmup: WarmupAdmission,
    /// Start time of its process; `None` if it does not publish one.
    pub born: Option<BornMillis>,
    /// Number of its flows through this host that are active or being opened.
    pub flows: u32,
    /// Number of its idle flows through this host; not included in `flows`.
    pub idle: u32,
    /// Number of its closing flows that this host still tracks; not included in `flows`.
    pub closing: u32,
    /// Number of the flows in `flows` that wait for a response.
    pub waiting: u32,
    /// Number of the flows in `flows` that are being opened.
    pub opening: u32,
    /// Number of its flows through the other hosts of this zone, as last reported.
    pub peer_flows: u32,
    /// Load through all hosts of the zone, measured while its service is contended.
    pub load: UpstreamLoad,
    /// Load that this host has placed on it since `load` was measured.
    pub placed: PlacedLoad,
    /// Weight among the upstreams of a contended service, smoothed over measurements of `load`.
    pub weight: MeasuredWeight,
    /// Detection of an upstream that does not respond.
    pub failure_detector: FailureDetector,
    /// Detection of an upstream that fails requests.
    pub outlier_detector: OutlierDetector,
}

impl UpstreamRecord {
    /// Whether the registration allows new flows. The zone may be evacuated nevertheless.
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

    /// Whether a listed registration is older than the one applied last. A store that was restored
    /// from a backup may contain such registrations. One that is as old as the one applied last is
    /// outdated too if the upstream has deregistered since.
    pub fn supersedes(&self, entry: &UpstreamEntry) -> bool {
        let is_deregistered = matches!(self.registration, RegistrationState::Deregistered { .. });
        match (self.born, entry.born) {
            (Some(applied), Some(listed)) if applied != listed => listed < applied,
            _ if is_deregistered => entry.write_count <= self.write_count,
            _ => entry.write_count < self.write_count,
        }
    }

    /// Estimates the requests in progress: those through this host and, if the upstream is in this
    /// host's zone, as many through each other host of the zone. Reports of the other hosts are
    /// half a second old, in which an upstream processes about ten requests.
    pub fn requests(&self, local_hosts: u32) -> u32 {
        let hosts = if self.is_local { local_hosts } else { 1 };
        (self.waiting + self.opening) * hosts
    }

    /// Returns the number of its flows through this host, active or idle.
    pub fn open_flows(&self) -> u32 {
        self.flows + self.idle
    }

    /// Whether this host tracks any flow of it, closing ones included.
    pub fn is_referenced(&self) -> bool {
        self.has_flows() || self.closing > 0
    }

    /// Whether it has any flow through this host, active or idle.
    pub fn has_flows(&self) -> bool {
        self.open_flows() > 0
    }

    /// Whether it is ejected by the failure detector or the outlier detector.
    pub fn is_degraded(&self) -> bool {
        self.failure_detector.is_ejected() || self.outlier_detector.is_failing()
    }
}
