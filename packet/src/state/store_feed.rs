//! State machine of a host's calls to the platform's store: lists, watches, and retries after
//! failures.
//!
//! The whole list is read first, page by page. Watches then start at the position of the first
//! page, so that changes made between pages are not missed. A watch continues where the last one
//! ended, across any number of failures. The list is read again only if the store has dropped that
//! part of its history or was restored from a backup; the state read before stays in use until
//! then.

use std::cmp::Ordering;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;
use snafu::Snafu;

use crate::ids::StoreEra;
use crate::state::state_snapshot::PublishedItem;
use crate::state::state_snapshot::StateUpdate;
use crate::state::store_position::StorePosition;

/// Time for which the store may hold a watch open without changes. A pending watch looks the same as
/// one whose response was lost, so that a change may go unnoticed for this time plus
/// [`WATCH_TIMEOUT`]. A shorter time costs more calls, although only the few readers make them.
pub const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Time for which the store may hold the first watch of a new reader open. The response shows that
/// the store serves this host, and other hosts step down only then.
pub const FIRST_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Timeout of a watch in addition to its wait, while the store responds. The store responds in 4
/// ms, and in 360 ms when it is slow.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of the other calls: of a page of the list, and of a watch after a failed call. It lets a
/// store that is slower than [`WATCH_TIMEOUT`] still be read.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause after a watch that returned changes, so that the changes of a rolling update are read in
/// batches. Each call has a cost, and changes need to be in force only within seconds.
const BATCH_PAUSE: Duration = Duration::from_millis(300);

/// Delay before the first retry after a failure; doubled with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay before a retry, and so the longest time until a store that is available again is
/// noticed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreFault {
    /// The connection failed or was closed.
    #[snafu(display("the store cannot be reached: {reason}"))]
    Unreachable {
        /// The connection error.
        reason: String,
    },
    /// The store did not respond in time.
    #[snafu(display("the store did not respond in time"))]
    TimedOut,
    /// The list arrived so slowly that this host abandoned it.
    #[snafu(display("the store's list comes in slowly"))]
    ListTooSlow,
    /// The store refused the call.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// The HTTP status of the response.
        status: u16,
    },
    /// The store no longer has the history after the requested position.
    #[snafu(display("the store no longer has the requested history"))]
    HistoryDropped,
    /// The store was restored from a backup after the listing began, or after the watched position.
    #[snafu(display("the store has come back from a copy: era {era}"))]
    EraChanged {
        /// The era of the response.
        era: StoreEra,
    },
    /// The response is of an earlier state than the store has returned before.
    #[snafu(display(
        "the store's response is at position {received}, before the known position {known}"
    ))]
    Regressed {
        /// The position of the response.
        received: StorePosition,
        /// The position that the store has returned before.
        known: StorePosition,
    },
    /// The response cannot be decoded.
    #[snafu(display("the store's response cannot be decoded: {reason}"))]
    Malformed {
        /// The decoding error.
        reason: String,
    },
}

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPage {
    /// The listed items that concern this system.
    pub items: Vec<PublishedItem>,
    /// The last key of this page, after which the next one starts; `None` for the last page.
    pub next_after: Option<SmolStr>,
    /// The store's position when the page was read.
    pub position: StorePosition,
}

/// Download progress of a page's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListProgress {
    /// Bytes received.
    pub received: u64,
    /// Length of the whole body in bytes; `None` if the store does not send it.
    pub total: Option<u64>,
    /// Time since the head of the response.
    pub elapsed: Duration,
}

/// The result of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// The changes that concern this system, in the order in which they were made.
    pub items: Vec<PublishedItem>,
    /// Whether there was any change, including those that do not concern this system.
    pub changed: bool,
    /// The position from which to continue.
    pub position: StorePosition,
}

/// The next action at the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedStep {
    /// Read a page of the list.
    List {
        /// The last key of the previous page; `None` for the first page.
        after: Option<SmolStr>,
        /// Time after the response head at which to check whether the listing is too slow; `None`
        /// for no check.
        progress_check_after: Option<Duration>,
        /// When the call has failed.
        deadline: Instant,
    },
    /// Watch for changes after a position.
    Watch {
        /// The position after which changes are returned.
        after: StorePosition,
        /// Time for which the store may wait for a change.
        wait: Duration,
        /// When the call has failed.
        deadline: Instant,
    },
    /// Make no call until a time.
    Wait {
        /// The time of the next action.
        until: Instant,
    },
}

/// A watch that was sent to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentWatch {
    /// When it was sent.
    pub sent_at: Instant,
    /// Until when the store waits for a change; without one, it responds only then.
    pub wait_end: Instant,
}

/// The state of a host's calls to the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFeed {
    /// Position after which the next watch starts; `None` while the list has to be read.
    watch_after: Option<StorePosition>,
    /// Latest position that the store could not continue; a state at or before it needs the list.
    refused_position: StorePosition,
    /// Whether the store responded to the last call.
    last_call_succeeded: bool,
    /// Position of the first page of the list in progress; `None` between lists.
    list_position: Option<StorePosition>,
    next_after: Option<SmolStr>,
    listed_items: Vec<PublishedItem>,
    next_call_at: Option<Instant>,
    /// Failed calls since the last successful watch. A successful list does not reset the count,
    /// because a store may refuse every watch from the position of its own list.
    failures: u32,
}

impl StoreFeed {
    /// The action that is due now.
    pub fn next_step(&self, now: Instant) -> FeedStep {
        if let Some(until) = self.next_call_at.filter(|until| *until > now) {
            return FeedStep::Wait { until };
        }
        match self.watch_after {
            Some(after) => {
                let (wait, timeout) = if self.last_call_succeeded {
                    (WATCH_WAIT, WATCH_TIMEOUT)
                } else {
                    (FIRST_WATCH_WAIT, RESPONSE_TIMEOUT)
                };
                FeedStep::Watch {
                    after,
                    wait,
                    deadline: now + wait + timeout,
                }
            }
            None => FeedStep::List {
                after: self.next_after.clone(),
                progress_check_after: None,
                deadline: now + RESPONSE_TIMEOUT,
            },
        }
    }

    /// Continues from the position of a peer's state if it is further; the list is not read then.
    pub fn advance_to(&mut self, position: StorePosition) {
        if position > self.watch_after.unwrap_or(self.refused_position) {
            self.watch_after = Some(position);
            self.discard_list();
        }
    }

    /// Records that this host starts or stops reading. The next call is due at once, and a watch
    /// uses [`FIRST_WATCH_WAIT`], because earlier responses say nothing about it.
    pub fn restart_calls(&mut self) {
        self.last_call_succeeded = false;
        self.next_call_at = None;
    }

    /// Accepts a page; returns the update once the list is complete.
    ///
    /// Fails if the page is of another era than those before it, or if the list is older than a
    /// position that the store could not continue.
    pub fn accept_page(&mut self, page: ListPage) -> Result<Option<StateUpdate>, StoreFault> {
        let through = self.list_position.unwrap_or(page.position);
        check_era(page.position, through)?;
        if through < self.refused_position {
            return Err(StoreFault::Regressed {
                received: through,
                known: self.refused_position,
            });
        }
        self.last_call_succeeded = true;
        self.next_call_at = None;
        self.list_position = Some(through);
        self.listed_items.extend(page.items);
        if page.next_after.is_some() {
            self.next_after = page.next_after;
            return Ok(None);
        }
        self.next_after = None;
        self.list_position = None;
        self.watch_after = Some(through);
        Ok(Some(StateUpdate {
            items: std::mem::take(&mut self.listed_items),
            through,
            whole: true,
            after: StorePosition::UNREAD,
            until: StorePosition::UNREAD,
        }))
    }

    /// Accepts the result of a watch and returns it as an update.
    ///
    /// Fails if it is of another era than the watched position.
    pub fn accept_watch_batch(
        &mut self,
        now: Instant,
        batch: WatchBatch,
    ) -> Result<StateUpdate, StoreFault> {
        let after = self.watch_after.unwrap_or_default();
        check_era(batch.position, after)?;
        // A smaller revision in the same era is a stale read.
        let through = batch.position.max(after);
        self.failures = 0;
        self.last_call_succeeded = true;
        self.watch_after = Some(through);
        self.next_call_at = batch.changed.then(|| now + BATCH_PAUSE);
        Ok(StateUpdate {
            items: batch.items,
            through,
            whole: false,
            after,
            until: through,
        })
    }

    /// Records a failed call and schedules the next one. The first call after a timeout is due at
    /// once: the response may have been lost with its connection, while the store responds on others.
    pub fn call_failed(&mut self, now: Instant, fault: &StoreFault) {
        self.last_call_succeeded = false;
        let needs_list = fault.needs_list();
        if needs_list {
            self.refused_position = self.watch_after.take().unwrap_or(self.refused_position);
        }
        self.discard_list();
        let retries_at_once = needs_list || *fault == StoreFault::TimedOut;
        if retries_at_once && self.failures == 0 {
            self.failures = 1;
            return;
        }
        let doublings = self.failures.min(8);
        let pause = (MIN_RETRY_DELAY * (1 << doublings)).min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.next_call_at = Some(now + pause);
    }

    /// Discards the pages of an incomplete list.
    fn discard_list(&mut self) {
        self.list_position = None;
        self.next_after = None;
        self.listed_items = Vec::new();
    }
}

impl StoreFault {
    /// Whether the store responded, but the list has to be read before watches can continue.
    pub fn needs_list(&self) -> bool {
        matches!(self, Self::HistoryDropped | Self::EraChanged { .. })
    }
}

/// Checks that a response is of the same era as a known position.
fn check_era(received: StorePosition, known: StorePosition) -> Result<(), StoreFault> {
    match received.era.cmp(&known.era) {
        Ordering::Less => Err(StoreFault::Regressed { received, known }),
        Ordering::Equal => Ok(()),
        Ordering::Greater => Err(StoreFault::EraChanged { era: received.era }),
    }
}
