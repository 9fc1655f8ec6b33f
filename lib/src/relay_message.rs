//! What the control daemons of entry hosts tell each other, in CBOR.

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

/// Grows while a reader is in touch with the platform; begins above that of its earlier starts.
pub type ReaderBeat = u64;

/// A message over a link between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// What the sender holds; small, sent at each change and at a steady pace.
    #[serde(rename = "a")]
    Announce(Announcement),
    /// Asks for every change after a revision up to which the sender is complete.
    #[serde(rename = "w")]
    Want {
        /// The revision.
        #[serde(rename = "a")]
        after: Version,
        /// Keys that the sender holds in newer versions than that; deltas have to begin there.
        #[serde(rename = "k", default, skip_serializing_if = "BTreeMap::is_empty")]
        ahead: BTreeMap<ConfigKey, Version>,
    },
    /// Asks for what is newer than these versions.
    #[serde(rename = "k")]
    WantKeys {
        /// The versions held.
        held: BTreeMap<ConfigKey, Version>,
        /// Whether keys that are not named are of no interest.
        only_named: bool,
    },
    /// Answers a `Want` or `WantKeys`, in parts.
    #[serde(rename = "u")]
    Updates {
        /// Keys that changed.
        #[serde(rename = "k")]
        updates: Vec<KeyUpdate>,
        /// In the last part, the revision up to which the receiver is complete with it; else 0.
        #[serde(rename = "t")]
        through: Version,
    },
}

/// What a host holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Every change up to this revision.
    #[serde(rename = "t")]
    pub through: Version,
    /// Equal when the same versions are held; 0 while some keys are ahead of others.
    #[serde(rename = "d")]
    pub digest: u64,
    /// The latest beats heard of the zone's readers; empty towards other zones.
    #[serde(rename = "b")]
    pub beats: Vec<(HostId, ReaderBeat)>,
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
    /// Encodes the message.
    pub fn encode(&self) -> Result<Bytes, RelayError> {
        let mut buffer = Vec::new();
        ciborium::into_writer(self, &mut buffer).context(EncodeSnafu)?;
        Ok(buffer.into())
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, RelayError> {
        ciborium::from_reader(bytes).context(DecodeSnafu)
    }
}
