//! Simulates the store of a fleet in virtual time: listings over one shared link, watches and
//! rejected calls.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::ids::Revision;
use lagoonproxy_packet::state::start_plan::StartPlan;
use lagoonproxy_packet::state::state_snapshot::ItemContent;
use lagoonproxy_packet::state::state_snapshot::PublishedItem;
use lagoonproxy_packet::state::store_feed::FeedStep;
use lagoonproxy_packet::state::store_feed::ListPage;
use lagoonproxy_packet::state::store_feed::ListProgress;
use lagoonproxy_packet::state::store_feed::StoreFault;
use lagoonproxy_packet::state::store_feed::WatchBatch;
use lagoonproxy_packet::state::store_position::StorePosition;

use crate::core_rig::in_era;
use crate::fleet_rig::FleetEvent;
use crate::fleet_rig::FleetRig;
use crate::fleet_rig::HostIndex;

/// Time until the store responds to a call, unless it is slow.
pub(crate) const STORE_DELAY: Duration = Duration::from_millis(8);

/// Interval at which list transfers advance.
const LINK_TICK: Duration = Duration::from_millis(5);

/// Bytes that the store's link (1 Gbit/s) transfers per interval.
const STORE_BYTES_PER_TICK: f64 = 125_000_000.0 * 0.005;

/// Bytes that a host's link (20 Mbit/s) transfers per interval.
const HOST_BYTES_PER_TICK: f64 = 2_500_000.0 * 0.005;

/// The kinds of calls of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Requests the list of all items.
    List,
    /// Waits for changes after a position.
    Watch,
}

/// Content of the store at the time of a backup.
pub struct StoreBackup {
    items: Vec<PublishedItem>,
    revision: Revision,
}

/// A list in transfer to a host.
pub(crate) struct ListTransfer {
    pub(crate) host: HostIndex,
    pub(crate) generation: u32,
    pub(crate) remaining_bytes: f64,
    /// Time at which the host checks whether to abandon the listing.
    pub(crate) progress_check_at: Option<Instant>,
    pub(crate) started: Instant,
}

/// A watch that waits for a change.
pub(crate) struct WaitingWatch {
    pub(crate) host: HostIndex,
    pub(crate) generation: u32,
    pub(crate) after: StorePosition,
    pub(crate) until: Instant,
    /// When the host gives up waiting for the response.
    pub(crate) deadline: Instant,
}

impl FleetRig {
    /// Publishes a change at the next revision and completes the watches that wait for it.
    pub fn publish(&mut self, item: impl FnOnce(Revision) -> PublishedItem) {
        self.revision += 1;
        let mut item = item(self.revision);
        item.position.era = self.era;
        self.items.retain(|held| held.key != item.key);
        self.items.push(item);
        let (ready, waiting) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.after.revision < self.revision);
        self.watches = waiting;
        for watch in ready {
            self.end_watch(&watch);
        }
    }

    /// Returns the position of the store.
    pub fn position(&self) -> StorePosition {
        in_era(self.era, self.revision)
    }

    /// Returns a backup of the store's content.
    pub fn back_up_store(&self) -> StoreBackup {
        StoreBackup {
            items: self.items.clone(),
            revision: self.revision,
        }
    }

    /// Restores the store from a backup: later changes are lost, their revisions are reused, and
    /// waiting watches end.
    pub fn restore_store(&mut self, backup: &StoreBackup) {
        self.era += 1;
        self.items.clone_from(&backup.items);
        for item in &mut self.items {
            item.position.era = self.era;
        }
        self.revision = backup.revision;
        self.dropped_through = self.dropped_through.min(backup.revision);
        for watch in std::mem::take(&mut self.watches) {
            self.end_watch(&watch);
        }
    }

    /// Loses every response of the store for `time`, also those to watches that wait meanwhile.
    pub fn lose_responses(&mut self, time: Duration) {
        self.silent_until = Some(self.now + time);
    }

    /// Stops answering the calls of a host, including the watch that waits.
    pub fn ignore_calls_of(&mut self, host: HostIndex) {
        self.hosts[host].answered = false;
    }

    /// Returns whether a response that the store sends to a host now is lost.
    fn loses_response(&self, host: HostIndex) -> bool {
        let is_silent = self.silent_until.is_some_and(|until| self.now < until);
        is_silent || !self.hosts[host].answered
    }

    /// Fails every waiting watch with a timeout.
    pub fn cut_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let fault = StoreFault::TimedOut;
            self.schedule(
                watch.host,
                self.store_delay,
                FleetEvent::Watched(Err(fault)),
            );
        }
    }

    /// Drops the store's history, so that hosts that are behind have to list again, and ends
    /// waiting watches.
    pub fn drop_history(&mut self) {
        self.dropped_through = self.revision;
        for watch in std::mem::take(&mut self.watches) {
            self.end_watch(&watch);
        }
    }

    /// Makes the next call of the store that the host's core returns.
    pub(crate) fn call_store(&mut self, index: HostIndex) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let step = host.core.store_step(now);
        let served = host.served;
        let refusal = StoreFault::Refused { status: 503 };
        let is_lost = self.loses_response(index);
        match step {
            FeedStep::Wait { until } => {
                self.schedule_read(index, until);
            }
            FeedStep::List { deadline, .. } if is_lost => {
                self.calls.push((now, index, StoreCall::List));
                let fault = FleetEvent::Listed(Err(StoreFault::TimedOut));
                self.schedule(index, deadline - now, fault);
            }
            FeedStep::List {
                progress_check_after,
                ..
            } if served => {
                self.calls.push((now, index, StoreCall::List));
                if !self.link_busy {
                    self.link_busy = true;
                    self.schedule(index, LINK_TICK, FleetEvent::LinkTick);
                }
                self.list_transfers.push(ListTransfer {
                    host: index,
                    generation: self.hosts[index].generation,
                    remaining_bytes: self.list_bytes,
                    started: now,
                    progress_check_at: progress_check_after.map(|after| now + after),
                });
            }
            FeedStep::List { .. } => {
                self.calls.push((now, index, StoreCall::List));
                self.schedule(index, self.store_delay, FleetEvent::Listed(Err(refusal)));
            }
            FeedStep::Watch {
                after,
                wait,
                deadline,
            } => {
                self.calls.push((now, index, StoreCall::Watch));
                let generation = self.hosts[index].generation;
                let until = now + wait;
                let watch = WaitingWatch {
                    host: index,
                    generation,
                    after,
                    until,
                    deadline,
                };
                if is_lost {
                    self.lose_watch(&watch);
                } else if !served {
                    self.schedule(index, self.store_delay, FleetEvent::Watched(Err(refusal)));
                } else if after != self.position() {
                    self.end_watch(&watch);
                } else {
                    self.watches.push(watch);
                    self.schedule(index, wait, FleetEvent::WatchTimeout);
                }
            }
        }
    }

    /// Advances the list transfers by one interval. They share the store's link equally.
    pub(crate) fn advance_list_transfers(&mut self) {
        let share = STORE_BYTES_PER_TICK / self.list_transfers.len() as f64;
        let step = share.min(HOST_BYTES_PER_TICK);
        let mut list_transfers = std::mem::take(&mut self.list_transfers);
        list_transfers.retain_mut(|list| {
            list.remaining_bytes -= step;
            let is_incomplete = list.remaining_bytes > 0.0;
            let check_due = list
                .progress_check_at
                .take_if(|progress_check_at| *progress_check_at <= self.now);
            let is_abandoned = check_due.is_some_and(|_at| {
                StartPlan::is_list_too_slow(&ListProgress {
                    received: (self.list_bytes - list.remaining_bytes) as u64,
                    total: Some(self.list_bytes as u64),
                    elapsed: self.now - list.started,
                })
            });
            let alive = self.hosts[list.host].generation == list.generation;
            if alive && (!is_incomplete || is_abandoned) {
                let page = ListPage {
                    items: self.existing_items(),
                    next_after: None,
                    position: self.position(),
                };
                let response = if is_incomplete {
                    Err(StoreFault::ListTooSlow)
                } else {
                    Ok(page)
                };
                self.schedule(list.host, self.store_delay, FleetEvent::Listed(response));
            }
            alive && is_incomplete && !is_abandoned
        });
        self.list_transfers = list_transfers;
        self.link_busy = !self.list_transfers.is_empty();
        if let Some(list) = self.list_transfers.first() {
            self.schedule(list.host, LINK_TICK, FleetEvent::LinkTick);
        }
    }

    fn existing_items(&self) -> Vec<PublishedItem> {
        let listed = self.items.iter();
        let existing = listed.filter(|item| item.content != ItemContent::Removed);
        existing.cloned().collect()
    }

    fn schedule_read(&mut self, index: HostIndex, until: Instant) {
        let delay = until.saturating_duration_since(self.now);
        self.schedule(index, delay, FleetEvent::Read);
    }

    /// Ends the watches whose maximum wait has elapsed.
    pub(crate) fn end_expired_watches(&mut self) {
        let now = self.now;
        let (expired, waiting) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.until <= now);
        self.watches = waiting;
        for watch in expired {
            self.end_watch(&watch);
        }
    }

    /// Lets a host wait for the response to a watch until its deadline.
    fn lose_watch(&mut self, watch: &WaitingWatch) {
        let remaining = watch.deadline.saturating_duration_since(self.now);
        let fault = FleetEvent::Watched(Err(StoreFault::TimedOut));
        self.schedule(watch.host, remaining, fault);
    }

    /// Responds to a watch: with the changes after its position, or with a fault if the history
    /// does not contain them.
    fn end_watch(&mut self, watch: &WaitingWatch) {
        if self.hosts[watch.host].generation != watch.generation {
            return;
        }
        let is_late = self.now + self.store_delay > watch.deadline;
        if is_late || self.loses_response(watch.host) {
            self.lose_watch(watch);
            return;
        }
        let after = watch.after.revision;
        if after < self.dropped_through || after > self.revision {
            let fault = StoreFault::HistoryDropped;
            self.schedule(
                watch.host,
                self.store_delay,
                FleetEvent::Watched(Err(fault)),
            );
            return;
        }
        let newer = self
            .items
            .iter()
            .filter(|item| item.position.revision > after);
        let batch = WatchBatch {
            items: newer.cloned().collect(),
            changed: after < self.revision,
            position: self.position(),
        };
        self.schedule(watch.host, self.store_delay, FleetEvent::Watched(Ok(batch)));
    }
}
