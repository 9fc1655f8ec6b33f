//! A keeper's decisions for one service: which ask gets which slot, which waits, which is denied.
//!
//! Load pattern: bursts and overload. Without a bounded, deadline-aware queue, callers wait for
//! answers that come too late, and the work is done for nobody. An ask that cannot be served in
//! time is denied when it arrives. The grounds of each figure stand in the modules composed here.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::caller_usage::CallerUsage;
use crate::fair_queue::AskHolder;
use crate::fair_queue::FairQueue;
use crate::fair_queue::PoolAsk;
use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::load_message::CallerTag;
use crate::load_message::GrantEnd;
use crate::load_settings::LoadSettings;
use crate::result_code::ResultCode;
use crate::service_estimate::ServiceEstimate;
use crate::slot_table::PoolMember;
use crate::slot_table::SlotTable;
use crate::slot_table::TakenSlot;
use crate::spill_desk::SlotLender;
use crate::spill_desk::SpillDesk;

/// How often grants that ran out and callers long gone are looked for.
const SWEEP_PAUSE: Duration = Duration::from_millis(100);
/// What a pool tells a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolReply {
    /// A slot is granted.
    Grant {
        /// For this ask.
        holder: AskHolder,
        /// The slot's upstream.
        upstream: UpstreamId,
    },
    /// The ask waits.
    Queued {
        /// The ask.
        holder: AskHolder,
    },
    /// The ask is denied.
    Deny {
        /// The ask.
        holder: AskHolder,
        /// Why.
        code: ResultCode,
        /// How long the queue is.
        wait: Duration,
    },
    /// Another keeper is asked for a slot, on behalf of the ask that waits longest.
    Spill {
        /// The other keeper and the number of the ask.
        lender: SlotLender,
        /// The caller it is for.
        caller: CallerTag,
        /// When the job arrived.
        since: Instant,
        /// When its caller stops waiting.
        deadline: Instant,
    },
    /// A lent slot goes back, or a spilled ask is taken back.
    Return {
        /// The other keeper and the number of the ask.
        lender: SlotLender,
        /// What became of the slot.
        end: GrantEnd,
    },
    /// A lent slot is still in use.
    Renew {
        /// The other keeper and the number of the ask.
        lender: SlotLender,
        /// The slot's upstream.
        upstream: UpstreamId,
    },
}

/// Whose slot a grant gives.
#[derive(Clone, Copy, Debug)]
pub(crate) enum GrantSource {
    Own(TakenSlot),
    Lent(SlotLender),
}

#[derive(Clone, Debug)]
struct SlotGrant {
    upstream: UpstreamId,
    source: GrantSource,
    /// Whom it serves, unless a former keeper granted it.
    caller: Option<CallerTag>,
    since: Instant,
    /// When the slot is taken back unless the holder says that it still uses it.
    run_out: Instant,
}

/// The pool of one service at one keeper.
pub struct SlotPool {
    pub(crate) settings: Arc<LoadSettings>,
    pub(crate) table: SlotTable,
    pub(crate) queue: FairQueue,
    /// Asks of other keepers.
    spilled: FairQueue,
    /// Asks for one upstream each; no entry is empty.
    pub(crate) pinned: BTreeMap<UpstreamId, FairQueue>,
    grants: BTreeMap<AskHolder, SlotGrant>,
    /// Slots of lost jobs, which may still run, with the time from which they count as free.
    lost: VecDeque<(Instant, TakenSlot)>,
    pub(crate) estimate: ServiceEstimate,
    pub(crate) usage: CallerUsage,
    pub(crate) spills: SpillDesk,
    next_sweep: Option<Instant>,
}

impl SlotPool {
    /// A pool without upstreams.
    pub fn new(settings: Arc<LoadSettings>) -> Self {
        Self {
            table: SlotTable::new(Arc::clone(&settings)),
            queue: FairQueue::default(),
            spilled: FairQueue::default(),
            pinned: BTreeMap::new(),
            grants: BTreeMap::new(),
            lost: VecDeque::new(),
            estimate: ServiceEstimate::new(settings.first_service_time),
            usage: CallerUsage::default(),
            spills: SpillDesk::default(),
            next_sweep: None,
            settings,
        }
    }

    /// Replaces the upstreams and the keepers that may be asked for slots.
    pub fn configure<'a>(
        &mut self,
        now: Instant,
        members: impl Iterator<Item = PoolMember<'a>>,
        peers: Vec<HostId>,
    ) {
        self.table.configure(now, members);
        self.spills.configure(peers);
    }

    /// Whether the pool keeps no slots.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// How many asks wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
            + self.spilled.len()
            + self.pinned.values().map(FairQueue::len).sum::<usize>()
    }

    /// How many grants are in use.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Learns what an upstream's health endpoint said.
    pub fn report(&mut self, now: Instant, upstream: UpstreamId, healthy: bool) {
        self.table.report(now, upstream, healthy);
    }

    /// Takes an ask; one that is known is answered again, for the first answer may be lost.
    pub fn ask(&mut self, now: Instant, ask: PoolAsk, replies: &mut Vec<PoolReply>) {
        let holder = ask.holder;
        if let Some(grant) = self.grants.get(&holder) {
            let upstream = grant.upstream;
            replies.push(PoolReply::Grant { holder, upstream });
            return;
        }
        if self.is_queued(&ask) {
            replies.push(PoolReply::Queued { holder });
            return;
        }
        if let Some(upstream) = self.free_slot(&ask) {
            return self.grant_own(now, &ask, upstream, replies);
        }
        if let Some((code, wait)) = self.refusal(now, &ask) {
            replies.push(PoolReply::Deny { holder, code, wait });
            return;
        }
        match ask.upstream {
            Some(upstream) => self.pinned.entry(upstream).or_default().push(ask),
            None if ask.spill => self.spilled.push(ask),
            None => self.queue.push(ask),
        }
        replies.push(PoolReply::Queued { holder });
        self.adjust_spills(now, replies);
    }

    /// Takes back an ask or its grant.
    pub fn release(
        &mut self,
        now: Instant,
        holder: AskHolder,
        end: GrantEnd,
        replies: &mut Vec<PoolReply>,
    ) {
        if let Some(grant) = self.grants.remove(&holder) {
            self.end_grant(now, &grant, end, replies);
            self.serve(now, replies);
            return;
        }
        self.queue.remove(holder);
        self.spilled.remove(holder);
        self.pinned.retain(|_upstream, queue| {
            queue.remove(holder);
            !queue.is_empty()
        });
        self.adjust_spills(now, replies);
    }

    /// Learns that a slot is in use, whether this pool granted it or a keeper before it.
    pub fn hold(
        &mut self,
        now: Instant,
        holder: AskHolder,
        upstream: UpstreamId,
        replies: &mut Vec<PoolReply>,
    ) {
        let run_out = now + self.settings.grant_length;
        if let Some(grant) = self.grants.get_mut(&holder) {
            grant.run_out = run_out;
            if let GrantSource::Lent(lender) = grant.source {
                replies.push(PoolReply::Renew { lender, upstream });
            }
            return;
        }
        let expected = self.estimate.service_time();
        let Some(slot) = self.table.take(now, upstream, expected) else {
            return;
        };
        let grant = SlotGrant {
            upstream,
            source: GrantSource::Own(slot),
            caller: None,
            since: now,
            run_out,
        };
        self.grants.insert(holder, grant);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        self.table.tick(now);
        self.free_lost(now);
        self.drop_hopeless(now, replies);
        if self.next_sweep.is_none_or(|at| at <= now) {
            self.next_sweep = Some(now + SWEEP_PAUSE);
            self.sweep(now, replies);
        }
        for lender in self.spills.tick(now) {
            let end = GrantEnd::Unused;
            replies.push(PoolReply::Return { lender, end });
        }
        self.serve(now, replies);
    }

    fn is_queued(&self, ask: &PoolAsk) -> bool {
        match ask.upstream {
            Some(upstream) => {
                let queue = self.pinned.get(&upstream);
                queue.is_some_and(|queue| queue.contains(ask.holder))
            }
            None => self.queue.contains(ask.holder) || self.spilled.contains(ask.holder),
        }
    }

    /// A slot that the ask may have before all that wait.
    fn free_slot(&self, ask: &PoolAsk) -> Option<UpstreamId> {
        match ask.upstream {
            Some(upstream) => {
                let is_first = !self.pinned.contains_key(&upstream);
                (is_first && self.table.has_room(upstream)).then_some(upstream)
            }
            None if !self.queue.is_empty() => None,
            None => self.table.best(),
        }
    }

    /// Gives free slots to those that wait.
    fn serve(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        self.serve_pinned(now, replies);
        while let Some(upstream) = self.table.best() {
            let Some(ask) = self.next_ask(now) else {
                break;
            };
            self.grant_own(now, &ask, upstream, replies);
        }
        self.adjust_spills(now, replies);
    }

    /// The ask to be served next: the own zone's oldest, and other keepers' when none waits.
    fn next_ask(&mut self, now: Instant) -> Option<PoolAsk> {
        self.pop_own(now).or_else(|| self.spilled.pop())
    }

    /// The own zone's oldest ask; its wait tells whether the queue stands.
    pub(crate) fn pop_own(&mut self, now: Instant) -> Option<PoolAsk> {
        let target = self.target(self.table.open_slots());
        let interval = self.settings.queue_interval;
        let ask = self.queue.pop();
        let wait = waited(now, ask.as_ref());
        let standing = self.queue.standing_mut();
        standing.waited(now, wait, target, interval);
        ask
    }

    /// Gives upstreams' free slots to asks for just those that have waited longer than any other.
    fn serve_pinned(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        let upstreams: Vec<UpstreamId> = self.pinned.keys().copied().collect();
        for upstream in upstreams {
            while self.table.has_room(upstream) {
                let Some(ask) = self.pop_pinned(now, upstream) else {
                    break;
                };
                self.grant_own(now, &ask, upstream, replies);
            }
        }
    }

    fn pop_pinned(&mut self, now: Instant, upstream: UpstreamId) -> Option<PoolAsk> {
        let target = self.target(self.table.open_of(upstream));
        let queue = self.pinned.get_mut(&upstream)?;
        let since = queue.first()?.since;
        let others = self.queue.first();
        if others.is_some_and(|other| other.since < since) && self.table.open_of(upstream) > 0 {
            // An older ask for any slot takes this one, unless another slot is free for it.
            let is_only = self.table.best() == Some(upstream);
            if is_only {
                return None;
            }
        }
        let ask = queue.pop();
        let wait = waited(now, ask.as_ref());
        let interval = self.settings.queue_interval;
        queue.standing_mut().waited(now, wait, target, interval);
        if queue.is_empty() {
            self.pinned.remove(&upstream);
        }
        ask
    }

    fn grant_own(
        &mut self,
        now: Instant,
        ask: &PoolAsk,
        upstream: UpstreamId,
        replies: &mut Vec<PoolReply>,
    ) {
        let expected = self.estimate.service_time();
        let Some(slot) = self.table.take(now, upstream, expected) else {
            return;
        };
        self.grant(now, ask, upstream, GrantSource::Own(slot), replies);
    }

    pub(crate) fn grant(
        &mut self,
        now: Instant,
        ask: &PoolAsk,
        upstream: UpstreamId,
        source: GrantSource,
        replies: &mut Vec<PoolReply>,
    ) {
        let grant = SlotGrant {
            upstream,
            source,
            caller: Some(ask.caller),
            since: now,
            run_out: now + self.settings.grant_length,
        };
        let holder = ask.holder;
        self.grants.insert(holder, grant);
        replies.push(PoolReply::Grant { holder, upstream });
    }

    /// Ends a grant. A lost job may still run, so its slot is given back only after a while.
    fn end_grant(
        &mut self,
        now: Instant,
        grant: &SlotGrant,
        end: GrantEnd,
        replies: &mut Vec<PoolReply>,
    ) {
        let held = now.saturating_duration_since(grant.since);
        if let Some(caller) = grant.caller {
            self.usage.learn(now, caller, held);
        }
        match grant.source {
            GrantSource::Own(slot) if end == GrantEnd::Lost => {
                let free_at = now + self.estimate.service_time();
                self.lost.push_back((free_at, slot));
            }
            GrantSource::Own(slot) => {
                let average = self.estimate.service_time();
                self.table.give_back(now, slot, end, average);
                if end == GrantEnd::Answered {
                    self.estimate.learn(held);
                }
            }
            GrantSource::Lent(lender) => replies.push(PoolReply::Return { lender, end }),
        }
    }

    /// Denies asks whose job could not finish in time even if it were sent now.
    fn drop_hopeless(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        let latest = now + self.estimate.service_time();
        let mut holders = self.queue.hopeless(latest);
        holders.extend(self.spilled.hopeless(latest));
        for queue in self.pinned.values() {
            holders.extend(queue.hopeless(latest));
        }
        for holder in holders {
            self.release(now, holder, GrantEnd::Unused, replies);
            replies.push(PoolReply::Deny {
                holder,
                code: ResultCode::DeadlineTooShort,
                wait: self
                    .estimate
                    .wait(self.queue.len(), self.table.open_slots()),
            });
        }
    }

    /// Frees the slots of lost jobs. An upstream runs on after the caller has given up, and a slot
    /// given away before it is free is shed, and each shed lowers a limit.
    fn free_lost(&mut self, now: Instant) {
        while let Some((free_at, slot)) = self.lost.front().copied() {
            if now < free_at {
                break;
            }
            self.lost.pop_front();
            let average = self.estimate.service_time();
            self.table.give_back(now, slot, GrantEnd::Lost, average);
        }
    }

    /// Takes back slots whose holder has fallen silent: it died, or its release was lost.
    fn sweep(&mut self, now: Instant, replies: &mut Vec<PoolReply>) {
        let silent = self
            .grants
            .iter()
            .filter(|(_holder, grant)| grant.run_out <= now);
        let holders: Vec<AskHolder> = silent.map(|(holder, _grant)| *holder).collect();
        for holder in holders {
            if let Some(grant) = self.grants.remove(&holder) {
                self.end_grant(now, &grant, GrantEnd::Cancelled, replies);
            }
        }
        self.usage.sweep(now);
    }
}

fn waited(now: Instant, ask: Option<&PoolAsk>) -> Duration {
    ask.map_or(Duration::ZERO, |ask| {
        now.saturating_duration_since(ask.since)
    })
}
