//! Interface between a host's core and its load policy.
//!
//! The core keeps requests, callers and responses. The policy receives requests and the outcomes of
//! attempts, and decides where each request goes or why it is refused.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::config_snapshot::ConfigSnapshot;
use crate::config_snapshot::HostView;
use crate::host_event::UpstreamReport;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::load_message::LoadMessage;
use crate::request_table::RequestKey;
use crate::result_code::ResultCode;

/// Request as submitted to a load policy.
#[derive(Clone, Debug)]
pub struct SubmittedRequest {
    /// Identity of the request.
    pub key: RequestKey,
    /// Address of the caller, which fair shares are counted by.
    pub caller: IpAddr,
    /// Requested service.
    pub service: ServiceId,
    /// Upstream that must run the request, because its flow is established there.
    pub pinned: Option<UpstreamId>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether the request may run twice, so that it may be tried again after any failure.
    pub idempotent: bool,
}

/// Outcome of a request that was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole response arrived.
    Answered,
    /// The upstream proved that it did not start the request, which may be sent elsewhere.
    NotStarted {
        /// Time after which the upstream expects a free slot.
        retry_after: Duration,
    },
    /// The attempt was given up without a response; the request may have run.
    Lost,
    /// The caller cancelled the request.
    Cancelled,
}

/// Decision of a load policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadDecision {
    /// Send a request to an upstream now.
    Send {
        /// Request to send.
        key: RequestKey,
        /// Destination.
        upstream: UpstreamId,
    },
    /// Refuse a request now.
    Refuse {
        /// Request to refuse.
        key: RequestKey,
        /// Reason.
        code: ResultCode,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Send a message to another host's policy.
    Tell {
        /// Destination host.
        host: HostId,
        /// Message to send.
        message: LoadMessage,
    },
}

/// Decides which requests are sent, wait or are refused, and to which upstream they go.
///
/// Every submitted request gets exactly one `Refuse`, or a `Send` followed by one call of
/// [`LoadPolicy::end`], or is withdrawn. After `NotStarted`, and after `Lost` of an idempotent
/// request before its deadline, the request counts as submitted anew. A `Refuse` with the code
/// [`ResultCode::OutcomeUnknown`] means that the request may have run; any other code means that it
/// did not.
///
/// The methods with a default body ignore their input. A policy that shares nothing with other
/// hosts does not override them.
pub trait LoadPolicy: Send {
    /// Applies a configuration.
    fn configure(&mut self, now: Instant, config: &Arc<ConfigSnapshot>);

    /// Updates the view of usable entry hosts.
    fn learn_hosts(&mut self, _now: Instant, _hosts: &Arc<HostView>) {}

    /// Handles a report of an upstream's health and load endpoints.
    fn handle_report(&mut self, _now: Instant, _report: UpstreamReport) {}

    /// Handles a message of another host's policy.
    fn handle_message(
        &mut self,
        _now: Instant,
        _sender: HostId,
        _message: &LoadMessage,
        _decisions: &mut Vec<LoadDecision>,
    ) {
    }

    /// Submits a new request. Decisions, which may concern other requests too, are appended to
    /// `decisions`.
    fn submit(
        &mut self,
        now: Instant,
        request: SubmittedRequest,
        decisions: &mut Vec<LoadDecision>,
    );

    /// Reports the outcome of a request that was sent.
    fn end(
        &mut self,
        now: Instant,
        key: RequestKey,
        outcome: AttemptOutcome,
        decisions: &mut Vec<LoadDecision>,
    );

    /// Withdraws a waiting request. No decision on it follows, but decisions on others may.
    fn withdraw(&mut self, now: Instant, key: RequestKey, decisions: &mut Vec<LoadDecision>);

    /// Advances the time; called at each tick.
    fn tick(&mut self, now: Instant, decisions: &mut Vec<LoadDecision>);
}
