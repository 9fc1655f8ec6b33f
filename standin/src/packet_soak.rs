//! A randomised soak of `lagoon-packet`: real processes, faults from outside, and the promises
//! checked from what callers and upstreams see.
//!
//! A seed decides which faults strike when; they come in series and overlap. Checked all the while:
//! every answer is whole, of the service that was asked, and a flow's answers all come from one
//! upstream; no flow is reset while its upstream lives undisturbed; no upstream gets a foreign or
//! changed packet; no process ends by itself; when the faults are over everybody is served, and neither a
//! drained upstream nor an evacuated zone gets new flows once that had time to spread.

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::packet_caller::CallFault;
use crate::packet_caller::CallerFlow;
use crate::packet_caller::PacketCaller;
use crate::packet_cell::PacketCell;
use crate::packet_cell::REQUEST_LIMIT;
use crate::packet_cell::certs;
use crate::packet_cell::ledger;
use crate::packet_cell::registration_key;
use crate::packet_store::StoreCopy;
use crate::packet_store::StoreMood;
use crate::packet_upstream::PacketUpstream;
use crate::packet_upstream::answer_to;

const HOSTS: u8 = 4;
const LEDGER_UPSTREAMS: u8 = 6;
const CERT_UPSTREAMS: u8 = 2;
/// Places of the ledger's upstreams that are in the zone without hosts.
const REMOTE_UPSTREAMS: Range<usize> = 4..6;
const CALLERS: usize = 8;
/// Separate the random numbers of evacuations, and of returns of the store, from those of other faults.
const EVACUATION_STREAM: u64 = 0x6576_6163;
const RESTORE_STREAM: u64 = 0x7265_7374;

/// How long after a return of the store its writers write again.
const WRITE_AGAIN_PAUSE: Duration = Duration::from_millis(300);

/// How long after a disturbance of an upstream a reset of its flows is allowed.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// How long a drain may take to be known everywhere while nobody is disturbed.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Quiet time at the end before everybody has to be served again.
const RECOVERY: Duration = Duration::from_secs(6);

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct SoakSettings {
    /// Decides the faults.
    pub seed: u64,
    /// How long faults strike.
    pub faults: Duration,
}

/// What a run saw.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Requests that were answered.
    pub answered: u64,
    /// Requests and flows that failed, which faults allow.
    pub failed: u64,
    /// The faults, with the second at which each began.
    pub faults: Vec<String>,
    /// Promises that were broken; empty if the run passed.
    pub broken: Vec<String>,
}

/// What callers and the plan of faults share.
struct SoakState {
    started: Instant,
    report: Mutex<SoakReport>,
    /// When each upstream was last disturbed, by its number.
    disturbed: Mutex<BTreeMap<u64, Instant>>,
    over: AtomicBool,
}

impl SoakState {
    fn report(&self) -> MutexGuard<'_, SoakReport> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn broken(&self, what: &str) {
        let second = self.started.elapsed().as_secs_f64();
        self.report().broken.push(format!("{second:.1} s: {what}"));
    }

    fn note_fault(&self, fault: SoakFault, held: Duration) {
        let second = self.started.elapsed().as_secs_f64();
        let line = format!("{second:.1} s: {fault:?} for {held:?}");
        self.report().faults.push(line);
    }

    fn note_restore(&self, lost: usize) {
        let second = self.started.elapsed().as_secs_f64();
        let line = format!("{second:.1} s: the store comes back from a copy, {lost} writes lost");
        self.report().faults.push(line);
    }

    fn disturb(&self, upstream: u64) {
        let mut disturbed = self
            .disturbed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        disturbed.insert(upstream, Instant::now());
    }

    fn is_stable(&self, upstream: u64) -> bool {
        let disturbed = self
            .disturbed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        disturbed
            .get(&upstream)
            .is_none_or(|at| at.elapsed() > STABLE_WINDOW)
    }
}

/// Runs the soak with one seed.
pub async fn run_soak(program: &Path, settings: SoakSettings) -> SoakReport {
    let mut cell = PacketCell::ready(program, HOSTS, LEDGER_UPSTREAMS).await;
    for index in REMOTE_UPSTREAMS {
        cell.move_upstream(index);
    }
    for place in 1..=CERT_UPSTREAMS {
        let number = LEDGER_UPSTREAMS + place;
        let upstream = cell.start_upstream(number, number).await;
        cell.register(&upstream, "certs", "ready");
        cell.upstreams.push(upstream);
    }
    let state = Arc::new(SoakState {
        started: Instant::now(),
        report: Mutex::default(),
        disturbed: Mutex::default(),
        over: AtomicBool::new(false),
    });
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let rng = StdRng::seed_from_u64(settings.seed * 1000 + index as u64);
        let caller = cell.caller().await;
        callers.push(tokio::spawn(call(state.clone(), caller, rng)));
    }
    strike(&mut cell, &state, settings).await;
    sleep(RECOVERY).await;
    state.over.store(true, Ordering::Relaxed);
    for caller in callers {
        if let Err(error) = caller.await {
            state.broken(&format!("a caller ended: {error}"));
        }
    }
    check_upstreams(&cell, &state);
    check_recovery(&mut cell, &state).await;
    state.report().clone()
}

/// Opens flows and sends requests until the run is over.
async fn call(state: Arc<SoakState>, mut caller: PacketCaller, mut rng: StdRng) {
    while !state.over.load(Ordering::Relaxed) {
        let service = if rng.random_bool(0.8) {
            ledger()
        } else {
            certs()
        };
        match caller.open(service).await {
            Ok(mut flow) => use_flow(&state, &mut caller, &mut flow, &mut rng).await,
            Err(_fault) => state.report().failed += 1,
        }
    }
}

/// Sends some requests on a flow, with pauses; idle flows are used again late.
async fn use_flow(
    state: &SoakState,
    caller: &mut PacketCaller,
    flow: &mut CallerFlow,
    rng: &mut StdRng,
) {
    let mut owner = None;
    for turn in 0..rng.random_range(1..12) {
        let data = format!("{} {turn} {}", flow.service(), rng.random::<u32>());
        let limit = REQUEST_LIMIT.min(Duration::from_secs(3));
        match caller.request(flow, data.as_bytes(), limit).await {
            Ok(answer) => {
                state.report().answered += 1;
                let from = answered_by(flow, data.as_bytes(), &answer);
                if from.is_none() || owner.is_some_and(|owner| Some(owner) != from) {
                    let text = String::from_utf8_lossy(&answer).into_owned();
                    state.broken(&format!("asked `{data}` of {owner:?}, got `{text}`"));
                }
                owner = from;
            }
            Err(fault) => {
                state.report().failed += 1;
                let stable = owner.is_some_and(|owner| state.is_stable(owner));
                if fault == CallFault::Reset && stable {
                    state.broken(&format!("a flow of {owner:?} was reset while it lives"));
                }
                return;
            }
        }
        let pause = if rng.random_bool(0.1) {
            900
        } else {
            rng.random_range(5..60)
        };
        sleep(Duration::from_millis(pause)).await;
    }
    caller.close(flow).await;
}

/// The upstream that gave an answer, if it is one of the service and the answer is whole.
fn answered_by(flow: &CallerFlow, data: &[u8], answer: &[u8]) -> Option<u64> {
    let is_ledger = flow.service() == ledger();
    (1..=u64::from(LEDGER_UPSTREAMS + CERT_UPSTREAMS))
        .filter(|number| (*number <= u64::from(LEDGER_UPSTREAMS)) == is_ledger)
        .find(|number| answer == answer_to(data, *number))
}

/// Lets faults strike, in series and overlapping, and takes them back.
async fn strike(cell: &mut PacketCell, state: &SoakState, settings: SoakSettings) {
    let mut rng = StdRng::seed_from_u64(settings.seed);
    // Apart from the other faults, so that those of a seed stay the same.
    let mut evacuation_rng = StdRng::seed_from_u64(settings.seed ^ EVACUATION_STREAM);
    let mut restore_rng = StdRng::seed_from_u64(settings.seed ^ RESTORE_STREAM);
    let mut copy: Option<(Instant, StoreCopy)> = None;
    let end = Instant::now() + settings.faults;
    let mut undo: Vec<(Instant, SoakFault)> = Vec::new();
    while Instant::now() < end || !undo.is_empty() {
        let now = Instant::now();
        let due: Vec<SoakFault> = undo
            .extract_if(.., |(at, _fault)| *at <= now)
            .map(|(_at, fault)| fault)
            .collect();
        for fault in due {
            fault.take_back(cell, state).await;
        }
        watch_hosts(cell, state, &undo);
        let is_evacuated = undo
            .iter()
            .any(|(_at, fault)| *fault == SoakFault::Evacuate);
        if now < end && !is_evacuated && evacuation_rng.random_bool(0.15) {
            let held = Duration::from_millis(evacuation_rng.random_range(500..3500));
            SoakFault::Evacuate.begin(cell, state).await;
            state.note_fault(SoakFault::Evacuate, held);
            undo.push((now + held, SoakFault::Evacuate));
        }
        if let Some((_at, copy)) = copy.take_if(|(at, _copy)| *at <= now) {
            restore_store(cell, state, &copy).await;
        }
        if now < end && copy.is_none() && restore_rng.random_bool(0.2) {
            let age = Duration::from_millis(restore_rng.random_range(200..4000));
            copy = Some((now + age, cell.store.copy()));
        }
        if now < end {
            let fault = SoakFault::draw(&mut rng);
            let held = Duration::from_millis(rng.random_range(500..3500));
            let clash = undo.iter().any(|(_at, other)| other.same_target(fault));
            if !clash && fault.begin(cell, state).await {
                state.note_fault(fault, held);
                undo.push((now + held, fault));
            }
        }
        sleep(Duration::from_millis(rng.random_range(100..700))).await;
    }
}

/// Lets the store come back from a copy, and its writers write again what it lost.
async fn restore_store(cell: &PacketCell, state: &SoakState, copy: &StoreCopy) {
    let lost = cell.store.restore(copy);
    state.note_restore(lost.len());
    sleep(WRITE_AGAIN_PAUSE).await;
    cell.store.write_again(lost);
}

/// One fault, and whom it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoakFault {
    /// A host's process is killed and started again.
    Kill(usize),
    /// A host is asked to stop, and started again once it has ended.
    Stop(usize),
    /// A host stands still.
    Freeze(usize),
    /// A host is told to read its settings again.
    Hangup(usize),
    /// The store treats a host so.
    Store(usize, StoreMood),
    /// The store is silent to everybody.
    StoreAway,
    /// The store forgets its history.
    Forget,
    /// An upstream is without power.
    Dark(usize),
    /// An upstream says that it drains, and takes it back.
    Drain(usize),
    /// A newer configuration.
    Routes,
    /// The zone of the hosts and of most upstreams is evacuated.
    Evacuate,
}

impl SoakFault {
    fn draw(rng: &mut StdRng) -> Self {
        let host = rng.random_range(0..usize::from(HOSTS));
        let upstream = rng.random_range(0..usize::from(LEDGER_UPSTREAMS));
        match rng.random_range(0..12) {
            0 => Self::Kill(host),
            1 => Self::Stop(host),
            2 => Self::Freeze(host),
            3 => Self::Hangup(host),
            4 => Self::Store(host, StoreMood::Refuse(503)),
            5 => Self::Store(host, StoreMood::Refuse(429)),
            6 => Self::Store(host, StoreMood::Silent),
            7 => Self::StoreAway,
            8 => Self::Forget,
            9 => Self::Dark(upstream),
            10 => Self::Drain(upstream),
            _ => Self::Routes,
        }
    }

    /// Whether both strike the same process or the same store.
    fn same_target(self, other: Self) -> bool {
        let host = |fault| match fault {
            Self::Kill(host) | Self::Stop(host) | Self::Freeze(host) | Self::Hangup(host) => {
                Some(host)
            }
            _ => None,
        };
        let upstream = |fault| match fault {
            Self::Dark(upstream) | Self::Drain(upstream) => Some(upstream),
            _ => None,
        };
        let store = |fault| matches!(fault, Self::Store(..) | Self::StoreAway);
        let same_host = host(self).is_some() && host(self) == host(other);
        let same_upstream = upstream(self).is_some() && upstream(self) == upstream(other);
        same_host || same_upstream || (store(self) && store(other))
    }

    /// Begins; false if it has nobody to strike.
    async fn begin(self, cell: &mut PacketCell, state: &SoakState) -> bool {
        let host = match self {
            Self::Stop(host) | Self::Hangup(host) => Some(host),
            _ => None,
        };
        if host.is_some_and(|host| cell.hosts[host].is_starting()) {
            return false;
        }
        match self {
            Self::Kill(host) => cell.hosts[host].kill().await,
            Self::Stop(host) => cell.hosts[host].signal("TERM").await,
            Self::Freeze(host) => cell.hosts[host].signal("STOP").await,
            Self::Hangup(host) => cell.hosts[host].signal("HUP").await,
            Self::Store(host, mood) => cell.hosts[host].store.set_mood(mood),
            Self::StoreAway => set_moods(cell, StoreMood::Silent),
            Self::Forget => cell.store.drop_history(),
            Self::Dark(upstream) => {
                state.disturb(cell.upstreams[upstream].number);
                cell.upstreams[upstream].set_dark(true);
            }
            Self::Drain(upstream) => cell.register(&cell.upstreams[upstream], "ledger", "draining"),
            Self::Evacuate => cell.evacuate_local(),
            Self::Routes => {
                let version = 2 + state.started.elapsed().as_millis() as u64;
                cell.publish_routes(version, &[(ledger(), "ledger"), (certs(), "certs")]);
            }
        }
        true
    }

    async fn take_back(self, cell: &mut PacketCell, state: &SoakState) {
        match self {
            Self::Kill(host) => cell.hosts[host].start_again(),
            Self::Stop(host) => {
                if !cell.hosts[host].ended().await.success() {
                    state.broken(&format!("host {host} did not stop well"));
                }
                cell.hosts[host].start_again();
            }
            Self::Freeze(host) => cell.hosts[host].signal("CONT").await,
            Self::Store(host, _mood) => cell.hosts[host].store.set_mood(StoreMood::Serve),
            Self::StoreAway => set_moods(cell, StoreMood::Serve),
            Self::Dark(upstream) => {
                state.disturb(cell.upstreams[upstream].number);
                cell.upstreams[upstream].set_dark(false);
            }
            Self::Drain(upstream) => cell.register(&cell.upstreams[upstream], "ledger", "ready"),
            Self::Evacuate => cell.restore_local(),
            Self::Hangup(_) | Self::Forget | Self::Routes => {}
        }
    }
}

fn set_moods(cell: &PacketCell, mood: StoreMood) {
    for host in &cell.hosts {
        host.store.set_mood(mood);
    }
}

/// No process ends by itself: one that was not struck has to run.
fn watch_hosts(cell: &mut PacketCell, state: &SoakState, undo: &[(Instant, SoakFault)]) {
    for (index, host) in cell.hosts.iter_mut().enumerate() {
        let down = undo.iter().any(|(_at, fault)| {
            matches!(fault, SoakFault::Kill(host) | SoakFault::Stop(host) if *host == index)
        });
        if !down && let Some(status) = host.has_ended() {
            state.broken(&format!("host {index} ended by itself: {status}"));
            host.start_again();
        }
    }
}

/// No upstream got a foreign or a changed packet.
fn check_upstreams(cell: &PacketCell, state: &SoakState) {
    for upstream in &cell.upstreams {
        let tally = upstream.tally();
        let own = if upstream.number <= u64::from(LEDGER_UPSTREAMS) {
            ledger()
        } else {
            certs()
        };
        let foreign = tally.asked_for.keys().any(|address| *address != own);
        if foreign || tally.forged > 0 || tally.not_meant > 0 {
            state.broken(&format!("upstream {}: {tally:?}", upstream.number));
        }
    }
}

/// When the faults are over, a drain is obeyed and everybody is served.
async fn check_recovery(cell: &mut PacketCell, state: &SoakState) {
    cell.wait_for_rotation(usize::from(HOSTS)).await;
    cell.register(&cell.upstreams[0], "ledger", "draining");
    cell.evacuate_local();
    sleep(DRAIN_LIMIT).await;
    let before = local_openings(cell);
    let mut caller = cell.caller().await;
    for number in 0..20_u32 {
        let data = number.to_string();
        let answer = match caller.open(ledger()).await {
            Ok(mut flow) => {
                caller
                    .request(&mut flow, data.as_bytes(), REQUEST_LIMIT)
                    .await
            }
            Err(fault) => Err(fault),
        };
        if let Err(fault) = answer {
            state.broken(&format!("not served after the faults: {fault:?}"));
        }
    }
    if local_openings(cell) > before {
        state.broken("an evacuated zone got new flows");
    }
    cell.restore_local();
    sleep(DRAIN_LIMIT).await;
    let drained = cell.upstreams[0].tally().openings;
    for _flow in 0..20 {
        if let Err(fault) = caller.open(ledger()).await {
            state.broken(&format!("no flow after the evacuation: {fault:?}"));
        }
    }
    if cell.upstreams[0].tally().openings > drained {
        state.broken("a drained upstream got new flows");
    }
    if local_openings(cell) == before {
        state.broken("a restored zone got no new flows");
    }
    remove_all(cell);
}

/// Flows opened at the upstreams of the hosts' zone.
fn local_openings(cell: &PacketCell) -> u64 {
    let upstreams = cell.upstreams.iter().enumerate();
    let local = upstreams.filter(|(index, _upstream)| !REMOTE_UPSTREAMS.contains(index));
    local
        .map(|(_index, upstream)| upstream.tally().openings)
        .sum()
}

fn remove_all(cell: &PacketCell) {
    let keys = cell
        .upstreams
        .iter()
        .map(|upstream: &PacketUpstream| registration_key(upstream));
    for key in keys {
        cell.store.remove(&key);
    }
}
