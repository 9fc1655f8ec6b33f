//! What entry hosts send each other: datagrams, and states in the same encoding.

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

/// First byte of a datagram; changes with the format.
const DATAGRAM_FORMAT: u8 = 7;

/// Most bytes of a datagram: what fits into one frame of the usual networks.
pub const MOST_DATAGRAM: usize = 1400;

/// What one host sends another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// What it says of itself.
    Heartbeat(PeerHeartbeat),
    /// What it has just read from the store.
    Change(StateUpdate),
    /// Who has just failed requests through it.
    Failures(Vec<FailureReport>),
    /// What it saw of contended services, for the load aggregator of its zone.
    Load(LoadReport),
    /// What all hosts of the zone saw of contended services.
    Digest(LoadDigest),
    /// The load of its zone, for another zone.
    ZoneLoad(ZoneLoadReport),
    /// Which requests of contended services have begun or ended through it, for their dispatcher.
    Requests(Vec<RequestEvent>),
    /// Where a new flow of a contended service is to be placed.
    Query(DispatchQuery),
    /// The reply to a query.
    Reply(DispatchReply),
}

/// Why a datagram is not a peer's.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DatagramFault {
    /// Another format, or nothing of a peer's.
    #[snafu(display("not a peer's datagram of this format"))]
    Foreign,
    /// The rest cannot be read.
    #[snafu(display("the datagram cannot be read: {reason}"))]
    Malformed {
        /// What the reader said.
        reason: String,
    },
}

impl PeerDatagram {
    /// The bytes to send.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramFault> {
        encode(self)
    }

    /// Reads a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramFault> {
        decode(bytes)
    }
}

/// The bytes of a state that is handed over whole. Without names of fields they are about a third.
pub fn encode_state(update: &StateUpdate) -> Result<Vec<u8>, DatagramFault> {
    encode(update)
}

/// Reads a state.
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
