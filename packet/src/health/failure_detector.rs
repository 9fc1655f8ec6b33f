//! Passive failure detection: whether an upstream responds, from callers' packets alone.
//!
//! Load pattern: an upstream goes dark (power, a cut cable, a cut zone) while its registration
//! still says ready, for the three heartbeats until the store drops it. Upstreams answer callers
//! directly, so a host sees no answer and no refusal; and since a dark upstream's flows stop, it
//! looks idle and a choice by load sends it everything new. What a host does see: an
//! acknowledgement that grows, or a flow that opens, proves life; a packet that a caller sends
//! again, with no proof of life from that upstream since its first copy, is an attempt without an
//! answer. The bound on how many may be out at once stands in [`crate::selection::upstream_selection`].

use std::net::SocketAddrV4;
use std::time::Instant;

use lagoonproxy::outlier_record::OutlierRecord;

use crate::policy_config::DetectorConfig;

/// The responses and unanswered attempts of one upstream.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    /// Its last response, to this host or another local one.
    last_response: Option<Instant>,
    /// The same, to this host alone.
    own_response: Option<Instant>,
    /// When the first of the attempts without an answer was sent; later than `last_response`.
    silent_since: Option<Instant>,
    attempts: u32,
    /// The caller of the first of them.
    first_caller: Option<SocketAddrV4>,
    /// Whether another caller's attempt failed as well.
    several_callers: bool,
    /// When the last of them was seen.
    last_failed: Option<Instant>,
    outlier: OutlierRecord,
    /// When an ejected upstream may be probed.
    next_probe: Option<Instant>,
}

impl FailureDetector {
    /// Its last response to this host.
    pub fn own_response(&self) -> Option<Instant> {
        self.own_response
    }

    /// Its last response to this host, or to another that reported it.
    pub fn last_response(&self) -> Option<Instant> {
        self.last_response
    }

    /// Unanswered attempts since then.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether new flows should avoid it.
    pub fn is_ejected(&self) -> bool {
        self.outlier.is_ejected() || self.outlier.is_on_probation()
    }

    /// Whether it is in doubt: it has not responded yet, or left an attempt unanswered.
    pub fn is_doubtful(&self) -> bool {
        self.last_response.is_none() || self.attempts > 0
    }

    /// Whether it is dead, so that its flows are to be reset.
    pub fn is_dead(&self, config: &DetectorConfig, now: Instant) -> bool {
        let long = self
            .silent_since
            .is_some_and(|since| now.saturating_duration_since(since) >= config.min_dead_silence);
        let enough = self.attempts >= config.dead_attempts && self.several_callers;
        self.is_ejected() && enough && long && self.is_fresh(config, now)
    }

    fn forget_attempts(&mut self) {
        self.attempts = 0;
        self.silent_since = None;
        self.first_caller = None;
        self.several_callers = false;
    }

    /// Whether the last attempt without an answer was seen of late.
    fn is_fresh(&self, config: &DetectorConfig, now: Instant) -> bool {
        self.last_failed
            .is_some_and(|failed| now.saturating_duration_since(failed) <= config.attempt_lifetime)
    }

    /// Whether an ejected upstream is due for a probe.
    pub fn wants_probe(&self, now: Instant) -> bool {
        self.outlier.is_on_probation() && self.next_probe.is_none_or(|probe| probe <= now)
    }

    /// Records a probe.
    pub fn probe_sent(&mut self, config: &DetectorConfig, now: Instant) {
        self.next_probe = Some(now + config.probe_interval);
    }

    /// Records a response to this host; true if the upstream was ejected.
    pub fn record_response(&mut self, now: Instant) -> bool {
        let was_avoided = self.is_ejected();
        self.own_response = Some(now);
        self.last_response = Some(now);
        if self.attempts > 0 || was_avoided {
            self.forget_attempts();
            self.outlier.answered();
            self.next_probe = None;
        }
        was_avoided
    }

    /// Records a response to another host at that time. Attempts that began later still count.
    pub fn remote_response(&mut self, at: Instant) {
        if self.last_response.is_some_and(|sign| sign >= at) {
            return;
        }
        self.last_response = Some(at);
        if self.silent_since.is_some_and(|since| since <= at) {
            self.forget_attempts();
            self.outlier.answered();
            self.next_probe = None;
        }
    }

    /// Records an unanswered attempt of a caller's flow, sent at `sent`; true if it ejects the upstream.
    pub fn attempt_failed(
        &mut self,
        config: &DetectorConfig,
        now: Instant,
        sent: Instant,
        caller: SocketAddrV4,
    ) -> bool {
        let too_soon = now.saturating_duration_since(sent) < config.min_retransmission_age;
        if too_soon || self.last_response.is_some_and(|sign| sign >= sent) {
            return false;
        }
        if !self.is_fresh(config, now) {
            self.forget_attempts();
        }
        let first = *self.first_caller.get_or_insert(caller);
        self.several_callers |= first != caller;
        self.attempts += 1;
        self.last_failed = Some(now);
        self.silent_since = Some(self.silent_since.map_or(sent, |since| since.min(sent)));
        if !self.is_ejected() && self.outlier.lost(config.ejection_attempts) {
            self.outlier.eject(now, config.ejection);
            return true;
        }
        false
    }

    /// Resets the detector: this host was frozen, or the upstream is another process.
    pub fn reset(&mut self) {
        *self = Self {
            last_response: self.last_response,
            own_response: self.own_response,
            ..Self::default()
        };
    }

    /// Ends an avoidance whose time is over.
    pub fn tick(&mut self, now: Instant) {
        self.outlier.tick(now);
    }
}
