//! What a host tells operators of itself.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::ids::HostId;
use crate::ids::Version;
use crate::unit_text::DurationText;

/// One host's state at one moment.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's number.
    pub host: HostId,
    /// Version of the configuration in force; `None` before the first.
    pub config_version: Option<Version>,
    /// Time since that configuration was put in force.
    #[serde_as(as = "Option<DurationText>")]
    pub config_age: Option<Duration>,
    /// Version of the host list in use.
    pub host_list_version: Version,
    /// How many entry hosts it believes alive, itself included.
    pub hosts_alive: usize,
    /// Whether it may take on requests that must not run twice.
    pub holds_claim: bool,
    /// Whether its claim is about to be settled, after a start or a change of the cell's members.
    pub settling: bool,
    /// Whether it is finishing what it has.
    pub draining: bool,
    /// Flows that it owns.
    pub flows: usize,
    /// Requests without an outcome yet.
    pub requests: usize,
}

impl HostStatus {
    /// Why it cannot serve callers at present, or `None` when it can.
    ///
    /// A host that lost its claim in a cut is ready: it serves what it can. One that is about to
    /// get its claim is not: until then it would refuse what it will soon be able to take on.
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

    /// Whether it can serve callers.
    pub fn is_ready(&self) -> bool {
        self.unready_reason().is_none()
    }
}
