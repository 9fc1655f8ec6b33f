//! When and what a host reads from the platform's store, and what it does when that fails.
//!
//! First the whole list is read, page by page, and then watched from the revision of the first
//! page on, so that what changed between pages is seen again. A watch goes on where the last one
//! ended, over any number of failures; only when the store has dropped that part of its history, or has come back
//! from a copy, is the list read again. What was learned is never forgotten meanwhile.

use std::cmp::Ordering;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;
use snafu::Snafu;

use crate::ids::StoreEra;
use crate::state::state_snapshot::PublishedItem;
use crate::state::state_snapshot::StateUpdate;
use crate::state::store_position::StorePosition;

/// How long a watch may wait at the store. A shorter one costs calls, of which only the few readers
/// make any; a longer one leaves a store that is silent to its reader unnoticed.
pub const WATCH_WAIT: Duration = Duration::from_secs(5);

/// How long the first watch of a host that begins to read waits: its answer says that the store serves this
/// host, and others leave the reading to it only then.
pub const FIRST_WAIT: Duration = Duration::from_millis(1);

/// How much longer than its wait a watch's answer may take, and how long any other answer. The
/// store answers in 4 ms, and in 360 ms when it is slow.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(1500);

/// Pause after a watch that brought changes, so that those of a rolling replacement come together.
/// Changes have to be in force within seconds; each call has its price.
const BATCH_PAUSE: Duration = Duration::from_millis(300);

/// First pause after a failure; doubled with each further one.
const FIRST_RETRY: Duration = Duration::from_millis(200);

/// Longest pause after a failure. A store that comes back is heard within this time.
const LONGEST_RETRY: Duration = Duration::from_millis(1000);

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreFault {
    /// No connection, or it ended.
    #[snafu(display("the store cannot be reached: {reason}"))]
    Unreachable {
        /// What the connection said.
        reason: String,
    },
    /// No answer in time.
    #[snafu(display("the store did not answer in time"))]
    TimedOut,
    /// The list came in so slowly that it is left to others.
    #[snafu(display("the store's list comes in slowly"))]
    Crowded,
    /// The store refused the call.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// The status of the answer.
        status: u16,
    },
    /// The store no longer has the history asked for.
    #[snafu(display("the store has dropped the history that was asked for"))]
    HistoryDropped,
    /// The store has come back from a copy since the list was begun, or since the position to be watched from.
    #[snafu(display("the store has come back from a copy: era {era}"))]
    EraChanged {
        /// The era of the answer.
        era: StoreEra,
    },
    /// The answer is of an earlier state than the store has shown before.
    #[snafu(display("the store's answer is of {answered}, which is before {known}"))]
    Regressed {
        /// The position of the answer.
        answered: StorePosition,
        /// The position that the store has shown before.
        known: StorePosition,
    },
    /// The answer cannot be read.
    #[snafu(display("the store's answer cannot be read: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPage {
    /// What it lists, as far as it concerns this system.
    pub items: Vec<PublishedItem>,
    /// The last key of the page; `None` if it is the last page.
    pub next_after: Option<SmolStr>,
    /// The store's position when the page was read.
    pub position: StorePosition,
}

/// How far the body of a page has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListProgress {
    /// Bytes that have come.
    pub received: u64,
    /// Bytes of the whole body; `None` if the store does not say.
    pub total: Option<u64>,
    /// Time since the answer's head.
    pub elapsed: Duration,
}

/// What a watch brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// Changes in the order in which they were made.
    pub items: Vec<PublishedItem>,
    /// Whether there was any change, also such as does not concern this system.
    pub changed: bool,
    /// The position to go on from.
    pub position: StorePosition,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedStep {
    /// Read a page of the list, from the key after this one.
    List {
        /// The last key of the page before.
        after: Option<SmolStr>,
        /// How long after the answer's head to look whether the list is better left to other hosts.
        look_after: Option<Duration>,
    },
    /// Wait for changes after this position.
    Watch {
        /// The position.
        after: StorePosition,
        /// How long the store may wait for a change.
        wait: Duration,
    },
    /// Do nothing until then.
    Wait {
        /// The moment.
        until: Instant,
    },
}

/// The state of a host's reading.
#[derive(Clone, Debug, Default)]
pub struct StoreFeed {
    /// Where the watch goes on; `None` while the list has to be read.
    watched: Option<StorePosition>,
    /// The store has refused to continue this position, so that a state as old as that needs the list.
    refused: StorePosition,
    /// Whether the store has answered the last call of this host.
    answered: bool,
    /// Position of the first page of a list that is being read.
    listed_from: Option<StorePosition>,
    next_after: Option<SmolStr>,
    gathered: Vec<PublishedItem>,
    not_before: Option<Instant>,
    /// Failed calls since the last watch that was answered. A list does not end the count: a store may refuse
    /// each watch from where its own list ends.
    failures: u32,
}

impl StoreFeed {
    /// What to do now.
    pub fn next_step(&self, now: Instant) -> FeedStep {
        if let Some(until) = self.not_before.filter(|until| *until > now) {
            return FeedStep::Wait { until };
        }
        match self.watched {
            Some(after) => FeedStep::Watch {
                after,
                wait: if self.answered {
                    WATCH_WAIT
                } else {
                    FIRST_WAIT
                },
            },
            None => FeedStep::List {
                after: self.next_after.clone(),
                look_after: None,
            },
        }
    }

    /// Goes on from a position that a peer has handed on, if that is further; nothing is listed then.
    pub fn skip_to(&mut self, position: StorePosition) {
        if position > self.watched.unwrap_or(self.refused) {
            self.watched = Some(position);
            self.leave_list();
        }
    }

    /// Learns that this host begins or ends to read: what the store answered before says nothing about the
    /// next call.
    pub fn pause(&mut self) {
        self.answered = false;
        self.not_before = None;
    }

    /// Accepts a page; the update once the list is complete.
    ///
    /// Fails if the page is of another era than those before it, or of an earlier state than a watch was refused
    /// from.
    pub fn listed(&mut self, page: ListPage) -> Result<Option<StateUpdate>, StoreFault> {
        let through = self.listed_from.unwrap_or(page.position);
        check_era(page.position, through)?;
        if through < self.refused {
            return Err(StoreFault::Regressed {
                answered: through,
                known: self.refused,
            });
        }
        self.answered = true;
        self.not_before = None;
        self.listed_from = Some(through);
        self.gathered.extend(page.items);
        if page.next_after.is_some() {
            self.next_after = page.next_after;
            return Ok(None);
        }
        self.next_after = None;
        self.listed_from = None;
        self.watched = Some(through);
        Ok(Some(StateUpdate {
            items: std::mem::take(&mut self.gathered),
            through,
            whole: true,
            after: StorePosition::UNREAD,
            until: StorePosition::UNREAD,
        }))
    }

    /// Accepts the events of a watch.
    ///
    /// Fails if they are of another era than the position that was watched from.
    pub fn changed(&mut self, now: Instant, batch: WatchBatch) -> Result<StateUpdate, StoreFault> {
        let after = self.watched.unwrap_or_default();
        check_era(batch.position, after)?;
        // A smaller revision of the same era is a read that lags behind.
        let through = batch.position.max(after);
        self.failures = 0;
        self.answered = true;
        self.watched = Some(through);
        self.not_before = batch.changed.then(|| now + BATCH_PAUSE);
        Ok(StateUpdate {
            items: batch.items,
            through,
            whole: false,
            after,
            until: through,
        })
    }

    /// Records a failed call.
    pub fn failed(&mut self, now: Instant, fault: &StoreFault) {
        self.answered = false;
        let needs_list = fault.needs_list();
        if needs_list {
            self.refused = self.watched.take().unwrap_or(self.refused);
        }
        self.leave_list();
        if needs_list && self.failures == 0 {
            self.failures = 1;
            return;
        }
        let doublings = self.failures.min(8);
        let pause = (FIRST_RETRY * (1 << doublings)).min(LONGEST_RETRY);
        self.failures += 1;
        self.not_before = Some(now + pause);
    }

    /// Leaves a list of which some pages were read.
    fn leave_list(&mut self) {
        self.listed_from = None;
        self.next_after = None;
        self.gathered = Vec::new();
    }
}

impl StoreFault {
    /// Whether the store responded, and the list has to be read to go on.
    pub fn needs_list(&self) -> bool {
        matches!(self, Self::HistoryDropped | Self::EraChanged { .. })
    }
}

/// Checks that an answer is of the era of a known position.
fn check_era(answered: StorePosition, known: StorePosition) -> Result<(), StoreFault> {
    match answered.era.cmp(&known.era) {
        Ordering::Less => Err(StoreFault::Regressed { answered, known }),
        Ordering::Equal => Ok(()),
        Ordering::Greater => Err(StoreFault::EraChanged { era: answered.era }),
    }
}
