//! Messages between the control daemons of entry hosts, encoded in CBOR.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::config_store::KeyUpdate;
use crate::ids::ConfigKey;
use crate::ids::HostId;
use crate::ids::Version;

/// Heartbeat number of a reader. It grows while the reader is in touch with the platform, and
/// starts above the numbers of the reader's earlier runs.
pub type ReaderHeartbeat = u64;

/// A message over a link between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// What the sender holds; sent after each change and at a fixed interval.
    #[serde(rename = "a")]
    Announce(Announcement),
    /// Requests every change after the revision up to which the sender is complete.
    #[serde(rename = "w")]
    PullChanges {
        /// The revision up to which the sender is complete.
        #[serde(rename = "a")]
        after: Version,
        /// Keys that the sender holds in versions newer than `after`; deltas have to start from
        /// these.
        #[serde(rename = "k", default, skip_serializing_if = "BTreeMap::is_empty")]
        ahead: BTreeMap<ConfigKey, Version>,
    },
    /// Requests every key that is newer than the versions held.
    #[serde(rename = "k")]
    PullKeys {
        /// The version held of each key; 0 requests the whole value.
        held: BTreeMap<ConfigKey, Version>,
        /// Whether to leave out keys that are not in `held`.
        only_named: bool,
    },
    /// One part of the reply to `PullChanges` or `PullKeys`.
    #[serde(rename = "u")]
    Updates {
        /// Keys that changed.
        #[serde(rename = "k")]
        updates: Vec<KeyUpdate>,
        /// In the last part, the revision up to which the receiver is complete after the reply; 0
        /// otherwise, and in replies with single keys.
        #[serde(rename = "t")]
        through: Version,
    },
}

/// The state of a host's store, with the heartbeats that it passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The host holds every change up to this revision.
    #[serde(rename = "t")]
    pub through: Version,
    /// Equal on hosts that hold the same versions; 0 while some keys are ahead of others.
    #[serde(rename = "d")]
    pub digest: u64,
    /// The latest heartbeats of the zone's readers; empty on links to other zones.
    #[serde(rename = "b")]
    pub reader_heartbeats: Vec<(HostId, ReaderHeartbeat)>,
}

/// Why a message cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// It cannot be encoded.
    #[snafu(display("cannot encode a message to a peer: {source}"))]
    Encode {
        /// The codec's error.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// It cannot be decoded.
    #[snafu(display("cannot decode a message of a peer: {source}"))]
    Decode {
        /// The codec's error.
        source: ciborium::de::Error<std::io::Error>,
    },
}

impl RelayMessage {
    /// Encodes the message as CBOR.
    pub fn encode(&self) -> Result<Bytes, RelayError> {
        let mut buffer = Vec::new();
        ciborium::into_writer(self, &mut buffer).context(EncodeSnafu)?;
        Ok(buffer.into())
    }

    /// Decodes a message; fails on anything but a message of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, RelayError> {
        ciborium::from_reader(bytes).context(DecodeSnafu)
    }
}
