//! Reads the platform for one host: lists its keys, fetches missing values and watches for changes.
//!
//! Load pattern: the platform serves 2,000 calls per second for the whole fleet and may be
//! unavailable for hours. A host that starts lists the keys once and takes the values from its
//! peers. Only readers hold watches. Failed calls back off with jitter, so that the fleet does not
//! retry in step.

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
use crate::control_event::PlatformRequest;
use crate::control_event::PlatformResponse;
use crate::control_event::PublishedKey;
use crate::ids::ConfigKey;
use crate::ids::Version;
use crate::result_code::ResultCode;

/// Time for which the platform may hold a watch without changes.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time for a response beyond the wait of the call; the call fails after both.
pub const CALL_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
/// Pause after the first failed call; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum pause between calls while the platform fails.
///
/// At most 16 hosts of a zone retry, which for 33 zones and one call per minute is nine calls per
/// second.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Time during which a starting host takes values only from its peers.
const PEER_DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum interval of the calls that check whether a prefix changed too.
const MIN_CONFIRM_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between a watch that returned changes and the next one, in which changes accumulate.
///
/// With 60 changes per second and one watch for each, the headers of the calls cost more than the
/// changes, and the prefixes never reached the same revision.
const PAUSE_AFTER_CHANGES: Duration = Duration::from_millis(200);

/// A call in progress.
struct OpenCall {
    call: CallId,
    deadline: Instant,
    request: PlatformRequest,
    /// Revision that was held when the call was made; a response with an older revision is
    /// rejected.
    held: Version,
}

/// The progress of reading a prefix.
enum FeedStage {
    /// The keys of the prefix have not been listed.
    Unlisted,
    /// Values of these versions or newer are missing, and come from peers or the platform.
    Fetching {
        revision: Version,
        missing: BTreeMap<ConfigKey, Version>,
        platform_fetch_from: Instant,
    },
    /// All listed keys are held.
    Listed,
}

/// The state of reading one prefix.
struct PrefixFeed {
    prefix: ConfigKey,
    stage: FeedStage,
    /// Every change under the prefix up to this revision is held.
    known_revision: Version,
    /// The list, value or watch call in progress.
    open: Option<OpenCall>,
    /// A watch without wait, in addition to the waiting one.
    confirm: Option<OpenCall>,
    next_confirm: Instant,
    next_watch: Instant,
}

/// What determines which calls a host makes on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedDemand {
    /// Whether the host watches: it is a reader of its zone, or has no peers.
    pub reading: bool,
    /// Whether peers are sending values at present, so that they are not fetched from the platform
    /// too.
    pub peers_delivering: bool,
}

/// Reads all prefixes of the keys that a host needs.
pub struct PlatformFeed {
    feeds: Vec<PrefixFeed>,
    next_call: CallId,
    failures: u32,
    next_retry: Instant,
    has_responded: bool,
    stale: bool,
    budget: ByteBudget,
    random: StdRng,
}

impl PlatformFeed {
    /// Creates a feed that has read nothing.
    pub fn new(now: Instant, prefixes: &[ConfigKey], budget: ByteBudget, seed: u64) -> Self {
        let feed = |prefix: &ConfigKey| PrefixFeed {
            prefix: prefix.clone(),
            stage: FeedStage::Unlisted,
            known_revision: 0,
            open: None,
            confirm: None,
            next_confirm: now,
            next_watch: now,
        };
        Self {
            feeds: prefixes.iter().map(feed).collect(),
            next_call: 1,
            failures: 0,
            next_retry: now,
            has_responded: false,
            stale: false,
            budget,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Whether the last call got a response, and that was not older than what is held.
    pub fn in_touch(&self) -> bool {
        self.has_responded && self.failures == 0
    }

    /// Whether at least one call has failed since the last accepted response.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether the platform's last response was older than what is held.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Bytes of calls on the platform and their responses.
    pub fn bytes_read(&self) -> u64 {
        self.budget.sent(TrafficClass::Change)
    }

    /// Number of calls made on the platform.
    pub fn calls(&self) -> u64 {
        self.next_call - 1
    }

    /// Charges the bytes of a call and its response to the read budget.
    pub fn spend(&mut self, bytes: usize) {
        self.budget.spend(TrafficClass::Change, bytes);
    }

    /// The keys that the platform listed and that are not held, with their listed versions.
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

    /// Removes the keys that peers have sent from the missing ones; to be called on each tick.
    ///
    /// If each update did this, the cost of a host's start would grow with the square of its keys.
    pub fn sweep(&mut self, store: &mut ConfigStore) {
        for feed in &mut self.feeds {
            feed.remove_received(store);
        }
        self.advance_through(store);
    }

    /// Starts the calls that are due, within the read budget.
    pub fn poll(
        &mut self,
        now: Instant,
        store: &ConfigStore,
        demand: FeedDemand,
        actions: &mut Vec<ControlAction>,
    ) {
        self.expire_calls(now, actions);
        if now < self.next_retry || !self.budget.allows(now, TrafficClass::Removal) {
            return;
        }
        for index in 0..self.feeds.len() {
            if self.feeds[index].open.is_none()
                && let Some(request) = self.feeds[index].next_request(now, store, demand)
            {
                let held = self.feeds[index].known_revision.max(store.through());
                let open = self.call(now, request, held, actions);
                self.feeds[index].open = Some(open);
            }
            if self.failures > 0 {
                // One prefix is enough to probe the platform; calls for the others would only add
                // load.
                return;
            }
            self.confirm(now, index, store, demand, actions);
        }
    }

    /// Checks without wait whether a prefix changed too while another one is ahead of it. The
    /// response makes the state whole again before the waiting watch ends.
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
        let due = feed.confirm.is_none() && now >= feed.next_confirm;
        if !watching || !due || feed.known_revision >= store.newest() {
            return;
        }
        let request = PlatformRequest::Watch {
            prefix: feed.prefix.clone(),
            after: feed.known_revision,
            wait: Duration::ZERO,
        };
        let held = self.feeds[index].known_revision;
        let open = self.call(now, request, held, actions);
        self.feeds[index].confirm = Some(open);
        self.feeds[index].next_confirm = now + MIN_CONFIRM_INTERVAL;
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
            deadline: now + wait + CALL_TIMEOUT_MARGIN,
            request,
            held,
        }
    }

    /// Handles the response to a call; responses to calls that have expired are ignored.
    pub fn handle_response(
        &mut self,
        now: Instant,
        store: &mut ConfigStore,
        call: CallId,
        response: PlatformResponse,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some((index, open)) = self.take_open_call(call) else {
            return;
        };
        if response == PlatformResponse::Unreachable {
            self.fail(now, ResultCode::PlatformUnreachable, actions);
            return;
        }
        if is_older(&response, open.held) {
            self.stale = true;
            self.fail(now, ResultCode::PlatformStale, actions);
            return;
        }
        if self.feeds[index].lacks_listed_value(&open.request, &response) {
            // The key was deleted after it was listed, or a replica lags; the next list shows which.
            self.feeds[index].stage = FeedStage::Unlisted;
            self.fail(now, ResultCode::PlatformStale, actions);
            return;
        }
        self.failures = 0;
        self.has_responded = true;
        self.stale = false;
        self.next_retry = now;
        self.feeds[index].handle_response(now, store, &open.request, response);
        self.advance_through(store);
    }

    fn take_open_call(&mut self, call: CallId) -> Option<(usize, OpenCall)> {
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
        let pause = (MIN_BACKOFF * factor).min(MAX_BACKOFF);
        self.next_retry = now + pause.mul_f64(self.random.random_range(0.5..1.0));
    }

    fn advance_through(&self, store: &mut ConfigStore) {
        let through = self.feeds.iter().map(|feed| feed.known_revision).min();
        store.complete(through.unwrap_or(0));
    }
}

impl PrefixFeed {
    /// Removes the keys from the missing ones that peers have sent in the meantime.
    fn remove_received(&mut self, store: &ConfigStore) {
        let FeedStage::Fetching {
            revision, missing, ..
        } = &mut self.stage
        else {
            return;
        };
        missing.retain(|key, version| store.version_of(key) < *version);
        if missing.is_empty() {
            self.known_revision = self.known_revision.max(*revision);
            self.stage = FeedStage::Listed;
        }
    }

    /// Whether the response to a value call has no value of the listed version or a newer one.
    fn lacks_listed_value(&self, request: &PlatformRequest, response: &PlatformResponse) -> bool {
        let (PlatformRequest::Value { key }, PlatformResponse::Value(published)) =
            (request, response)
        else {
            return false;
        };
        let FeedStage::Fetching { missing, .. } = &self.stage else {
            return false;
        };
        let version = published.as_ref().map_or(0, |published| published.version);
        missing.get(key).is_some_and(|listed| version < *listed)
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
                platform_fetch_from,
                ..
            } => {
                let may_fetch = demand.reading || now >= *platform_fetch_from;
                // Without the host list there are no peers to wait for.
                let key = missing.keys().find(|key| {
                    key.starts_with(HOSTS_PREFIX) || (may_fetch && !demand.peers_delivering)
                })?;
                Some(PlatformRequest::Value { key: key.clone() })
            }
            FeedStage::Listed if demand.reading && now >= self.next_watch => {
                self.known_revision = self.known_revision.max(store.through());
                Some(PlatformRequest::Watch {
                    prefix: self.prefix.clone(),
                    after: self.known_revision,
                    wait: WATCH_WAIT,
                })
            }
            FeedStage::Listed => None,
        }
    }

    fn handle_response(
        &mut self,
        now: Instant,
        store: &mut ConfigStore,
        request: &PlatformRequest,
        response: PlatformResponse,
    ) {
        match response {
            PlatformResponse::Keys { revision, keys } => {
                self.handle_key_list(now, store, revision, keys);
            }
            PlatformResponse::Value(published) => {
                if let Some(published) = published {
                    join_published(store, published);
                }
                self.mark_fetched(request);
            }
            PlatformResponse::Changes { revision, changes } => {
                if !changes.is_empty() {
                    self.next_watch = now + PAUSE_AFTER_CHANGES;
                }
                for published in changes {
                    join_published(store, published);
                }
                self.known_revision = self.known_revision.max(revision);
            }
            PlatformResponse::HistoryDropped => self.stage = FeedStage::Unlisted,
            PlatformResponse::Unreachable => {}
        }
    }

    /// Compares the listed keys with the held ones. A key that is held but not listed was deleted
    /// at some revision up to the list's.
    fn handle_key_list(
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
            platform_fetch_from: now + PEER_DELIVERY_TIMEOUT,
        };
        self.remove_received(store);
    }

    /// Removes a fetched key from the missing ones.
    fn mark_fetched(&mut self, request: &PlatformRequest) {
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
            self.known_revision = self.known_revision.max(*revision);
            self.stage = FeedStage::Listed;
        }
    }
}

/// Whether a response is of an earlier era or a lagging replica; nothing in it is joined. A
/// platform that is restored from a backup is in a later era, so that its versions are larger
/// although its revisions are smaller.
fn is_older(response: &PlatformResponse, held: Version) -> bool {
    match response {
        PlatformResponse::Keys { revision, .. } | PlatformResponse::Changes { revision, .. } => {
            *revision < held
        }
        PlatformResponse::Value(_)
        | PlatformResponse::HistoryDropped
        | PlatformResponse::Unreachable => false,
    }
}

fn join_published(store: &mut ConfigStore, published: PublishedKey) {
    let value = published
        .value
        .map(|json| Arc::new(KeyValue::parse(&published.key, &json)));
    store.join(&published.key, published.version, value);
}
