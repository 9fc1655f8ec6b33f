//! Reads the platform for one host: lists its keys, fetches what is missing, watches for changes.
//!
//! Load pattern: the platform answers two thousand calls a second for the whole fleet and may be
//! away for hours. A host that starts lists the keys once and takes the values from its peers;
//! only readers hold watches, and failed calls back off with jitter so that the fleet does not
//! come back in step.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::byte_budget::ByteBudget;
use crate::byte_budget::TrafficClass;
use crate::config_store::ConfigStore;
use crate::config_value::HOSTS_PREFIX;
use crate::config_value::KeyValue;
use crate::control_event::CallId;
use crate::control_event::ControlAction;
use crate::control_event::PlatformAnswer;
use crate::control_event::PlatformRequest;
use crate::control_event::PublishedKey;
use crate::ids::ConfigKey;
use crate::ids::Version;
use crate::result_code::ResultCode;

/// How long the platform may hold a watch.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// How long an answer may take beyond the wait that was asked for.
pub const CALL_PATIENCE: Duration = Duration::from_secs(3);
/// Pause after a first failed call; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest pause between calls while the platform fails.
///
/// At most sixteen hosts a zone try, which at 33 zones and a call a minute is nine calls a second.
const LONGEST_BACKOFF: Duration = Duration::from_secs(60);
/// How long a starting host leaves it to its peers to bring the values.
const PEER_PATIENCE: Duration = Duration::from_secs(2);
/// Shortest time between two calls that ask whether other prefixes changed too.
const CONFIRM_GAP: Duration = Duration::from_millis(200);
/// Pause before the next watch after one that brought changes.
///
/// With 60 changes a second and a watch for each, the headers of the calls cost more than the
/// changes, and the prefixes were never seen at one revision; in the pause changes gather.
const WATCH_GAP: Duration = Duration::from_millis(200);

/// A call in flight.
struct OpenCall {
    call: CallId,
    deadline: Instant,
    request: PlatformRequest,
    /// Revision that was held when the call was made; a younger answer is at least that new.
    held: Version,
}

/// How far the reading of a prefix is.
enum FeedStage {
    /// Its keys are not known.
    Unlisted,
    /// Values of these versions or newer are still to come, from peers or the platform.
    Fetching {
        revision: Version,
        missing: BTreeMap<ConfigKey, Version>,
        own_fetch_from: Instant,
    },
    /// Everything that was listed is held.
    Listed,
}

/// The reading of one prefix.
struct PrefixFeed {
    prefix: ConfigKey,
    stage: FeedStage,
    /// Every change under the prefix up to this revision is held.
    known: Version,
    /// The list, fetch or watch in flight.
    open: Option<OpenCall>,
    /// A watch without wait, beside the waiting one.
    confirm: Option<OpenCall>,
    confirm_from: Instant,
    watch_from: Instant,
}

/// Whether a host has reason to call the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedDemand {
    /// It is a reader of its zone, or has no peers: watch.
    pub reading: bool,
    /// Peers are delivering values at present: do not fetch them from the platform too.
    pub peers_deliver: bool,
}

/// The reading of every prefix of a host's scope.
pub struct PlatformFeed {
    feeds: Vec<PrefixFeed>,
    next_call: CallId,
    failures: u32,
    retry_from: Instant,
    answered: bool,
    stale: bool,
    budget: ByteBudget,
    random: StdRng,
}

impl PlatformFeed {
    /// Makes a feed that has read nothing.
    pub fn new(now: Instant, prefixes: &[ConfigKey], budget: ByteBudget, seed: u64) -> Self {
        let feed = |prefix: &ConfigKey| PrefixFeed {
            prefix: prefix.clone(),
            stage: FeedStage::Unlisted,
            known: 0,
            open: None,
            confirm: None,
            confirm_from: now,
            watch_from: now,
        };
        Self {
            feeds: prefixes.iter().map(feed).collect(),
            next_call: 1,
            failures: 0,
            retry_from: now,
            answered: false,
            stale: false,
            budget,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Whether the last call was answered with nothing older than what is held.
    pub fn in_touch(&self) -> bool {
        self.answered && self.failures == 0
    }

    /// Whether at least one call has failed since the last answer.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether the platform's last answer was older than what is held.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Bytes read from the platform.
    pub fn bytes_read(&self) -> u64 {
        self.budget.sent(TrafficClass::Change)
    }

    /// Calls made on the platform.
    pub fn calls(&self) -> u64 {
        self.next_call - 1
    }

    /// Takes the bytes of a call and its answer off the budget.
    pub fn spend(&mut self, bytes: usize) {
        self.budget.spend(TrafficClass::Change, bytes);
    }

    /// Keys that the platform listed and that are not held.
    pub fn missing(&self) -> BTreeMap<ConfigKey, Version> {
        let mut all = BTreeMap::new();
        for feed in &self.feeds {
            if let FeedStage::Fetching { missing, .. } = &feed.stage {
                all.extend(missing.clone());
            }
        }
        all
    }

    /// Whether everything that the platform listed is held.
    pub fn is_listed(&self) -> bool {
        let listed = |feed: &PrefixFeed| matches!(feed.stage, FeedStage::Listed);
        self.feeds.iter().all(listed)
    }

    /// Takes note of listed keys that peers have brought; to be called each tick.
    ///
    /// At each answer it would make the start of a host cost the square of its keys.
    pub fn sweep(&mut self, store: &mut ConfigStore) {
        for feed in &mut self.feeds {
            feed.drop_missing(store);
        }
        self.advance_through(store);
    }

    /// Makes the calls that are due.
    pub fn poll(
        &mut self,
        now: Instant,
        store: &ConfigStore,
        demand: FeedDemand,
        actions: &mut Vec<ControlAction>,
    ) {
        self.expire_calls(now, actions);
        if now < self.retry_from || !self.budget.allows(now, TrafficClass::Removal) {
            return;
        }
        for index in 0..self.feeds.len() {
            if self.feeds[index].open.is_none()
                && let Some(request) = self.feeds[index].next_request(now, store, demand)
            {
                let held = self.feeds[index].known.max(store.through());
                let open = self.call(now, request, held, actions);
                self.feeds[index].open = Some(open);
            }
            if self.failures > 0 {
                // One prefix tries until the platform answers; the others would only add calls.
                return;
            }
            self.confirm(now, index, store, demand, actions);
        }
    }

    /// Asks without wait whether a prefix changed too, when another one is ahead of it; the answer
    /// makes the state whole again without waiting for the watch to end.
    fn confirm(
        &mut self,
        now: Instant,
        index: usize,
        store: &ConfigStore,
        demand: FeedDemand,
        actions: &mut Vec<ControlAction>,
    ) {
        let feed = &self.feeds[index];
        let watching = demand.reading && matches!(feed.stage, FeedStage::Listed);
        let due = feed.confirm.is_none() && now >= feed.confirm_from;
        if !watching || !due || feed.known >= store.newest() {
            return;
        }
        let request = PlatformRequest::Watch {
            prefix: feed.prefix.clone(),
            after: feed.known,
            wait: Duration::ZERO,
        };
        let held = self.feeds[index].known;
        let open = self.call(now, request, held, actions);
        self.feeds[index].confirm = Some(open);
        self.feeds[index].confirm_from = now + CONFIRM_GAP;
    }

    fn call(
        &mut self,
        now: Instant,
        request: PlatformRequest,
        held: Version,
        actions: &mut Vec<ControlAction>,
    ) -> OpenCall {
        let call = self.next_call;
        self.next_call += 1;
        let wait = match &request {
            PlatformRequest::Watch { wait, .. } => *wait,
            PlatformRequest::List { .. } | PlatformRequest::Value { .. } => Duration::ZERO,
        };
        actions.push(ControlAction::CallPlatform {
            call,
            request: request.clone(),
        });
        OpenCall {
            call,
            deadline: now + wait + CALL_PATIENCE,
            request,
            held,
        }
    }

    /// Takes the answer to a call; answers to calls that were given up are ignored.
    pub fn take_answer(
        &mut self,
        now: Instant,
        store: &mut ConfigStore,
        call: CallId,
        answer: PlatformAnswer,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some((index, open)) = self.close_call(call) else {
            return;
        };
        if answer == PlatformAnswer::Unreachable {
            self.fail(now, ResultCode::PlatformUnreachable, actions);
            return;
        }
        if is_older(&answer, open.held) {
            self.stale = true;
            self.fail(now, ResultCode::PlatformStale, actions);
            return;
        }
        self.failures = 0;
        self.answered = true;
        self.stale = false;
        self.retry_from = now;
        self.feeds[index].take_answer(now, store, &open.request, answer);
        self.advance_through(store);
    }

    fn close_call(&mut self, call: CallId) -> Option<(usize, OpenCall)> {
        for (index, feed) in self.feeds.iter_mut().enumerate() {
            for slot in [&mut feed.open, &mut feed.confirm] {
                if let Some(open) = slot.take_if(|open| open.call == call) {
                    return Some((index, open));
                }
            }
        }
        None
    }

    fn expire_calls(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let mut expired = false;
        for feed in &mut self.feeds {
            for slot in [&mut feed.open, &mut feed.confirm] {
                expired |= slot.take_if(|open| open.deadline <= now).is_some();
            }
        }
        if expired {
            self.fail(now, ResultCode::PlatformUnreachable, actions);
        }
    }

    fn fail(&mut self, now: Instant, code: ResultCode, actions: &mut Vec<ControlAction>) {
        actions.push(ControlAction::Count(code));
        let factor = 1_u32 << self.failures.min(10);
        self.failures += 1;
        let pause = (FIRST_BACKOFF * factor).min(LONGEST_BACKOFF);
        self.retry_from = now + pause.mul_f64(self.random.random_range(0.5..1.0));
    }

    fn advance_through(&self, store: &mut ConfigStore) {
        let through = self.feeds.iter().map(|feed| feed.known).min();
        store.complete(through.unwrap_or(0));
    }
}

impl PrefixFeed {
    /// Values may have come from peers in the meantime.
    fn drop_missing(&mut self, store: &ConfigStore) {
        let FeedStage::Fetching {
            revision, missing, ..
        } = &mut self.stage
        else {
            return;
        };
        missing.retain(|key, version| store.version_of(key) < *version);
        if missing.is_empty() {
            self.known = self.known.max(*revision);
            self.stage = FeedStage::Listed;
        }
    }

    fn next_request(
        &mut self,
        now: Instant,
        store: &ConfigStore,
        demand: FeedDemand,
    ) -> Option<PlatformRequest> {
        match &self.stage {
            FeedStage::Unlisted => Some(PlatformRequest::List {
                prefix: self.prefix.clone(),
            }),
            FeedStage::Fetching {
                missing,
                own_fetch_from,
                ..
            } => {
                let own_fetch = demand.reading || now >= *own_fetch_from;
                // Without the list of hosts there are no peers to wait for.
                let key = missing.keys().find(|key| {
                    key.starts_with(HOSTS_PREFIX) || (own_fetch && !demand.peers_deliver)
                })?;
                Some(PlatformRequest::Value { key: key.clone() })
            }
            FeedStage::Listed if demand.reading && now >= self.watch_from => {
                self.known = self.known.max(store.through());
                Some(PlatformRequest::Watch {
                    prefix: self.prefix.clone(),
                    after: self.known,
                    wait: WATCH_WAIT,
                })
            }
            FeedStage::Listed => None,
        }
    }

    fn take_answer(
        &mut self,
        now: Instant,
        store: &mut ConfigStore,
        request: &PlatformRequest,
        answer: PlatformAnswer,
    ) {
        match answer {
            PlatformAnswer::Keys { revision, keys } => {
                self.take_keys(now, store, revision, keys);
            }
            PlatformAnswer::Value(published) => {
                if let Some(published) = published {
                    join_published(store, published);
                }
                self.forget_missing(request);
            }
            PlatformAnswer::Changes { revision, changes } => {
                if !changes.is_empty() {
                    self.watch_from = now + WATCH_GAP;
                }
                for published in changes {
                    join_published(store, published);
                }
                self.known = self.known.max(revision);
            }
            PlatformAnswer::HistoryGone => self.stage = FeedStage::Unlisted,
            PlatformAnswer::Unreachable => {}
        }
    }

    /// A key that is held but not listed was deleted at some revision up to this one.
    fn take_keys(
        &mut self,
        now: Instant,
        store: &mut ConfigStore,
        revision: Version,
        keys: Vec<(ConfigKey, Version)>,
    ) {
        let listed: BTreeMap<ConfigKey, Version> = keys.into_iter().collect();
        let deleted: Vec<ConfigKey> = store
            .keys_under(&self.prefix)
            .filter(|(key, stored)| {
                stored.value.is_some() && stored.version <= revision && !listed.contains_key(*key)
            })
            .map(|(key, _stored)| key.clone())
            .collect();
        for key in deleted {
            store.join(&key, revision, None);
        }
        self.stage = FeedStage::Fetching {
            revision,
            missing: listed,
            own_fetch_from: now + PEER_PATIENCE,
        };
        self.drop_missing(store);
    }

    /// The key was read, or deleted after it was listed; then the next list or watch says at which
    /// revision.
    fn forget_missing(&mut self, request: &PlatformRequest) {
        let PlatformRequest::Value { key } = request else {
            return;
        };
        let FeedStage::Fetching {
            revision, missing, ..
        } = &mut self.stage
        else {
            return;
        };
        missing.remove(key);
        if missing.is_empty() {
            self.known = self.known.max(*revision);
            self.stage = FeedStage::Listed;
        }
    }
}

/// An answer of an earlier era, or one that lags behind. Nothing it says is joined. A platform that comes back from an
/// older copy is in a later era, so that its versions are larger although its revisions are smaller.
fn is_older(answer: &PlatformAnswer, held: Version) -> bool {
    match answer {
        PlatformAnswer::Keys { revision, .. } | PlatformAnswer::Changes { revision, .. } => {
            *revision < held
        }
        PlatformAnswer::Value(_) | PlatformAnswer::HistoryGone | PlatformAnswer::Unreachable => {
            false
        }
    }
}

fn join_published(store: &mut ConfigStore, published: PublishedKey) {
    let value = published
        .value
        .map(|json| Arc::new(KeyValue::parse(&published.key, &json)));
    store.join(&published.key, published.version, value);
}
