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

/// Consecutive attempts without a response.
#[derive(Clone, Copy, Debug, Default)]
struct UnansweredAttempts {
    /// Number of attempts.
    count: u32,
    /// When the earliest of them was sent; `None` without attempts.
    since: Option<Instant>,
    /// When the latest of them was detected.
    last_failed: Option<Instant>,
}

/// Requests on open flows that were retransmitted without a response of their upstream. Unlike
/// SYNs, which a full upstream does not answer, they show whether it serves its flows.
#[derive(Clone, Copy, Debug, Default)]
struct UnansweredRequests {
    attempts: UnansweredAttempts,
    /// Caller of the first attempt.
    first_caller: Option<SocketAddrV4>,
    /// Whether the attempts belong to more than one caller.
    several_callers: bool,
}

/// The responses and unanswered attempts of one upstream.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    /// Last response seen by this host or another host of its zone.
    last_response: Option<Instant>,
    /// Last response seen by this host.
    own_response: Option<Instant>,
    /// The unanswered attempts; sent later than `last_response`.
    attempts: UnansweredAttempts,
    /// The requests on open flows among them.
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
        self.attempts.count
    }

    /// Whether the upstream is ejected: new flows avoid it until it responds to a probe.
    pub fn is_ejected(&self) -> bool {
        self.outlier.is_ejected() || self.outlier.is_on_probation()
    }

    /// Whether the upstream is suspected of failure: it has not responded yet, or has left an
    /// attempt unanswered.
    pub fn is_suspected(&self) -> bool {
        self.last_response.is_none() || self.attempts.count > 0
    }

    /// Whether the upstream has left requests of several callers unanswered for so long that it is
    /// dead if its registration has ended too. An upstream that is registered may only be busy, and
    /// a single caller's request may only be slow.
    pub fn is_unresponsive(&self, config: &DetectorConfig, now: Instant) -> bool {
        let attempts = &self.requests.attempts;
        let long_silence = attempts
            .since
            .is_some_and(|since| now.saturating_duration_since(since) >= config.min_silence);
        attempts.count >= config.reset_attempts
            && self.requests.several_callers
            && long_silence
            && attempts.is_recent(config, now)
    }

    fn clear_attempts(&mut self) {
        self.attempts = UnansweredAttempts::default();
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
        if self.attempts.count > 0 || was_ejected {
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
        if self.attempts.since.is_some_and(|since| since <= at) {
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
        if !self.attempts.is_recent(config, now) {
            self.clear_attempts();
        }
        self.attempts.add(now, sent);
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

impl UnansweredAttempts {
    /// Adds an attempt that was sent at `sent`.
    fn add(&mut self, now: Instant, sent: Instant) {
        self.count += 1;
        self.since = Some(self.since.map_or(sent, |since| since.min(sent)));
        self.last_failed = Some(now);
    }

    /// Whether the latest attempt still counts.
    fn is_recent(&self, config: &DetectorConfig, now: Instant) -> bool {
        self.last_failed
            .is_some_and(|failed| now.saturating_duration_since(failed) <= config.attempt_lifetime)
    }
}

impl UnansweredRequests {
    /// Adds the retransmission of a request that was sent at `sent`.
    fn add(&mut self, config: &DetectorConfig, now: Instant, sent: Instant, caller: SocketAddrV4) {
        if !self.attempts.is_recent(config, now) {
            *self = Self::default();
        }
        let first = *self.first_caller.get_or_insert(caller);
        self.several_callers |= first != caller;
        self.attempts.add(now, sent);
    }
}
