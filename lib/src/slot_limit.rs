//! How many jobs an upstream really takes, learned from what it sheds.
//!
//! Load pattern: an upstream whose published slots or load endpoint say more than it can take,
//! because it is cold, shares its host, or lies. Without it every job above the true limit is sent,
//! shed and sent again. A shed at `n` jobs proves a limit below `n`; one slot more is tried after
//! a pause that doubles while the tries fail (additive increase, no decrease below one).

use std::time::Duration;
use std::time::Instant;

/// Longest pause between tries, as a multiple of the first: an upstream that mends is found out
/// within this, and one that does not costs one shed in that time.
const LONGEST_PAUSE: u32 = 64;
/// Longest time that a shed can close an upstream with no other job of ours on it. The first closes
/// it for as long as it says, each further one for twice as long: an upstream that sheds everything
/// then costs one retry in this time, which the budget of retries bears.
const LONGEST_CLOSING: Duration = Duration::from_secs(2);
/// Doublings of a closing, at most.
const MOST_DOUBLINGS: u32 = 8;
/// Shortest such time, so that an upstream which says zero is not asked in a loop.
const SHORTEST_CLOSING: Duration = Duration::from_millis(10);

/// The limit of one upstream.
#[derive(Clone, Debug)]
pub struct SlotLimit {
    /// What was published; the limit never exceeds it.
    published: u32,
    /// What is believed. Invariant: at least 1, unless `published` is 0.
    believed: u32,
    /// When one more is tried, or, once all are believed again, when that counts as proved.
    probe_at: Option<Instant>,
    /// Pause before the next try, as a multiple of the setting.
    pause: u32,
    /// Until when nothing is sent, because it shed while it had nothing of ours.
    closed_until: Option<Instant>,
    /// Sheds in a row that closed it; each doubles the time.
    closings: u32,
}

impl SlotLimit {
    /// Begins with the published number of slots.
    pub fn new(published: u32) -> Self {
        Self {
            published,
            believed: published,
            probe_at: None,
            pause: 1,
            closed_until: None,
            closings: 0,
        }
    }

    /// Takes a newly published number of slots.
    pub fn publish(&mut self, published: u32) {
        if published != self.published {
            *self = Self::new(published);
        }
    }

    /// How many jobs may run now.
    pub fn allowed(&self) -> u32 {
        match self.closed_until {
            Some(_) => 0,
            None => self.believed,
        }
    }

    /// Whether time alone may change what is allowed.
    pub fn is_unsettled(&self) -> bool {
        self.probe_at.is_some() || self.closed_until.is_some()
    }

    /// Learns that a job was shed while `others` jobs of ours ran there.
    pub fn shed(&mut self, now: Instant, others: u32, retry_after: Duration, probe: Duration) {
        if others == 0 {
            let first = retry_after.max(SHORTEST_CLOSING);
            let closing = first * (1 << self.closings.min(MOST_DOUBLINGS));
            self.closed_until = Some(now + closing.min(LONGEST_CLOSING));
            self.closings += 1;
        }
        let lowered = others.clamp(1, self.published.max(1));
        if lowered < self.believed {
            self.believed = lowered;
            self.probe_at = Some(now + probe * self.pause);
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Learns of an answer: it does take jobs.
    pub fn answered(&mut self) {
        self.closings = 0;
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant, probe: Duration) {
        if self.closed_until.is_some_and(|until| until <= now) {
            self.closed_until = None;
        }
        if self.probe_at.is_none_or(|at| now < at) {
            return;
        }
        if self.believed >= self.published {
            self.probe_at = None;
            self.pause = 1;
            return;
        }
        self.believed += 1;
        self.probe_at = Some(now + probe * self.pause);
    }
}
