//! Numbered results, as they appear on the wire, in logs, in metrics and as exit codes.
//!
//! The numbers are stable: a code is never reused for another meaning. `docs/result-codes.md`
//! lists them, and a test keeps that page and this table equal.

use serde::Deserialize;
use serde::Serialize;

/// One numbered result.
///
/// Ranges: 0 is success, 1xx are faults of settings and published
/// configuration and the exit codes of `lagoonctl`, 2xx are refusals
/// to callers, 3xx are datagrams dropped, 4xx concern peers, and 5xx the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "u16", try_from = "u16")]
#[repr(u16)]
pub enum ResultCode {
    /// Everything asked for was done.
    Success = 0,
    /// A settings file has at least one fault.
    SettingsInvalid = 100,
    /// A published value is invalid and was refused whole.
    ConfigInvalid = 101,
    /// The version asked for was not in force on every host in time.
    NotConverged = 102,
    /// The upstream may not take the service's traffic.
    NotCarried = 103,
    /// A file, the platform or a host could not be read.
    SourceUnreachable = 104,
    /// The command's words name nothing that there is.
    UsageWrong = 105,
    /// An address cannot be bound.
    AddressUnavailable = 106,
    /// A socket failed while it was in use.
    SocketFailed = 107,
    /// The service address is not in the configuration in force.
    ServiceUnknown = 200,
    /// No upstream may carry the service's traffic at present.
    NoUpstream = 201,
    /// The queue for the service is full.
    QueueFull = 202,
    /// The request cannot be finished before its deadline.
    DeadlineTooShort = 203,
    /// The deadline passed while the request was waiting or running.
    DeadlinePassed = 204,
    /// The upstream shed the request before starting it.
    UpstreamShed = 205,
    /// The caller took more than its fair share of a full service.
    FairShareExceeded = 206,
    /// This host is draining and takes no new work.
    HostDraining = 207,
    /// The flow is not established, or its upstream is gone.
    FlowUnknown = 208,
    /// The host may not decide on this request at present; another host may.
    NotOwner = 209,
    /// The request may have run under a former owner; nobody can tell.
    OutcomeUnknown = 210,
    /// The caller cancelled the request.
    Cancelled = 211,
    /// The host has not received a configuration yet.
    NoConfig = 212,
    /// The answer was produced, but no host holds it any more.
    AnswerLost = 213,
    /// The upstream is draining and did not start the request.
    UpstreamDraining = 214,
    /// The upstream serves another service or is another process, and did not start the request.
    UpstreamWrong = 215,
    /// The flow's upstream no longer answers; the caller may open another flow.
    UpstreamSilent = 216,
    /// Every upstream that could carry the flow is in an evacuated availability zone.
    ZoneEvacuated = 217,
    /// The upstreams that could carry the flow warm up and get no more new flows at present.
    UpstreamsWarming = 218,
    /// The service has too little room for requests of this priority at present.
    PriorityRefused = 219,
    /// The datagram is shorter than its header or body says.
    FrameTruncated = 300,
    /// The datagram does not begin with the magic number.
    FrameForeign = 301,
    /// The datagram has a version that this build does not speak.
    FrameVersion = 302,
    /// The datagram's body cannot be decoded.
    FrameMalformed = 303,
    /// The datagram is longer than allowed.
    FrameOversized = 304,
    /// The datagram claims to come from a peer but its code does not verify.
    FrameForged = 305,
    /// The datagram may have waited in a frozen host for longer than a datagram may be under way.
    FrameStale = 306,
    /// The datagram was forwarded more often than allowed.
    HopsExceeded = 400,
    /// The peer is not in the published host list.
    PeerUnknown = 401,
    /// The peer hands its state to as many hosts as it can at present.
    PeerBusy = 402,
    /// A peer's state was cut short or cannot be decoded.
    StateMalformed = 403,
    /// A peer's state is not newer than the one held.
    StateStale = 404,
    /// A peer's state is longer than allowed.
    StateOversized = 405,
    /// A peer's report on load holds counts that cannot be.
    LoadReportInvalid = 406,
    /// The platform did not answer in time.
    PlatformUnreachable = 500,
    /// The platform answered with a version older than the one in force.
    PlatformStale = 501,
    /// The platform refused the call.
    PlatformRefused = 502,
    /// The platform no longer has the history that was asked for.
    PlatformHistoryDropped = 503,
    /// An answer or an item of the platform cannot be read.
    PlatformMalformed = 504,
    /// The platform's list came in slowly and was left to other hosts.
    PlatformCrowded = 505,
    /// A published evacuation names no zone, or has a name that is too long for one.
    EvacuationInvalid = 506,
    /// A published evacuation names a zone that is not in the settings and has no upstream.
    EvacuationUnknown = 507,
    /// The platform has come back from a copy, and has lost what was written since.
    PlatformRestored = 508,
    /// A field of a published route or service is invalid and is not used.
    RouteFieldInvalid = 509,
}

impl ResultCode {
    /// Every code, in the order of its number.
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

    /// The number that stands on the wire and in logs.
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

/// A number that no result has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{number} is not the number of a result"))]
pub struct UnknownCode {
    /// The number that was met.
    pub number: u16,
}
