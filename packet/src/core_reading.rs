//! Obtains the published state from the store or from peers, and applies it.

use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use crate::packet_action::DecisionEvent;
use crate::packet_action::PacketOutput;
use crate::packet_action::UpstreamChange;
use crate::packet_core::PacketCore;
use crate::state::state_snapshot::StateChange;
use crate::state::state_snapshot::StateQuery;
use crate::state::state_snapshot::StateUpdate;
use crate::state::state_source::SyncState;
use crate::state::store_feed::FeedStep;
use crate::state::store_feed::ListPage;
use crate::state::store_feed::SentWatch;
use crate::state::store_feed::StoreFault;
use crate::state::store_feed::WatchBatch;
use crate::upstreams::restored_upstreams::RestoreOutcome;
use crate::upstreams::upstream_record::RegistrationState;

/// Interval at which a host that is not the reader of its zone checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl PacketCore {
    /// Merges an update from the store or a peer, and applies its changes. Returns true if it was
    /// new.
    pub fn merge(&mut self, now: Instant, update: &StateUpdate, output: &mut PacketOutput) -> bool {
        let before = self.snapshot.through();
        let had_state = !before.is_unread();
        let outcome = self.snapshot.merge(update);
        if outcome.is_stale {
            self.record_rejected_update(update, output);
            return false;
        }
        self.record_merge(&outcome, output);
        if outcome.crosses_era {
            self.record_era_change(before, update.whole, output);
            self.upstreams.restart_grace_times(now);
            self.confirmation.restart(now);
        }
        for change in &outcome.changes {
            if outcome.crosses_era {
                self.apply_restored(now, change, output);
            } else {
                self.apply(now, change, had_state, output);
            }
        }
        if !had_state {
            self.state_since = Some(now);
            self.confirmation.restart(now);
            let listed = outcome.changes.iter();
            let upstreams = listed.filter(|change| matches!(change, StateChange::Upstream(_)));
            output.events.push(DecisionEvent::FirstState {
                upstreams: upstreams.count(),
                through: self.snapshot.through(),
            });
            self.peers.make_round_due();
        }
        self.snapshot.through() > before || !outcome.changes.is_empty()
    }

    /// Returns the update to forward to the hosts of the zone, after this host has merged `update`
    /// into the state that `before` describes. The whole state of a later era is converted to a
    /// delta, since most hosts of the zone hold the state before it too.
    pub fn forwarded_update(&self, update: StateUpdate, before: &StateQuery) -> StateUpdate {
        if update.whole && before.after.is_before_era_of(update.through) {
            self.snapshot.update_since(before)
        } else {
            update
        }
    }

    /// Returns what to do at the store now.
    pub fn store_step(&mut self, now: Instant) -> FeedStep {
        if self.snapshot.through().is_unread() {
            let has_seeds = self.peers.has_seeds();
            return self.first_step(now, has_seeds);
        }
        if !self.role.reads() {
            let until = now + ROLE_CHECK_INTERVAL;
            return FeedStep::Wait { until };
        }
        self.feed.advance_to(self.snapshot.through());
        let step = self.feed.next_step(now);
        if let FeedStep::Watch { wait, .. } = step {
            self.last_watch = Some(SentWatch {
                sent_at: now,
                wait_end: now + wait,
            });
        }
        step
    }

    /// Returns what to do at the store while this host holds no state.
    fn first_step(&mut self, now: Instant, has_seeds: bool) -> FeedStep {
        if let Some(until) = self.start_plan.list_deferred_until(now, has_seeds) {
            return FeedStep::Wait { until };
        }
        let progress_check_after = self.start_plan.progress_check_after(has_seeds);
        match self.feed.next_step(now) {
            FeedStep::List {
                after, deadline, ..
            } => FeedStep::List {
                after,
                progress_check_after,
                deadline,
            },
            step => step,
        }
    }

    /// Updates whether this host is the reader of its zone. A host that holds no state cannot
    /// become the reader.
    pub(crate) fn decide_role(&mut self, now: Instant, output: &mut PacketOutput) {
        self.role.record_start(now);
        if self.snapshot.through().is_unread() {
            return;
        }
        let change = self.role.decide(now, &self.peers, self.store_reachable);
        if let Some(change) = change {
            self.feed.restart_calls();
            self.store_reachable = false;
            self.announced_lost = false;
            output.events.push(DecisionEvent::Role {
                change,
                reader: self.zone_reader(now),
                peers: self.peers.local_addresses(now).len(),
                through: self.snapshot.through(),
            });
        }
    }

    /// Whether this host is the reader of its zone, which reads the store and forwards changes.
    pub fn reads(&self) -> bool {
        self.role.reads()
    }

    /// Returns another host of the zone whose heartbeats say that it is the reader.
    pub fn zone_reader(&self, now: Instant) -> Option<SocketAddrV4> {
        self.peers.reader(now, &self.zone)
    }

    /// Accepts a page of the store's list. Returns the update once the list is complete. Pages are
    /// not a snapshot, so that the state is confirmed by the watch that follows.
    ///
    /// Fails if the page is of another era than the pages before it, or of an earlier state than
    /// the position from which the store refused a watch.
    pub fn store_listed(&mut self, page: ListPage) -> Result<Option<StateUpdate>, StoreFault> {
        let update = self.feed.accept_page(page)?;
        self.store_reachable = true;
        Ok(update)
    }

    /// Accepts the events of a watch. After a failed call, the zone learns at once that the store
    /// responds again, so that it does not replace its reader.
    ///
    /// Fails if they are of another era than the watched position.
    pub fn store_changed(
        &mut self,
        now: Instant,
        batch: WatchBatch,
    ) -> Result<StateUpdate, StoreFault> {
        let changed = batch.changed;
        let update = self.feed.accept_watch_batch(now, batch)?;
        if self.announced_lost {
            self.announced_lost = false;
            self.peers.make_round_due();
        }
        if let Some(watch) = self.last_watch {
            self.store_confirmed(watch.sent_at);
            if !changed && watch.wait_end <= now {
                self.store_confirmed(watch.wait_end);
            }
        }
        Ok(update)
    }

    /// Records that a call to the store failed. The zone learns it at once, since its other hosts can
    /// read instead.
    pub fn store_failed(&mut self, now: Instant, fault: &StoreFault) {
        self.confirmation.interrupt();
        self.feed.call_failed(now, fault);
        if fault.needs_list() {
            return;
        }
        if self.role.reads() && self.store_reachable {
            self.announced_lost = true;
            self.peers.make_round_due();
        }
        self.store_reachable = false;
        if *fault == StoreFault::ListTooSlow {
            self.start_plan.list_abandoned(now);
        } else {
            self.role.store_lost(now);
        }
    }

    /// Records that the store has responded to a watch, and that the state was its state at `as_of`.
    pub fn store_confirmed(&mut self, as_of: Instant) {
        self.store_reachable = true;
        self.confirmation.confirm(as_of);
    }

    /// Returns the peer to request a newer state from now, if any.
    pub fn state_source(&mut self, now: Instant) -> Option<SocketAddrV4> {
        let source = self
            .peers
            .state_source(now, &self.snapshot.query(), self.sync_state());
        if source.is_some() {
            self.start_plan.state_requested(now);
        }
        source
    }

    /// Records that a peer returned no state. `busy` means that it serves too many other hosts.
    pub fn source_failed(&mut self, now: Instant, peer: SocketAddrV4, busy: bool) {
        self.start_plan.state_refused(now);
        self.peers.source_failed(now, peer, busy);
    }

    /// Returns the hosts to which this host forwards changes: those of its zone if it is the
    /// reader, otherwise none.
    pub fn followers(&self, now: Instant) -> Vec<SocketAddrV4> {
        if self.role.reads() {
            self.peers.local_addresses(now)
        } else {
            Vec::new()
        }
    }

    /// Takes over what the store has confirmed to the zone's reader, unless this host lacks changes
    /// that the reader has.
    pub(crate) fn follow_reader(&mut self, now: Instant) {
        if self.role.reads() {
            return;
        }
        let held = self.snapshot.through();
        let spans = self.peers.reader_confirmations(now, held);
        for span in spans {
            self.confirmation.follow(span);
        }
    }

    /// Applies a change. The registrations of the first state (`had_state` is false) add no events:
    /// hundreds of log lines would displace all others at the start.
    fn apply(
        &mut self,
        now: Instant,
        change: &StateChange,
        had_state: bool,
        output: &mut PacketOutput,
    ) {
        match change {
            StateChange::Routes(config) => {
                let flows_end_at = now + self.upstreams.max_flow_age();
                self.routes
                    .update(now, flows_end_at, config, &mut self.upstreams);
                self.apply_warmups(config);
                self.upstreams
                    .set_connection_limits(&config.connection_limits);
                self.version = config.version;
                output.events.push(DecisionEvent::Routes {
                    version: config.version,
                    routes: config.routes.len(),
                    through: self.snapshot.through(),
                });
                let faults = config.field_faults.iter().cloned();
                output.events.extend(faults.map(|fault| {
                    let version = config.version;
                    DecisionEvent::RouteFieldIgnored { version, fault }
                }));
            }
            StateChange::Upstream(entry) => {
                let index = self.upstreams.register(now, entry);
                if had_state {
                    self.record_upstream(now, index, UpstreamChange::Registered, output);
                }
            }
            StateChange::Removed(name) => {
                if let Some((index, before)) = self.upstreams.unregister(now, name) {
                    let registration = self.upstreams.get(index).registration;
                    let change = match registration {
                        RegistrationState::Lapsed { .. } => UpstreamChange::Missing,
                        _ => UpstreamChange::Gone,
                    };
                    self.record_registration(now, index, before, change, output);
                }
            }
            StateChange::Evacuated(zone, revision) => {
                self.upstreams.evacuate(now, zone, *revision);
                self.record_evacuation(zone, true, output);
            }
            StateChange::Restored(zone) => {
                self.upstreams.restore(now, zone);
                self.record_evacuation(zone, false, output);
            }
        }
    }

    /// Applies a change of a later era, in which the store was restored from a backup. An item that
    /// the store no longer lists may have been lost and be written again; a registration that it
    /// lists may be older than the upstream's last one.
    fn apply_restored(&mut self, now: Instant, change: &StateChange, output: &mut PacketOutput) {
        match change {
            StateChange::Upstream(entry) => {
                let (index, change) = match self.upstreams.register_restored(now, entry) {
                    RestoreOutcome::Registered(index) => (index, UpstreamChange::Registered),
                    RestoreOutcome::Held(index) => (index, UpstreamChange::Held),
                };
                self.record_upstream(now, index, change, output);
            }
            StateChange::Removed(name) => {
                if let Some(index) = self.upstreams.lapse_unlisted(now, name) {
                    self.record_upstream(now, index, UpstreamChange::Missing, output);
                }
            }
            StateChange::Restored(zone) => self.upstreams.start_evacuation_grace(now, zone),
            StateChange::Routes(_) | StateChange::Evacuated(..) => {
                self.apply(now, change, true, output);
            }
        }
    }

    fn sync_state(&self) -> SyncState {
        let has_state = !self.snapshot.through().is_unread();
        match (has_state, self.store_reachable, self.role.reads()) {
            (false, false, _) => SyncState::Empty,
            (false, true, _) => SyncState::Listing,
            (true, _, true) => SyncState::Reading,
            (true, _, false) => SyncState::Following,
        }
    }
}
