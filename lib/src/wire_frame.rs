//! The datagram formats of lagoonproxy and their codec.
//!
//! A datagram is a fixed header (magic number, version, kind) and a body encoded by `postcard`.
//! Deadlines are sent as the remaining time, because the clocks of hosts differ;
//! [`crate::host_core`] converts them to instants on arrival. A datagram between peers ends in a
//! message authentication code (MAC).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;
use std::hash::Hasher;

use crate::flow_hash::rendezvous_weight;
use crate::flow_message::FlowMessage;
use crate::flow_message::FlowParties;
use crate::group_heartbeat::GroupHeartbeat;
use crate::group_heartbeat::HeartbeatEcho;
use crate::ids::FlowId;
use crate::ids::Generation;
use crate::ids::HostId;
use crate::ids::RequestId;
use crate::ids::ServiceAddress;
use crate::ids::UpstreamId;
use crate::ids::Version;
use crate::load_message::LoadMessage;
use crate::record_query::RecordQuery;
use crate::record_query::RecordReply;
use crate::result_code::ResultCode;

/// First two bytes of every datagram.
pub const MAGIC: [u8; 2] = *b"LG";
/// Version of the codec that this build supports.
pub const CODEC_VERSION: u8 = 1;
/// Length in bytes of magic number, version and kind.
pub const HEADER_LEN: usize = 4;
/// Length in bytes of the MAC at the end of a datagram between peers.
pub const PEER_MAC_LEN: usize = 16;
/// Maximum length in bytes of a datagram, without the MAC; a datagram with its MAC fits an Ethernet
/// frame in IPv4 or IPv6.
pub const MAX_DATAGRAM: usize = 1_432;
/// Length in bytes of a buffer that holds any datagram and one byte more, which shows that a
/// received datagram is too long.
pub const FRAME_BUFFER_LEN: usize = MAX_DATAGRAM + PEER_MAC_LEN + 1;
/// Maximum length in bytes of the payload of a request or of one part of an answer.
pub const MAX_PAYLOAD: usize = 1_200;

/// Buffer for one datagram of any link.
pub type FrameBuffer = [u8; FRAME_BUFFER_LEN];

/// What is known of whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It has certainly not run and will not run.
    NotRun,
    /// It ran, but its answer cannot be delivered.
    Run,
    /// It may have run. Sending it again with the same number is always safe.
    Unknown,
}

/// A frame between a caller and any entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerFrame {
    /// The service of the flow.
    pub service: ServiceAddress,
    /// The flow number that the caller chose.
    pub flow: FlowId,
    /// The message.
    pub body: CallerBody,
}

/// The messages between a caller and an entry host.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerBody {
    /// Caller: open the flow.
    Open,
    /// Host: the flow is open.
    Opened,
    /// Caller: run this request.
    Request(RequestBody),
    /// Host: the request is accepted and in progress.
    Accepted {
        /// The accepted request.
        request: RequestId,
    },
    /// Host: a part of the answer.
    Part(AnswerPart),
    /// Caller: the whole answer has arrived and the host may discard it.
    Ack {
        /// The acknowledged request.
        request: RequestId,
    },
    /// Host: the request is rejected or, without a request number, the flow.
    Refusal(RefusalBody),
    /// Caller: the answer is no longer needed.
    Cancel {
        /// The cancelled request.
        request: RequestId,
    },
    /// Caller: the flow has ended.
    Close,
    /// Host: the flow has ended.
    Closed,
}

/// A request as the caller sends it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBody {
    /// The request number, equal in all retransmissions.
    pub request: RequestId,
    /// Time in milliseconds since the caller first sent this request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time in milliseconds until the caller stops waiting.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the flow was opened, so that only the upstream that holds the flow may run the
    /// request.
    ///
    /// Without this field, a host that has no record of the flow could not distinguish a request of
    /// an opened flow, whose record another host may hold, from one that any upstream may run.
    pub established: bool,
    /// The payload for the upstream.
    pub payload: Bytes,
}

/// One part of an answer. Invariant: `offset + payload.len() <= total`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPart {
    /// The request that the answer belongs to.
    pub request: RequestId,
    /// The run that produced the part, see [`RoutingTag::run_id`]. Parts of two runs of an
    /// idempotent request are never combined into one answer.
    pub run: u64,
    /// Offset in bytes of the payload in the whole answer.
    pub offset: u32,
    /// Length of the whole answer in bytes.
    pub total: u32,
    /// The bytes of this part.
    pub payload: Bytes,
}

/// A rejection of a request or flow, sent as soon as it is decided.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The rejected request; `None` if the flow is rejected.
    pub request: Option<RequestId>,
    /// The reason.
    pub code: ResultCode,
    /// What is known of whether the request ran.
    pub outcome: RunOutcome,
    /// Time in milliseconds after which a retry makes sense.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_after: Duration,
}

/// Routing information that an upstream echoes unchanged, so that any host can route an answer
/// without state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoutingTag {
    /// The caller that waits for the answer.
    pub caller: SocketAddr,
    /// The service of the flow.
    pub service: ServiceAddress,
    /// The flow.
    pub flow: FlowId,
    /// The request; zero in frames that concern the flow itself.
    pub request: RequestId,
    /// Number of the attempt, unique within the owner's process; zero in frames that concern the
    /// flow itself.
    pub attempt: u64,
    /// The host that sent the frame and keeps the record.
    pub owner: HostId,
    /// Generation of that host's process. A later process has no record of the attempt.
    pub owner_incarnation: Generation,
    /// The upstream that the frame was sent to.
    pub upstream: UpstreamId,
    /// Generation of the upstream that the frame was sent to.
    pub incarnation: Generation,
}

impl RoutingTag {
    /// Returns an identifier of the attempt among all attempts of the request on any host.
    pub fn run_id(&self) -> u64 {
        let process = rendezvous_weight(u64::from(self.owner), self.owner_incarnation);
        rendezvous_weight(process, self.attempt)
    }
}

/// A frame between an entry host and an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamFrame {
    /// Set by the host and echoed by the upstream.
    pub tag: RoutingTag,
    /// The message.
    pub body: UpstreamBody,
}

/// The messages between an entry host and an upstream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamBody {
    /// Host: a flow was opened.
    Open,
    /// Host: a flow has ended.
    Close,
    /// Host: run this request unless its deadline has passed.
    Run {
        /// Time in milliseconds after which the request must not be started.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        remaining: Duration,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// The payload that the caller sent.
        payload: Bytes,
    },
    /// Host: do not start the request; if it runs, its answer is not needed.
    Cancel,
    /// Upstream: the request was started.
    Started,
    /// Upstream: the request was not started and will not be.
    NotStarted {
        /// The reason.
        reason: NotStartedReason,
        /// Time in milliseconds after which a slot may be free.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// Upstream: a part of the answer.
    Part(AnswerPart),
}

/// Why an upstream did not start a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The upstream has no free slot or connection.
    Shed,
    /// The upstream is draining.
    Draining,
    /// The deadline had passed.
    DeadlinePassed,
    /// The request was cancelled before it started.
    Cancelled,
    /// The request was sent for another service or to an earlier generation of the upstream.
    WrongUpstream,
}

impl NotStartedReason {
    /// Returns the result code that metrics count the reason under.
    pub fn code(self) -> ResultCode {
        match self {
            Self::Shed => ResultCode::UpstreamShed,
            Self::Draining => ResultCode::UpstreamDraining,
            Self::DeadlinePassed => ResultCode::DeadlinePassed,
            Self::Cancelled => ResultCode::Cancelled,
            Self::WrongUpstream => ResultCode::UpstreamWrong,
        }
    }
}

/// A frame between entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The host that sends this datagram.
    pub sender: HostId,
    /// How often the enclosed frame has been forwarded, this time included.
    pub hops: u8,
    /// The message.
    pub body: PeerBody,
}

/// The messages between entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerBody {
    /// A caller's frame, forwarded to the flow's owner.
    FromCaller {
        /// The caller that sent it.
        caller: SocketAddr,
        /// Version of the host list by which the sender chose the receiver.
        view: Version,
        /// The newest heartbeat of the receiver that the sender had received when it read the
        /// caller's datagram. It dates the frame: without it, a frame that was delayed by a stall
        /// of the sender, or a replayed copy, would appear to be recent.
        echo: Option<HeartbeatEcho>,
        /// The caller's frame.
        frame: CallerFrame,
    },
    /// An upstream's frame, forwarded to the owner in its routing tag.
    FromUpstream(UpstreamFrame),
    /// A message between the load policies of two hosts.
    Load(LoadMessage),
    /// A heartbeat within an ownership group, with echo and lease votes.
    Heartbeat(GroupHeartbeat),
    /// Queries the record of a request before the sender accepts it.
    Query(RecordQuery),
    /// Replies to a query.
    Reply(RecordReply),
    /// A message between the flow directories of two hosts.
    Flow {
        /// Generations of the sending and of the receiving process.
        parties: FlowParties,
        /// The message.
        message: FlowMessage,
    },
}

/// The type of the frame in a datagram; the fourth byte of the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum FrameKind {
    Caller = 1,
    Upstream = 2,
    Peer = 3,
}

/// The MAC key that the entry hosts of one user share.
#[derive(Clone)]
pub struct PeerKey {
    key: [u8; 16],
}

impl PeerKey {
    /// Creates a key from its bytes.
    pub fn new(key: [u8; 16]) -> Self {
        Self { key }
    }

    fn mac(&self, bytes: &[u8]) -> [u8; PEER_MAC_LEN] {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        hasher.write(bytes);
        hasher.finish128().as_bytes()
    }
}

/// Encodes a frame of a caller's link into a reusable buffer. Returns the datagram's length.
pub fn encode_caller_into(
    frame: &CallerFrame,
    buffer: &mut FrameBuffer,
) -> Result<usize, ResultCode> {
    encode_in(FrameKind::Caller, frame, buffer)
}

/// Encodes a frame of an upstream's link into a reusable buffer. Returns the datagram's length.
pub fn encode_upstream_into(
    frame: &UpstreamFrame,
    buffer: &mut FrameBuffer,
) -> Result<usize, ResultCode> {
    encode_in(FrameKind::Upstream, frame, buffer)
}

/// Encodes a frame between peers with its MAC into a reusable buffer. Returns the datagram's
/// length.
pub fn encode_peer_into(
    frame: &PeerFrame,
    key: &PeerKey,
    buffer: &mut FrameBuffer,
) -> Result<usize, ResultCode> {
    let len = encode_in(FrameKind::Peer, frame, buffer)?;
    let (authenticated, rest) = buffer.split_at_mut(len);
    rest[..PEER_MAC_LEN].copy_from_slice(&key.mac(authenticated));
    Ok(len + PEER_MAC_LEN)
}

/// Encodes a frame of a caller's link.
pub fn encode_caller(frame: &CallerFrame) -> Result<Bytes, ResultCode> {
    encode(FrameKind::Caller, frame).map(Bytes::from)
}

/// Encodes a frame of an upstream's link.
pub fn encode_upstream(frame: &UpstreamFrame) -> Result<Bytes, ResultCode> {
    encode(FrameKind::Upstream, frame).map(Bytes::from)
}

/// Encodes a frame between peers and appends its MAC.
pub fn encode_peer(frame: &PeerFrame, key: &PeerKey) -> Result<Bytes, ResultCode> {
    let mut bytes = encode(FrameKind::Peer, frame)?;
    let mac = key.mac(&bytes);
    bytes.extend_from_slice(&mac);
    Ok(Bytes::from(bytes))
}

/// Decodes a datagram of a caller's link. The error is the reason for which it is dropped.
pub fn decode_caller(bytes: &[u8]) -> Result<CallerFrame, ResultCode> {
    let frame: CallerFrame = decode(FrameKind::Caller, bytes)?;
    match &frame.body {
        CallerBody::Part(part) => check_part(part)?,
        CallerBody::Request(request) => check_payload(&request.payload)?,
        _ => {}
    }
    Ok(frame)
}

/// Decodes a datagram of an upstream's link. The error is the reason for which it is dropped.
pub fn decode_upstream(bytes: &[u8]) -> Result<UpstreamFrame, ResultCode> {
    let frame: UpstreamFrame = decode(FrameKind::Upstream, bytes)?;
    if let UpstreamBody::Part(part) = &frame.body {
        check_part(part)?;
    }
    Ok(frame)
}

/// Verifies the MAC of a datagram of a peer's link and decodes it. The error is the reason for
/// which it is dropped.
pub fn decode_peer(bytes: &[u8], key: &PeerKey) -> Result<PeerFrame, ResultCode> {
    let Some(authenticated_len) = bytes.len().checked_sub(PEER_MAC_LEN) else {
        return Err(ResultCode::FrameTruncated);
    };
    let (authenticated, mac) = bytes.split_at(authenticated_len);
    if !macs_equal(mac, &key.mac(authenticated)) {
        return Err(ResultCode::FrameForged);
    }
    decode(FrameKind::Peer, authenticated)
}

/// Compares two MACs in constant time, so that a MAC cannot be guessed byte by byte.
fn macs_equal(left: &[u8], right: &[u8]) -> bool {
    let differing = left
        .iter()
        .zip(right)
        .fold(0, |bits, (a, b)| bits | (a ^ b));
    left.len() == right.len() && differing == 0
}

fn encode<T: Serialize>(kind: FrameKind, frame: &T) -> Result<Vec<u8>, ResultCode> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(CODEC_VERSION);
    bytes.push(kind as u8);
    let bytes = postcard::to_extend(frame, bytes).map_err(|_error| ResultCode::FrameMalformed)?;
    if bytes.len() > MAX_DATAGRAM {
        return Err(ResultCode::FrameOversized);
    }
    Ok(bytes)
}

fn encode_in<T: Serialize>(
    kind: FrameKind,
    frame: &T,
    buffer: &mut FrameBuffer,
) -> Result<usize, ResultCode> {
    let (header, body) = buffer[..MAX_DATAGRAM].split_at_mut(HEADER_LEN);
    header.copy_from_slice(&[MAGIC[0], MAGIC[1], CODEC_VERSION, kind as u8]);
    match postcard::to_slice(frame, body) {
        Ok(encoded) => Ok(HEADER_LEN + encoded.len()),
        Err(postcard::Error::SerializeBufferFull) => Err(ResultCode::FrameOversized),
        Err(_) => Err(ResultCode::FrameMalformed),
    }
}

fn decode<T: DeserializeOwned>(kind: FrameKind, bytes: &[u8]) -> Result<T, ResultCode> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(ResultCode::FrameOversized);
    }
    let Some((header, body)) = bytes.split_at_checked(HEADER_LEN) else {
        return Err(ResultCode::FrameTruncated);
    };
    if header[..MAGIC.len()] != MAGIC {
        return Err(ResultCode::FrameForeign);
    }
    if header[2] != CODEC_VERSION {
        return Err(ResultCode::FrameVersion);
    }
    if header[3] != kind as u8 {
        return Err(ResultCode::FrameMalformed);
    }
    match postcard::take_from_bytes(body) {
        Ok((frame, [])) => Ok(frame),
        Ok(_) => Err(ResultCode::FrameMalformed),
        Err(postcard::Error::DeserializeUnexpectedEnd) => Err(ResultCode::FrameTruncated),
        Err(_) => Err(ResultCode::FrameMalformed),
    }
}

fn check_part(part: &AnswerPart) -> Result<(), ResultCode> {
    check_payload(&part.payload)?;
    let end = part.offset as usize + part.payload.len();
    if end > part.total as usize {
        return Err(ResultCode::FrameMalformed);
    }
    Ok(())
}

fn check_payload(payload: &Bytes) -> Result<(), ResultCode> {
    if payload.len() > MAX_PAYLOAD {
        return Err(ResultCode::FrameOversized);
    }
    Ok(())
}
