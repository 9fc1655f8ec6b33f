//! The events that a control core handles and the actions that it requests of its daemon.

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

/// Number of a call to the platform, unique within one control core.
pub type CallId = u64;

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// `GET /v1/keys`.
    List {
        /// Prefix of the keys to list.
        prefix: ConfigKey,
    },
    /// `GET /v1/values/K`.
    Value {
        /// The key.
        key: ConfigKey,
    },
    /// `GET /v1/watch`.
    Watch {
        /// Prefix of the keys to watch.
        prefix: ConfigKey,
        /// Only later versions are returned.
        after: Version,
        /// Maximum time that the platform waits for a change.
        wait: Duration,
    },
}

/// A published value or its deletion.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedKey {
    /// The key.
    pub key: ConfigKey,
    /// Version of its last change.
    pub version: Version,
    /// The value; `None` after a deletion.
    pub value: Option<Value>,
}

/// The platform's response to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformResponse {
    /// Response to a list call: the keys and their versions.
    Keys {
        /// The platform's revision.
        revision: Version,
        /// The keys.
        keys: Vec<(ConfigKey, Version)>,
    },
    /// Response to a value call: the value, or `None` if the key does not exist.
    Value(Option<PublishedKey>),
    /// Response to a watch call: the changes.
    Changes {
        /// The platform's revision.
        revision: Version,
        /// The latest value of each key that changed.
        changes: Vec<PublishedKey>,
    },
    /// Response to a watch call: the platform no longer has the changes since that version.
    HistoryDropped,
    /// There was no response, or it could not be decoded.
    Unreachable,
}

/// One event. Its time is passed separately.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// A link to a peer is open, and the peer has proved that it knows the shared key.
    PeerUp(HostId),
    /// The link to a peer was closed or could not be opened.
    PeerDown(HostId),
    /// A message from a peer arrived.
    PeerMessage {
        /// The peer.
        host: HostId,
        /// The encoded message.
        bytes: Bytes,
    },
    /// A call to the platform ended.
    PlatformResponse {
        /// The call.
        call: CallId,
        /// Its response.
        answer: PlatformResponse,
        /// Bytes of the call and its response.
        bytes: usize,
    },
    /// Time has passed. Must be sent every [`crate::control_core::CONTROL_TICK`].
    Tick,
}

/// One action. The daemon executes actions in order.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Open a link to a peer. The result is a `PeerUp` or `PeerDown` event.
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
        /// The class that the message is counted under.
        class: TrafficClass,
    },
    /// Call the platform. The result is a `PlatformResponse` event.
    CallPlatform {
        /// Number of the call.
        call: CallId,
        /// What to request.
        request: PlatformRequest,
    },
    /// Deliver a configuration to the entry daemon.
    Config(Arc<ConfigSnapshot>),
    /// Deliver the host list to the entry daemon.
    Hosts(Arc<HostView>),
    /// Report that a published state was rejected as a whole. The last accepted one stays in force.
    Refused {
        /// Version of the rejected state.
        version: Version,
        /// The fault.
        fault: String,
    },
    /// Count an event by its reason.
    Count(ResultCode),
}
