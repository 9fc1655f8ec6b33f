//! Passive failure detection: infers from the callers' packets whether an upstream responds.
//!
//! After a power failure or a cut link, a dead upstream stays registered as ready for three
//! heartbeats, until the store removes it. Upstreams respond to callers directly, so that hosts see
//! no response and no rejection. The flows of a dead upstream stop, so that it appears idle, and
//! selection by load would send it all new flows. An acknowledgement number that grows, or a flow
//! that is established, is a response. A retransmission of a packet, without a response from the
//! upstream since the packet was first sent, is an unanswered attempt.
//! [`crate::selection::upstream_selection`] bounds how many upstreams are ejected.

use std::net::SocketAddrV4;
use std::time::Instant;

use lagoonproxy::outlier_record::OutlierRecord;

use crate::policy_config::DetectorConfig;

/// Requests on open flows that were retransmitted without a response of their upstream. Unlike
/// SYNs, which a full upstream does not answer, they show whether it serves its flows.
#[derive(Clone, Copy, Debug, Default)]
struct UnansweredRequests {
    /// Number of retransmissions.
    attempts: u32,
    /// When the earliest of the requests was sent; `None` without attempts.
    since: Option<Instant>,
    /// Caller of the first attempt.
    first_caller: Option<SocketAddrV4>,
    /// Whether the attempts belong to more than one caller.
    several_callers: bool,
    /// When the latest attempt was detected.
    last_failed: Option<Instant>,
}

/// The responses and unanswered attempts of one upstream.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    /// Last response seen by this host or another host of its zone.
    last_response: Option<Instant>,
    /// Last response seen by this host.
    own_response: Option<Instant>,
    /// When the earliest of the unanswered attempts was sent; later than `last_response`. `None`
    /// without attempts.
    unanswered_since: Option<Instant>,
    /// Number of unanswered attempts.
    attempts: u32,
    /// When the latest unanswered attempt was detected.
    last_failed: Option<Instant>,
    /// The requests on open flows among the unanswered attempts.
    requests: UnansweredRequests,
    /// Ejection after consecutive unanswered attempts.
    outlier: OutlierRecord,
    /// Earliest time of the next probe while the upstream is ejected; `None` if there was none.
    next_probe: Option<Instant>,
}

impl FailureDetector {
    /// Returns the time of the last response seen by this host.
    pub fn own_response(&self) -> Option<Instant> {
        self.own_response
    }

    /// Returns the time of the last response seen by this host or reported by another host.
    pub fn last_response(&self) -> Option<Instant> {
        self.last_response
    }

    /// Returns the number of unanswered attempts since the last response.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the upstream is ejected: new flows avoid it until it responds to a probe.
    pub fn is_ejected(&self) -> bool {
        self.outlier.is_ejected() || self.outlier.is_on_probation()
    }

    /// Whether the upstream is suspected of failure: it has not responded yet, or has left an
    /// attempt unanswered.
    pub fn is_suspected(&self) -> bool {
        self.last_response.is_none() || self.attempts > 0
    }

    /// Whether the upstream has left requests of several callers unanswered for so long that it is
    /// dead if its registration has ended too. An upstream that is registered may only be busy, and
    /// a single caller's request may only be slow.
    pub fn is_unresponsive(&self, config: &DetectorConfig, now: Instant) -> bool {
        let requests = &self.requests;
        let long_silence = requests
            .since
            .is_some_and(|since| now.saturating_duration_since(since) >= config.min_silence);
        requests.attempts >= config.reset_attempts
            && requests.several_callers
            && long_silence
            && is_recent(requests.last_failed, config, now)
    }

    fn clear_attempts(&mut self) {
        self.attempts = 0;
        self.unanswered_since = None;
        self.requests = UnansweredRequests::default();
    }

    /// Whether an ejected upstream is due for a probe.
    pub fn wants_probe(&self, now: Instant) -> bool {
        self.outlier.is_on_probation() && self.next_probe.is_none_or(|probe| probe <= now)
    }

    /// Records a probe.
    pub fn probe_sent(&mut self, config: &DetectorConfig, now: Instant) {
        self.next_probe = Some(now + config.probe_interval);
    }

    /// Records a response seen by this host; true if the upstream was ejected until now.
    pub fn record_response(&mut self, now: Instant) -> bool {
        let was_ejected = self.is_ejected();
        self.own_response = Some(now);
        self.last_response = Some(now);
        if self.attempts > 0 || was_ejected {
            self.clear_attempts();
            self.outlier.answered();
            self.next_probe = None;
        }
        was_ejected
    }

    /// Records a response that another host saw at `at`. If all unanswered attempts were sent after
    /// it, they still count.
    pub fn record_peer_response(&mut self, at: Instant) {
        if self.last_response.is_some_and(|response| response >= at) {
            return;
        }
        self.last_response = Some(at);
        if self.unanswered_since.is_some_and(|since| since <= at) {
            self.clear_attempts();
            self.outlier.answered();
            self.next_probe = None;
        }
    }

    /// Records an unanswered request on an open flow, sent at `sent`; true if it ejects the
    /// upstream.
    pub fn request_failed(
        &mut self,
        config: &DetectorConfig,
        now: Instant,
        sent: Instant,
        caller: SocketAddrV4,
    ) -> bool {
        let ejects = self.attempt_failed(config, now, sent);
        if self.is_unanswered(config, now, sent) {
            self.requests.add(config, now, sent, caller);
        }
        ejects
    }

    /// Records an unanswered attempt, sent at `sent`; true if it ejects the upstream.
    pub fn attempt_failed(&mut self, config: &DetectorConfig, now: Instant, sent: Instant) -> bool {
        if !self.is_unanswered(config, now, sent) {
            return false;
        }
        if !is_recent(self.last_failed, config, now) {
            self.clear_attempts();
        }
        self.attempts += 1;
        self.last_failed = Some(now);
        self.unanswered_since = Some(self.unanswered_since.map_or(sent, |since| since.min(sent)));
        if !self.is_ejected() && self.outlier.lost(config.ejection_attempts) {
            self.outlier.eject(now, config.ejection);
            return true;
        }
        false
    }

    /// Whether the retransmission of a packet that was sent at `sent` is an unanswered attempt.
    fn is_unanswered(&self, config: &DetectorConfig, now: Instant, sent: Instant) -> bool {
        let too_soon = now.saturating_duration_since(sent) < config.min_retransmission_age;
        !too_soon && self.last_response.is_none_or(|response| response < sent)
    }

    /// Resets the detector after a stall of this host or a restart of the upstream. The times of
    /// the last responses are kept.
    pub fn reset(&mut self) {
        *self = Self {
            last_response: self.last_response,
            own_response: self.own_response,
            ..Self::default()
        };
    }

    /// Puts the upstream on probation when its ejection time is over, so that it can be probed.
    pub fn tick(&mut self, now: Instant) {
        self.outlier.tick(now);
    }
}

impl UnansweredRequests {
    /// Adds the retransmission of a request that was sent at `sent`.
    fn add(&mut self, config: &DetectorConfig, now: Instant, sent: Instant, caller: SocketAddrV4) {
        if !is_recent(self.last_failed, config, now) {
            *self = Self::default();
        }
        let first = *self.first_caller.get_or_insert(caller);
        self.several_callers |= first != caller;
        self.attempts += 1;
        self.since = Some(self.since.map_or(sent, |since| since.min(sent)));
        self.last_failed = Some(now);
    }
}

/// Whether an attempt that was detected at `last_failed` still counts.
fn is_recent(last_failed: Option<Instant>, config: &DetectorConfig, now: Instant) -> bool {
    last_failed
        .is_some_and(|failed| now.saturating_duration_since(failed) <= config.attempt_lifetime)
}
