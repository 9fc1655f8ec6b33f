//! The border between a host's core and its decisions under load.
//!
//! The core keeps requests, callers and answers; a policy knows none of these. It is told of jobs
//! and of what became of them, and says where each goes or why it is refused.

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

/// A request as a policy sees it.
#[derive(Clone, Debug)]
pub struct LoadJob {
    /// The request.
    pub key: RequestKey,
    /// Who asks, for shares a caller.
    pub caller: IpAddr,
    /// The service asked for.
    pub service: ServiceId,
    /// The upstream that must run it, because its flow is established there.
    pub pinned: Option<UpstreamId>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether running it twice does no harm, so that it may be tried again after any failure.
    pub idempotent: bool,
}

/// What became of a job that was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// Its whole answer arrived.
    Answered,
    /// The upstream proved that it did not start it; it may be sent elsewhere.
    NotStarted {
        /// When the upstream expects a free slot.
        retry_after: Duration,
    },
    /// Nothing more will be heard of it, and it may have run.
    Lost,
    /// The caller cancelled it.
    Cancelled,
}

/// What a policy decides on a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadDecision {
    /// Send it now.
    Send {
        /// The job.
        key: RequestKey,
        /// Where to.
        upstream: UpstreamId,
    },
    /// Refuse it now.
    Refuse {
        /// The job.
        key: RequestKey,
        /// Why.
        code: ResultCode,
        /// When coming back makes sense.
        retry_after: Duration,
    },
    /// Tell another host's policy something.
    Tell {
        /// The host.
        host: HostId,
        /// What.
        message: LoadMessage,
    },
}

/// Decides whom to serve, who waits, who is refused, and where work goes.
///
/// Every job that was submitted gets exactly one `Refuse`, or a `Send` followed by one call of
/// [`LoadPolicy::end`], or is withdrawn. After `NotStarted`, and after `Lost` of an idempotent job
/// before its deadline, the job is as if submitted anew. A `Refuse` with the code
/// [`ResultCode::OutcomeUnknown`] is of a job that may have run; any other says that it did not.
///
/// A policy that shares nothing with other hosts keeps the methods that have a body: they ignore
/// what they are told.
pub trait LoadPolicy: Send {
    /// Puts a configuration in force.
    fn configure(&mut self, now: Instant, config: &Arc<ConfigSnapshot>);

    /// Learns which entry hosts are usable.
    fn learn_hosts(&mut self, _now: Instant, _hosts: &Arc<HostView>) {}

    /// Learns what an upstream's endpoints said.
    fn learn_report(&mut self, _now: Instant, _report: UpstreamReport) {}

    /// Takes a message of another host's policy.
    fn take_message(
        &mut self,
        _now: Instant,
        _sender: HostId,
        _message: &LoadMessage,
        _decisions: &mut Vec<LoadDecision>,
    ) {
    }

    /// Takes a new job; decisions, also on other jobs, are appended to `decisions`.
    fn submit(&mut self, now: Instant, job: LoadJob, decisions: &mut Vec<LoadDecision>);

    /// Learns the end of a job that was sent.
    fn end(
        &mut self,
        now: Instant,
        key: RequestKey,
        end: JobEnd,
        decisions: &mut Vec<LoadDecision>,
    );

    /// Withdraws a job that waits; no decision on it follows, but on others may.
    fn withdraw(&mut self, now: Instant, key: RequestKey, decisions: &mut Vec<LoadDecision>);

    /// Lets time pass; to be called each tick.
    fn tick(&mut self, now: Instant, decisions: &mut Vec<LoadDecision>);
}
