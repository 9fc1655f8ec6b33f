//! Numbered result codes, as they appear on the wire, in logs, in metrics and as exit codes.
//!
//! The numbers are stable: a number is never reused for another meaning. `docs/result-codes.md`
//! lists the codes, and a test checks that it lists all of them.

use serde::Deserialize;
use serde::Serialize;

/// A numbered result code.
///
/// Ranges: 0 is success, 1xx are faults of settings and published configuration and exit codes of
/// `lagoonctl`, 2xx are rejections of callers' requests, 3xx are dropped datagrams, 4xx concern
/// peers, and 5xx the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "u16", try_from = "u16")]
#[repr(u16)]
pub enum ResultCode {
    /// The operation succeeded.
    Success = 0,
    /// A settings file has at least one error.
    SettingsInvalid = 100,
    /// A published value is invalid, and the published state was rejected as a whole.
    ConfigInvalid = 101,
    /// The requested version was not in force on every host in time.
    NotConverged = 102,
    /// The upstream may not receive the service's traffic.
    NotCarried = 103,
    /// A file, the platform or a host could not be read.
    SourceUnreachable = 104,
    /// The arguments of the command name something that does not exist.
    UsageWrong = 105,
    /// An address cannot be bound.
    AddressUnavailable = 106,
    /// A socket failed while it was in use.
    SocketFailed = 107,
    /// The service address is not in the configuration in force.
    ServiceUnknown = 200,
    /// No upstream may receive the service's traffic at present.
    NoUpstream = 201,
    /// The queue of the service is full.
    QueueFull = 202,
    /// The request cannot be finished before its deadline.
    DeadlineTooShort = 203,
    /// The deadline passed while the request was waiting or running.
    DeadlinePassed = 204,
    /// The upstream shed the request before starting it.
    UpstreamShed = 205,
    /// The caller used more than its fair share of a saturated service.
    FairShareExceeded = 206,
    /// This host is draining and accepts no new requests or flows.
    HostDraining = 207,
    /// The flow is not established, or its upstream no longer exists.
    FlowUnknown = 208,
    /// This host may not accept the request at present; another host may.
    NotOwner = 209,
    /// The request may have run under a previous owner; its outcome cannot be determined.
    OutcomeUnknown = 210,
    /// The caller cancelled the request.
    Cancelled = 211,
    /// The host has not received a configuration yet.
    NoConfig = 212,
    /// The request ran, but no host has its answer any more.
    AnswerLost = 213,
    /// The upstream is draining and did not start the request.
    UpstreamDraining = 214,
    /// The upstream serves another service or is of another generation, and did not start the
    /// request.
    UpstreamWrong = 215,
    /// The flow's upstream no longer responds; the caller may open another flow.
    UpstreamSilent = 216,
    /// Every eligible upstream of the flow is in an evacuated availability zone.
    ZoneEvacuated = 217,
    /// All eligible upstreams of the flow are warming up and get no more new flows at present.
    UpstreamsWarming = 218,
    /// The service has too little free capacity for requests of this priority at present.
    PriorityRefused = 219,
    /// The datagram is shorter than its header or body requires.
    FrameTruncated = 300,
    /// The datagram does not begin with the magic number.
    FrameForeign = 301,
    /// The datagram has a version that this build does not support.
    FrameVersion = 302,
    /// The datagram's body cannot be decoded.
    FrameMalformed = 303,
    /// The datagram is longer than allowed.
    FrameOversized = 304,
    /// The datagram was sent as a peer's, but its message authentication code is wrong.
    FrameForged = 305,
    /// The datagram may have waited on a stalled host for longer than the maximum transit time.
    FrameStale = 306,
    /// The datagram was forwarded more often than allowed.
    HopsExceeded = 400,
    /// The peer is not in the published host list.
    PeerUnknown = 401,
    /// The peer already sends its state to the maximum number of hosts.
    PeerBusy = 402,
    /// A peer's state is truncated or cannot be decoded.
    StateMalformed = 403,
    /// A peer's state is not newer than this host's.
    StateStale = 404,
    /// A peer's state is longer than allowed.
    StateOversized = 405,
    /// A peer's load report contains impossible counts.
    LoadReportInvalid = 406,
    /// The platform did not respond in time.
    PlatformUnreachable = 500,
    /// The platform responded with a version older than the one in force.
    PlatformStale = 501,
    /// The platform rejected the call.
    PlatformRefused = 502,
    /// The platform no longer has the requested history.
    PlatformHistoryDropped = 503,
    /// A response or an item of the platform cannot be decoded.
    PlatformMalformed = 504,
    /// The platform's list arrived too slowly and was left to other hosts.
    PlatformCrowded = 505,
    /// A published evacuation names no zone, or its zone name is too long.
    EvacuationInvalid = 506,
    /// A published evacuation names a zone that is neither in the settings nor has an upstream.
    EvacuationUnknown = 507,
    /// The platform was restored from a backup and has lost what was written since.
    PlatformRestored = 508,
    /// A field of a published route or service is invalid and is not used.
    RouteFieldInvalid = 509,
}

impl ResultCode {
    /// All codes in ascending order of number.
    pub const ALL: &'static [ResultCode] = &[
        Self::Success,
        Self::SettingsInvalid,
        Self::ConfigInvalid,
        Self::NotConverged,
        Self::NotCarried,
        Self::SourceUnreachable,
        Self::UsageWrong,
        Self::AddressUnavailable,
        Self::SocketFailed,
        Self::ServiceUnknown,
        Self::NoUpstream,
        Self::QueueFull,
        Self::DeadlineTooShort,
        Self::DeadlinePassed,
        Self::UpstreamShed,
        Self::FairShareExceeded,
        Self::HostDraining,
        Self::FlowUnknown,
        Self::NotOwner,
        Self::OutcomeUnknown,
        Self::Cancelled,
        Self::NoConfig,
        Self::AnswerLost,
        Self::UpstreamDraining,
        Self::UpstreamWrong,
        Self::UpstreamSilent,
        Self::ZoneEvacuated,
        Self::UpstreamsWarming,
        Self::PriorityRefused,
        Self::FrameTruncated,
        Self::FrameForeign,
        Self::FrameVersion,
        Self::FrameMalformed,
        Self::FrameOversized,
        Self::FrameForged,
        Self::FrameStale,
        Self::HopsExceeded,
        Self::PeerUnknown,
        Self::PeerBusy,
        Self::StateMalformed,
        Self::StateStale,
        Self::StateOversized,
        Self::LoadReportInvalid,
        Self::PlatformUnreachable,
        Self::PlatformStale,
        Self::PlatformRefused,
        Self::PlatformHistoryDropped,
        Self::PlatformMalformed,
        Self::PlatformCrowded,
        Self::EvacuationInvalid,
        Self::EvacuationUnknown,
        Self::PlatformRestored,
        Self::RouteFieldInvalid,
    ];

    /// The number of the code on the wire and in logs.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> u16 {
        code.number()
    }
}

impl TryFrom<u16> for ResultCode {
    type Error = UnknownCode;

    fn try_from(number: u16) -> Result<Self, Self::Error> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
            .ok_or(UnknownCode { number })
    }
}

/// A number that is not a result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{number} is not a result code"))]
pub struct UnknownCode {
    /// The number.
    pub number: u16,
}
