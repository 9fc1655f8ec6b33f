//! What may happen to a host's control core, and what it asks its shell to do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;

use crate::byte_budget::TrafficClass;
use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::ids::ConfigKey;
use crate::ids::HostId;
use crate::ids::Version;
use crate::result_code::ResultCode;

/// Number of a call on the platform, unique for one control core.
pub type CallId = u64;

/// A call on the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// `GET /v1/keys`.
    List {
        /// Only keys that begin so.
        prefix: ConfigKey,
    },
    /// `GET /v1/values/K`.
    Value {
        /// The key.
        key: ConfigKey,
    },
    /// `GET /v1/watch`.
    Watch {
        /// Only keys that begin so.
        prefix: ConfigKey,
        /// Only versions above this.
        after: Version,
        /// How long the platform may wait for a change.
        wait: Duration,
    },
}

/// A published value, or its absence.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedKey {
    /// The key.
    pub key: ConfigKey,
    /// Revision of its last change.
    pub version: Version,
    /// Its value; `None` after a deletion.
    pub value: Option<Value>,
}

/// The platform's answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformAnswer {
    /// To a list: the keys and their versions.
    Keys {
        /// The platform's revision.
        revision: Version,
        /// The keys.
        keys: Vec<(ConfigKey, Version)>,
    },
    /// To a value: the value, or `None` if there is no such key.
    Value(Option<PublishedKey>),
    /// To a watch.
    Changes {
        /// The platform's revision.
        revision: Version,
        /// The latest value of each key that changed.
        changes: Vec<PublishedKey>,
    },
    /// To a watch: changes that far back are not kept.
    HistoryGone,
    /// There was no answer, or none that can be read.
    Unreachable,
}

/// One event; the time it happened at is passed beside it.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// A link to a peer that proved to know the shared key is open.
    PeerUp(HostId),
    /// The link to a peer ended, or could not be opened.
    PeerDown(HostId),
    /// A message of a peer.
    PeerMessage {
        /// The peer.
        host: HostId,
        /// The encoded message.
        bytes: Bytes,
    },
    /// The end of a call on the platform.
    PlatformAnswer {
        /// The call.
        call: CallId,
        /// What came of it.
        answer: PlatformAnswer,
        /// Bytes of the call and its answer.
        bytes: usize,
    },
    /// Time has passed; to be sent every [`crate::control_core::CONTROL_TICK`].
    Tick,
}

/// One action; the shell carries them out in order.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Open a link to a peer; to be answered by `PeerUp` or `PeerDown`.
    Connect {
        /// The peer.
        host: HostId,
        /// Its published control address.
        address: SocketAddr,
    },
    /// Close the link to a peer.
    Disconnect(HostId),
    /// Send an encoded message to a peer.
    SendPeer {
        /// The peer.
        host: HostId,
        /// The message.
        bytes: Bytes,
        /// What it is for.
        class: TrafficClass,
    },
    /// Call the platform; to be answered by `PlatformAnswer`.
    CallPlatform {
        /// Number of the call.
        call: CallId,
        /// The call.
        request: PlatformRequest,
    },
    /// Hand the entry daemon a configuration.
    Config(Arc<ConfigSnapshot>),
    /// Hand the entry daemon the list of hosts.
    Hosts(Arc<HostView>),
    /// A published state was refused whole; what was accepted last stays in force.
    Refused {
        /// Version of the refused state.
        version: Version,
        /// What is wrong with it.
        fault: String,
    },
    /// Count an event by its reason.
    Count(ResultCode),
}
