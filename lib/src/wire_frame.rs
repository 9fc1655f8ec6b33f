//! The datagrams of lagoonproxy and their one codec.
//!
//! A datagram is a fixed header (magic number, version, kind) and a body in `postcard`. Deadlines
//! travel as the time that remains, because the clocks of hosts differ; [`crate::host_core`] turns
//! them into instants as soon as they arrive. A datagram between peers ends in a keyed code.

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
use crate::ids::HostId;
use crate::ids::Incarnation;
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
/// Version of the codec that this build speaks.
pub const CODEC_VERSION: u8 = 1;
/// Bytes of magic number, version and kind.
pub const HEADER_LEN: usize = 4;
/// Bytes of the keyed code at the end of a datagram between peers.
pub const PEER_CODE_LEN: usize = 16;
/// Longest datagram in bytes that is sent or accepted; fits an Ethernet frame in IPv4 or IPv6.
pub const MAX_DATAGRAM: usize = 1_432;
/// Bytes of a buffer that holds any datagram and shows when one is too long.
pub const FRAME_BUFFER_LEN: usize = MAX_DATAGRAM + PEER_CODE_LEN + 1;
/// Longest payload in bytes of a request or of one part of an answer.
pub const MAX_PAYLOAD: usize = 1_200;

/// Room for one datagram of any link.
pub type FrameBuffer = [u8; FRAME_BUFFER_LEN];

/// What can be known of whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// Proved: it did not run and will not.
    NotRun,
    /// It ran, but its answer cannot be delivered.
    Run,
    /// Nobody can tell; asking again with the same number is always safe.
    Unknown,
}

/// Between a caller and any entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerFrame {
    /// The service the flow is for.
    pub service: ServiceAddress,
    /// The flow, as numbered by the caller.
    pub flow: FlowId,
    /// What is said.
    pub body: CallerBody,
}

/// The kinds of datagram between a caller and an entry host.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerBody {
    /// Caller: establish the flow.
    Open,
    /// Host: the flow is established.
    Opened,
    /// Caller: run this.
    Request(RequestBody),
    /// Host: the request is known and in progress.
    Accepted {
        /// The request meant.
        request: RequestId,
    },
    /// Host: a part of the answer.
    Part(AnswerPart),
    /// Caller: the whole answer has arrived; the host may forget it.
    Ack {
        /// The request meant.
        request: RequestId,
    },
    /// Host: the request, or with `request` absent the flow, will not be served.
    Refusal(RefusalBody),
    /// Caller: the answer is no longer wanted.
    Cancel {
        /// The request meant.
        request: RequestId,
    },
    /// Caller: the flow has ended.
    Close,
    /// Host: the flow has ended.
    Closed,
}

/// A request as its caller sends it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestBody {
    /// The request; the same number on every retransmission.
    pub request: RequestId,
    /// Time in milliseconds since the caller first sent this request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time in milliseconds that remains until the caller stops waiting.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether its flow was opened, so that only the upstream that holds the flow may run it.
    ///
    /// Without it, a host that has no record of the flow could not tell a request of an opened
    /// flow, whose record another host may hold, from one that any upstream may run.
    pub established: bool,
    /// What the upstream gets.
    pub payload: Bytes,
}

/// One part of an answer. Invariant: `offset + payload.len() <= total`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPart {
    /// The request answered.
    pub request: RequestId,
    /// The run that the part comes from, see [`RoutingTag::run_id`]; parts of two runs of an
    /// idempotent request never make one answer.
    pub run: u64,
    /// Position of the payload's first byte in the whole answer.
    pub offset: u32,
    /// Length of the whole answer in bytes.
    pub total: u32,
    /// The bytes of this part.
    pub payload: Bytes,
}

/// A refusal, given as soon as it is decided.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The request refused, or `None` when the flow as a whole is.
    pub request: Option<RequestId>,
    /// Why.
    pub code: ResultCode,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Time in milliseconds after which coming back makes sense.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub retry_after: Duration,
}

/// What an upstream echoes unread, so that any host can deliver an answer without state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoutingTag {
    /// The caller that waits.
    pub caller: SocketAddr,
    /// The service the flow is for.
    pub service: ServiceAddress,
    /// The flow.
    pub flow: FlowId,
    /// The request, zero for the flow's own frames.
    pub request: RequestId,
    /// Which of all the attempts of the owner's process this is; zero for the flow's own frames.
    pub attempt: u64,
    /// The host that sent it and keeps its record.
    pub owner: HostId,
    /// The process of that host; a later one has no record of it.
    pub owner_incarnation: Incarnation,
    /// The upstream it was sent to.
    pub upstream: UpstreamId,
    /// The upstream's incarnation it was meant for.
    pub incarnation: Incarnation,
}

impl RoutingTag {
    /// Names the attempt among all of the request's on any host.
    pub fn run_id(&self) -> u64 {
        let process = rendezvous_weight(u64::from(self.owner), self.owner_incarnation);
        rendezvous_weight(process, self.attempt)
    }
}

/// Between an entry host and an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamFrame {
    /// Set by the host, echoed by the upstream.
    pub tag: RoutingTag,
    /// What is said.
    pub body: UpstreamBody,
}

/// The kinds of datagram between an entry host and an upstream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamBody {
    /// Host: a flow begins.
    Open,
    /// Host: a flow has ended.
    Close,
    /// Host: run this unless the deadline has passed.
    Run {
        /// Time in milliseconds after which it must not be started.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        remaining: Duration,
        /// Whether running it twice does no harm.
        idempotent: bool,
        /// What the caller sent.
        payload: Bytes,
    },
    /// Host: do not start this; if it runs, its answer is not wanted.
    Cancel,
    /// Upstream: it was started.
    Started,
    /// Upstream: it was not and will not be started.
    NotStarted {
        /// Why.
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
    /// It has no free slot or connection.
    Shed,
    /// It is draining.
    Draining,
    /// The deadline had passed.
    DeadlinePassed,
    /// It was cancelled before it started.
    Cancelled,
    /// It was meant for another service or an earlier incarnation.
    WrongUpstream,
}

impl NotStartedReason {
    /// The result that metrics count it under.
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

/// Between entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The host that sends this datagram.
    pub sender: HostId,
    /// How often the enclosed frame was forwarded, this time included.
    pub hops: u8,
    /// What is said.
    pub body: PeerBody,
}

/// The kinds of datagram between entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerBody {
    /// A caller's frame, for the flow's owner.
    FromCaller {
        /// The caller that sent it.
        caller: SocketAddr,
        /// Version of the host list by which the sender chose the receiver.
        view: Version,
        /// The receiver's newest heartbeat that the sender had heard when it read the caller's
        /// datagram. It dates this one: a sender that froze before it sent, or a replayed copy,
        /// would otherwise pass for recent.
        echo: Option<HeartbeatEcho>,
        /// Its frame.
        frame: CallerFrame,
    },
    /// An upstream's frame, for the host that its tag names.
    FromUpstream(UpstreamFrame),
    /// Between the load policies of two hosts.
    Load(LoadMessage),
    /// Sign of life, echo and votes, within a cell.
    Heartbeat(GroupHeartbeat),
    /// Asks for a request's record before the sender takes it on.
    Query(RecordQuery),
    /// Answers a query.
    Reply(RecordReply),
    /// Between the flow directories of two hosts.
    Flow {
        /// Which processes it is between.
        parties: FlowParties,
        /// What is said.
        message: FlowMessage,
    },
}

/// Which of the three frames a datagram holds; the fourth byte of its header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum FrameKind {
    Caller = 1,
    Upstream = 2,
    Peer = 3,
}

/// Key that the entry hosts of one user share.
#[derive(Clone)]
pub struct PeerKey {
    key: [u8; 16],
}

impl PeerKey {
    /// Makes a key of its bytes.
    pub fn new(key: [u8; 16]) -> Self {
        Self { key }
    }

    fn code(&self, bytes: &[u8]) -> [u8; PEER_CODE_LEN] {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        hasher.write(bytes);
        hasher.finish128().as_bytes()
    }
}

/// Encodes a frame of a caller's link into a buffer that is used again; the datagram's length.
pub fn encode_caller_in(
    frame: &CallerFrame,
    buffer: &mut FrameBuffer,
) -> Result<usize, ResultCode> {
    encode_in(FrameKind::Caller, frame, buffer)
}

/// Encodes a frame of an upstream's link into a buffer that is used again; the datagram's length.
pub fn encode_upstream_in(
    frame: &UpstreamFrame,
    buffer: &mut FrameBuffer,
) -> Result<usize, ResultCode> {
    encode_in(FrameKind::Upstream, frame, buffer)
}

/// Encodes a frame between peers, with its keyed code, into a buffer that is used again; the
/// datagram's length.
pub fn encode_peer_in(
    frame: &PeerFrame,
    key: &PeerKey,
    buffer: &mut FrameBuffer,
) -> Result<usize, ResultCode> {
    let len = encode_in(FrameKind::Peer, frame, buffer)?;
    let (signed, rest) = buffer.split_at_mut(len);
    rest[..PEER_CODE_LEN].copy_from_slice(&key.code(signed));
    Ok(len + PEER_CODE_LEN)
}

/// Encodes a frame of a caller's link.
pub fn encode_caller(frame: &CallerFrame) -> Result<Bytes, ResultCode> {
    encode(FrameKind::Caller, frame).map(Bytes::from)
}

/// Encodes a frame of an upstream's link.
pub fn encode_upstream(frame: &UpstreamFrame) -> Result<Bytes, ResultCode> {
    encode(FrameKind::Upstream, frame).map(Bytes::from)
}

/// Encodes a frame between peers and appends its keyed code.
pub fn encode_peer(frame: &PeerFrame, key: &PeerKey) -> Result<Bytes, ResultCode> {
    let mut bytes = encode(FrameKind::Peer, frame)?;
    let code = key.code(&bytes);
    bytes.extend_from_slice(&code);
    Ok(Bytes::from(bytes))
}

/// Decodes a datagram of a caller's link; the error is the reason it is dropped for.
pub fn decode_caller(bytes: &[u8]) -> Result<CallerFrame, ResultCode> {
    let frame: CallerFrame = decode(FrameKind::Caller, bytes)?;
    match &frame.body {
        CallerBody::Part(part) => check_part(part)?,
        CallerBody::Request(request) => check_payload(&request.payload)?,
        _ => {}
    }
    Ok(frame)
}

/// Decodes a datagram of an upstream's link; the error is the reason it is dropped for.
pub fn decode_upstream(bytes: &[u8]) -> Result<UpstreamFrame, ResultCode> {
    let frame: UpstreamFrame = decode(FrameKind::Upstream, bytes)?;
    if let UpstreamBody::Part(part) = &frame.body {
        check_part(part)?;
    }
    Ok(frame)
}

/// Decodes a datagram of a peer's link after its code was verified.
pub fn decode_peer(bytes: &[u8], key: &PeerKey) -> Result<PeerFrame, ResultCode> {
    let Some(signed_len) = bytes.len().checked_sub(PEER_CODE_LEN) else {
        return Err(ResultCode::FrameTruncated);
    };
    let (signed, code) = bytes.split_at(signed_len);
    if !codes_equal(code, &key.code(signed)) {
        return Err(ResultCode::FrameForged);
    }
    decode(FrameKind::Peer, signed)
}

/// Compares in time that does not depend on the contents, so that a code cannot be guessed bytewise.
fn codes_equal(left: &[u8], right: &[u8]) -> bool {
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
