//! The status of an entry host, as operators read it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::ids::HostId;
use crate::ids::Version;
use crate::unit_text::DurationText;

/// The state of one host at one moment.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's number.
    pub host: HostId,
    /// Version of the configuration in force; `None` before the first.
    pub config_version: Option<Version>,
    /// Time since that configuration came into force.
    #[serde_as(as = "Option<DurationText>")]
    pub config_age: Option<Duration>,
    /// Version of the host list in use.
    pub host_list_version: Version,
    /// Number of usable entry hosts of its ownership group, itself included.
    pub hosts_alive: usize,
    /// Whether it holds its lease and may accept non-idempotent requests.
    pub holds_claim: bool,
    /// Whether it may soon hold its lease, so that waiting for it makes sense: after a start, a
    /// change of the members of the ownership group or the loss of a few heartbeats.
    pub settling: bool,
    /// Whether it is draining: it finishes what is in progress and accepts nothing new.
    pub draining: bool,
    /// Flows that it owns.
    pub flows: usize,
    /// Requests without an outcome.
    pub requests: usize,
}

impl HostStatus {
    /// Returns why the host cannot serve callers at present; `None` if it can.
    ///
    /// A host that lost its lease in a network partition is ready and serves what it can. A host
    /// that is about to get its lease is not ready, because it would reject requests that it can
    /// accept soon.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.draining {
            return Some("draining");
        }
        if self.config_version.is_none() {
            return Some("no configuration yet");
        }
        if self.hosts_alive == 0 {
            return Some("no host list yet");
        }
        (self.settling && !self.holds_claim).then_some("the claim is not settled yet")
    }

    /// Whether the host can serve callers.
    pub fn is_ready(&self) -> bool {
        self.unready_reason().is_none()
    }
}
