//! Tells from callers' packets alone whether an upstream still answers.
//!
//! Load pattern: an upstream goes dark (power, a cut cable, a cut zone) while its registration
//! still says ready, for the three heartbeats until the store drops it. Upstreams answer callers
//! directly, so a host sees no answer and no refusal; and since a dark upstream's flows stop, it
//! looks idle and a choice by load sends it everything new. What a host does see: an
//! acknowledgement that grows, or a flow that opens, proves life; a packet that a caller sends
//! again, with no proof of life from that upstream since its first copy, is an attempt without an
//! answer. The bound on how many may be out at once stands in [`crate::upstream_choice`].

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::outlier_record::OutlierRecord;

/// Attempts without an answer, in a row, after which new flows avoid an upstream. One alone is
/// what a lost datagram looks like (1 in 700 packets here); two in a row with no answer to anybody
/// between are 1 in 500,000.
const SILENT_ATTEMPTS: u32 = 2;

/// Attempts without an answer, of two flows or more, after which the upstream is taken to be dark,
/// so that its flows may be ended; one more than for avoiding it, for an ended flow cannot be taken
/// back. One flow alone may have lost its upstream, or its way, while all others go on.
const DARK_ATTEMPTS: u32 = 3;

/// How long nobody may have had an answer before an upstream is taken to be dark. Callers send
/// again after 200 ms; a full upstream's queue (8 waiting at 2 slots of 30 ms) is done in 120 ms.
const DARK_SILENCE: Duration = Duration::from_millis(350);

/// Shortest time after which a copy of a packet says that the first had no answer. Callers send
/// again after 200 ms; what comes sooner was reordered or doubled by the network.
const SOONEST_REPEAT: Duration = Duration::from_millis(150);

/// How long the last attempt without an answer speaks for darkness. Flows move from host to host, so
/// that one that hears nothing of an upstream for longer knows nothing of it, neither good nor bad.
const DARK_MEMORY: Duration = Duration::from_secs(2);

/// How long an upstream is avoided before it is tried again beside another.
const EJECTION: Duration = Duration::from_millis(1000);

/// Pause between two trials of an avoided upstream. A trial costs one connection and delays
/// nobody, for the caller's packet goes to another upstream as well.
const TRIAL_PAUSE: Duration = Duration::from_millis(300);

/// What is known of one upstream's answers.
#[derive(Clone, Debug, Default)]
pub struct SilenceRecord {
    /// When it last proved to be alive, to this host or another of its zone.
    last_sign: Option<Instant>,
    /// The same, to this host alone: what it may tell others.
    own_sign: Option<Instant>,
    /// When the first of the attempts without an answer was sent; later than `last_sign`.
    silent_since: Option<Instant>,
    attempts: u32,
    /// The caller of the first of them.
    first_caller: Option<SocketAddrV4>,
    /// Whether another caller's attempt failed as well.
    several_callers: bool,
    /// When the last of them was seen.
    last_failed: Option<Instant>,
    outlier: OutlierRecord,
    /// When an avoided upstream may be tried again.
    next_trial: Option<Instant>,
}

impl SilenceRecord {
    /// When it last proved to be alive to this host.
    pub fn own_sign(&self) -> Option<Instant> {
        self.own_sign
    }

    /// When it last proved to be alive, to any host that told this one.
    pub fn last_sign(&self) -> Option<Instant> {
        self.last_sign
    }

    /// Attempts without an answer since then.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether new flows should avoid it.
    pub fn is_avoided(&self) -> bool {
        self.outlier.is_ejected() || self.outlier.is_on_probation()
    }

    /// Whether an answer is less sure than usual: it has yet to prove itself, or left one attempt
    /// without an answer.
    pub fn is_doubtful(&self) -> bool {
        self.last_sign.is_none() || self.attempts > 0
    }

    /// Whether it is so sure to be dark that its flows are better ended.
    pub fn is_dark(&self, now: Instant) -> bool {
        let long = self
            .silent_since
            .is_some_and(|since| now.saturating_duration_since(since) >= DARK_SILENCE);
        let enough = self.attempts >= DARK_ATTEMPTS && self.several_callers;
        self.is_avoided() && enough && long && self.is_fresh(now)
    }

    fn forget_attempts(&mut self) {
        self.attempts = 0;
        self.silent_since = None;
        self.first_caller = None;
        self.several_callers = false;
    }

    /// Whether the last attempt without an answer was seen of late.
    fn is_fresh(&self, now: Instant) -> bool {
        self.last_failed
            .is_some_and(|failed| now.saturating_duration_since(failed) <= DARK_MEMORY)
    }

    /// Whether an avoided upstream should be tried beside another one now.
    pub fn wants_trial(&self, now: Instant) -> bool {
        self.outlier.is_on_probation() && self.next_trial.is_none_or(|trial| trial <= now)
    }

    /// Notes that a trial was sent.
    pub fn trial_sent(&mut self, now: Instant) {
        self.next_trial = Some(now + TRIAL_PAUSE);
    }

    /// Learns that it is alive; true if it had been avoided.
    pub fn sign(&mut self, now: Instant) -> bool {
        let was_avoided = self.is_avoided();
        self.own_sign = Some(now);
        self.last_sign = Some(now);
        if self.attempts > 0 || was_avoided {
            self.forget_attempts();
            self.outlier.answered();
            self.next_trial = None;
        }
        was_avoided
    }

    /// Learns that it proved to be alive to another host at that time. Attempts that began later
    /// still count.
    pub fn sign_elsewhere(&mut self, at: Instant) {
        if self.last_sign.is_some_and(|sign| sign >= at) {
            return;
        }
        self.last_sign = Some(at);
        if self.silent_since.is_some_and(|since| since <= at) {
            self.forget_attempts();
            self.outlier.answered();
            self.next_trial = None;
        }
    }

    /// Learns of an attempt of a caller's flow, sent at `sent`, that has no answer yet; true if the
    /// upstream is avoided from now.
    pub fn attempt_failed(&mut self, now: Instant, sent: Instant, caller: SocketAddrV4) -> bool {
        let too_soon = now.saturating_duration_since(sent) < SOONEST_REPEAT;
        if too_soon || self.last_sign.is_some_and(|sign| sign >= sent) {
            return false;
        }
        if !self.is_fresh(now) {
            self.forget_attempts();
        }
        let first = *self.first_caller.get_or_insert(caller);
        self.several_callers |= first != caller;
        self.attempts += 1;
        self.last_failed = Some(now);
        self.silent_since = Some(self.silent_since.map_or(sent, |since| since.min(sent)));
        if !self.is_avoided() && self.outlier.lost(SILENT_ATTEMPTS) {
            self.outlier.eject(now, EJECTION);
            return true;
        }
        false
    }

    /// Forgets what counts against it: this host was frozen, or the upstream is another process.
    pub fn forgive(&mut self) {
        *self = Self {
            last_sign: self.last_sign,
            own_sign: self.own_sign,
            ..Self::default()
        };
    }

    /// Ends an avoidance whose time is over.
    pub fn tick(&mut self, now: Instant) {
        self.outlier.tick(now);
    }
}
