//! The store of a fleet in virtual time: a list over one link that all share, watches, and refusals.

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
use crate::fleet_rig::HostPlace;

/// How long the store takes for an answer.
const STORE_DELAY: Duration = Duration::from_millis(8);

/// What the store's link and a host's carry in a step.
const LINK_STEP: Duration = Duration::from_millis(5);
const STORE_STEP_BYTES: f64 = 125_000_000.0 * 0.005;
const HOST_STEP_BYTES: f64 = 2_500_000.0 * 0.005;

/// A kind of call of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A page of the list.
    List,
    /// A watch.
    Watch,
}

/// The store's content at one moment.
pub struct StoreCopy {
    items: Vec<PublishedItem>,
    revision: Revision,
}

/// A list that is under way.
pub(crate) struct ListTransfer {
    pub(crate) host: HostPlace,
    pub(crate) life: u32,
    pub(crate) left: f64,
    /// When the host looks whether to leave it.
    pub(crate) look_at: Option<Instant>,
    pub(crate) started: Instant,
}

/// A watch that waits at the store.
pub(crate) struct WaitingWatch {
    pub(crate) host: HostPlace,
    pub(crate) life: u32,
    pub(crate) after: StorePosition,
    pub(crate) until: Instant,
}

impl FleetRig {
    /// Publishes one change.
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

    /// The position of the store.
    pub fn position(&self) -> StorePosition {
        in_era(self.era, self.revision)
    }

    /// The store's content, to come back from.
    pub fn copy_store(&self) -> StoreCopy {
        StoreCopy {
            items: self.items.clone(),
            revision: self.revision,
        }
    }

    /// Lets the store come back from a copy: what was published since is gone, its revisions are given out again, and
    /// waiting watches are cut.
    pub fn restore_store(&mut self, copy: &StoreCopy) {
        self.era += 1;
        self.items.clone_from(&copy.items);
        for item in &mut self.items {
            item.position.era = self.era;
        }
        self.revision = copy.revision;
        self.dropped = self.dropped.min(copy.revision);
        for watch in std::mem::take(&mut self.watches) {
            self.end_watch(&watch);
        }
    }

    /// Ends every waiting watch without an answer.
    pub fn cut_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let fault = StoreFault::TimedOut;
            self.push(watch.host, STORE_DELAY, FleetEvent::Watched(Err(fault)));
        }
    }

    /// Drops the store's history: watches that are behind need the list again, and waiting ones are cut.
    pub fn drop_history(&mut self) {
        self.dropped = self.revision;
        for watch in std::mem::take(&mut self.watches) {
            self.end_watch(&watch);
        }
    }

    pub(crate) fn call_store(&mut self, place: HostPlace) {
        let now = self.now;
        let host = &mut self.hosts[place];
        let step = host.core.store_step(now);
        let served = host.served;
        let refusal = StoreFault::Refused { status: 503 };
        match step {
            FeedStep::Wait { until } => {
                self.wake(place, until);
            }
            FeedStep::List {
                progress_check_after,
                ..
            } if served => {
                self.calls.push((now, place, StoreCall::List));
                if !self.link_busy {
                    self.link_busy = true;
                    self.push(place, LINK_STEP, FleetEvent::LinkStep);
                }
                self.lists.push(ListTransfer {
                    host: place,
                    life: self.hosts[place].life,
                    left: self.list_bytes,
                    started: now,
                    look_at: progress_check_after.map(|after| now + after),
                });
            }
            FeedStep::List { .. } => {
                self.calls.push((now, place, StoreCall::List));
                self.push(place, STORE_DELAY, FleetEvent::Listed(Err(refusal)));
            }
            FeedStep::Watch { after, wait } => {
                self.calls.push((now, place, StoreCall::Watch));
                let life = self.hosts[place].life;
                let until = now + wait;
                let watch = WaitingWatch {
                    host: place,
                    life,
                    after,
                    until,
                };
                if !served {
                    self.push(place, STORE_DELAY, FleetEvent::Watched(Err(refusal)));
                } else if after != self.position() {
                    self.end_watch(&watch);
                } else {
                    self.watches.push(watch);
                    self.push(place, wait, FleetEvent::WatchEnds);
                }
            }
        }
    }

    /// Shares a step of the store's link among the lists that are under way.
    pub(crate) fn carry_lists(&mut self) {
        let share = STORE_STEP_BYTES / self.lists.len() as f64;
        let step = share.min(HOST_STEP_BYTES);
        let mut lists = std::mem::take(&mut self.lists);
        lists.retain_mut(|list| {
            list.left -= step;
            let left = list.left > 0.0;
            let looks = list.look_at.take_if(|look_at| *look_at <= self.now);
            let leaves = looks.is_some_and(|_look| {
                StartPlan::is_list_too_slow(&ListProgress {
                    received: (self.list_bytes - list.left) as u64,
                    total: Some(self.list_bytes as u64),
                    elapsed: self.now - list.started,
                })
            });
            let alive = self.hosts[list.host].life == list.life;
            if alive && (!left || leaves) {
                let page = ListPage {
                    items: self.listed_items(),
                    next_after: None,
                    position: self.position(),
                };
                let answer = if left {
                    Err(StoreFault::ListTooSlow)
                } else {
                    Ok(page)
                };
                self.push(list.host, STORE_DELAY, FleetEvent::Listed(answer));
            }
            alive && left && !leaves
        });
        self.lists = lists;
        self.link_busy = !self.lists.is_empty();
        if let Some(list) = self.lists.first() {
            self.push(list.host, LINK_STEP, FleetEvent::LinkStep);
        }
    }

    fn listed_items(&self) -> Vec<PublishedItem> {
        let listed = self.items.iter();
        let existing = listed.filter(|item| item.content != ItemContent::Removed);
        existing.cloned().collect()
    }

    fn wake(&mut self, place: HostPlace, until: Instant) {
        let delay = until.saturating_duration_since(self.now);
        self.push(place, delay, FleetEvent::Read);
    }

    /// Ends the watches that have waited their time.
    pub(crate) fn end_old_watches(&mut self) {
        let now = self.now;
        let (old, waiting) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.until <= now);
        self.watches = waiting;
        for watch in old {
            self.end_watch(&watch);
        }
    }

    fn end_watch(&mut self, watch: &WaitingWatch) {
        if self.hosts[watch.host].life != watch.life {
            return;
        }
        let after = watch.after.revision;
        if after < self.dropped || after > self.revision {
            let fault = StoreFault::HistoryDropped;
            self.push(watch.host, STORE_DELAY, FleetEvent::Watched(Err(fault)));
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
        self.push(watch.host, STORE_DELAY, FleetEvent::Watched(Ok(batch)));
    }
}
