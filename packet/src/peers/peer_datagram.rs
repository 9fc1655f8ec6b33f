//! Encoding of datagrams between entry hosts, and of states sent over other connections.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::dispatch::dispatch_message::DispatchQuery;
use crate::dispatch::dispatch_message::DispatchReply;
use crate::dispatch::dispatch_message::RequestEvent;
use crate::load::load_report::LoadDigest;
use crate::load::load_report::LoadReport;
use crate::load::zone_load::ZoneLoadReport;
use crate::peers::peer_heartbeat::FailureReport;
use crate::peers::peer_heartbeat::PeerHeartbeat;
use crate::state::state_snapshot::StateUpdate;

/// First byte of a datagram; it changes with the format.
const DATAGRAM_FORMAT: u8 = 8;

/// Maximum length of a datagram in bytes, so that it fits into one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// A message from one host to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// The sender's heartbeat.
    Heartbeat(PeerHeartbeat),
    /// Changes that the sender has just read from the store.
    Change(StateUpdate),
    /// Upstreams that have just failed requests forwarded by the sender.
    Failures(Vec<FailureReport>),
    /// The sender's load report on contended services, for the load aggregator of its zone.
    Load(LoadReport),
    /// The digest of the load reports of all hosts of the zone.
    Digest(LoadDigest),
    /// The load of the sender's zone, for another zone.
    ZoneLoad(ZoneLoadReport),
    /// Starts and ends of the sender's requests of contended services, for their dispatcher.
    Requests(Vec<RequestEvent>),
    /// A query where to place a new flow of a contended service.
    Query(DispatchQuery),
    /// The reply to a query.
    Reply(DispatchReply),
}

/// Why a datagram or state could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DatagramFault {
    /// It is of another format, or not from a peer.
    #[snafu(display("not a peer's datagram of this format"))]
    Foreign,
    /// The bytes after the format are malformed.
    #[snafu(display("the datagram cannot be encoded or decoded: {reason}"))]
    Malformed {
        /// The error of the serializer or deserializer.
        reason: String,
    },
}

impl PeerDatagram {
    /// Encodes the datagram.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramFault> {
        encode(self)
    }

    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramFault> {
        decode(bytes)
    }
}

/// Encodes a state for transfer to a peer. Without field names it is about a third as long.
pub fn encode_state(update: &StateUpdate) -> Result<Vec<u8>, DatagramFault> {
    encode(update)
}

/// Decodes a state.
pub fn decode_state(bytes: &[u8]) -> Result<StateUpdate, DatagramFault> {
    decode(bytes)
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, DatagramFault> {
    let bytes = vec![DATAGRAM_FORMAT];
    postcard::to_extend(value, bytes).map_err(|error| malformed(&error))
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DatagramFault> {
    let Some((&DATAGRAM_FORMAT, body)) = bytes.split_first() else {
        return Err(DatagramFault::Foreign);
    };
    postcard::from_bytes(body).map_err(|error| malformed(&error))
}

fn malformed(error: &postcard::Error) -> DatagramFault {
    DatagramFault::Malformed {
        reason: error.to_string(),
    }
}
