//! Compares the datagram rate through one `lagoon-entry` with that of a bare UDP relay, in one run.
//!
//! Both relays are tasks of one thread, so that they run on the same core; only one has work at a
//! time, and the rounds alternate. An upstream thread sends the parts of answers; a caller thread
//! counts them and requests the next answer. The window keeps socket buffers from overflowing.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::config_snapshot::HostEntry;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy::daemon_settings::EntrySettings;
use lagoonproxy::published_config::ServiceDoc;
use lagoonproxy::published_config::UpstreamDoc;
use lagoonproxy::wire_frame;
use lagoonproxy::wire_frame::AnswerPart;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::CallerFrame;
use lagoonproxy::wire_frame::MAX_DATAGRAM;
use lagoonproxy::wire_frame::RequestBody;
use lagoonproxy::wire_frame::UpstreamBody;
use lagoonproxy::wire_frame::UpstreamFrame;
use lagoonproxy_daemon::control_daemon::ControlDaemon;
use lagoonproxy_daemon::entry_daemon::EntryDaemon;

use crate::platform::Platform;
use crate::ready_wait::wait_until_ready;

const SERVICE: ([u8; 4], u16) = ([10, 0, 0, 1], 700);
const SHARED_KEY: &str = "6c61676f6f6e70726f787972656c6179";
/// Bytes of payload per part.
const PART_LEN: u32 = 1_000;
/// Parts per answer.
const PARTS: u32 = 200;
/// Maximum number of parts in flight.
const WINDOW: u64 = 48;
/// Read timeout of the sockets, after which their threads check whether the run has ended.
const SOCKET_TIMEOUT: Duration = Duration::from_millis(20);

/// The rates of one relay in one round.
#[derive(Clone, Copy, Debug)]
pub struct RelayRate {
    /// Datagrams per second of wall clock time.
    pub per_second: f64,
    /// Datagrams per second of processor time that the relays' thread used. Ratios are calculated
    /// from this rate, since it does not depend on the machine's other load.
    pub per_cpu_second: f64,
}

/// The rates of one pair of rounds.
#[derive(Clone, Copy, Debug)]
pub struct RelayRound {
    /// The rate of the bare relay.
    pub bare: RelayRate,
    /// The rate of the entry daemon.
    pub entry: RelayRate,
}

impl RelayRound {
    /// Returns the entry daemon's rate divided by the bare relay's.
    pub fn ratio(&self) -> f64 {
        self.entry.per_cpu_second / self.bare.per_cpu_second
    }
}

/// State that the threads share.
#[derive(Default)]
struct RelayState {
    /// Parts that the caller has received in all rounds.
    received: AtomicU64,
    ended: AtomicBool,
}

/// Measures `rounds` pairs of rounds, each round of duration `length`.
///
/// Must be called on a runtime of one thread. Returns an error if a daemon cannot be started or the
/// system does not report the thread's processor time.
pub async fn measure_relay(
    rounds: usize,
    length: Duration,
) -> Result<Vec<RelayRound>, Box<dyn std::error::Error>> {
    let upstream = bind_socket()?;
    let entry_address = start_entry(upstream.local_addr()?).await?;
    let bare_socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    let bare = bare_socket.local_addr()?;
    let caller = bind_socket()?;
    let sink = caller.local_addr()?;
    tokio::spawn(relay_bare(bare_socket, sink));
    let state = Arc::new(RelayState::default());
    let upstream_state = Arc::clone(&state);
    let (bare_sender, bare_rounds) = std::sync::mpsc::channel();
    let upstream_thread =
        std::thread::spawn(move || run_upstream(&upstream, &bare_rounds, bare, &upstream_state));
    let mut measured = Vec::new();
    for _round in 0..rounds {
        let start = cpu_time()?;
        let relayed = measure_bare(&caller, &bare_sender, &state, length).await?;
        let bare = rate(relayed, length, cpu_time()? - start);
        let start = cpu_time()?;
        let relayed = measure_entry(&caller, entry_address, &state, length).await?;
        let entry = rate(relayed, length, cpu_time()? - start);
        measured.push(RelayRound { bare, entry });
    }
    state.ended.store(true, Ordering::Relaxed);
    drop(bare_sender);
    let _panicked = upstream_thread.join();
    Ok(measured)
}

/// Returns the processor time that the calling thread, which runs both relays, has used.
fn cpu_time() -> std::io::Result<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
    nanos.map(Duration::from_nanos).ok_or_else(|| {
        std::io::Error::other("the system does not report a thread's processor time")
    })
}

fn rate(relayed: u64, length: Duration, cpu_time_used: Duration) -> RelayRate {
    RelayRate {
        per_second: relayed as f64 / length.as_secs_f64(),
        per_cpu_second: relayed as f64 / cpu_time_used.as_secs_f64(),
    }
}

/// Receives datagrams and forwards them unchanged, the minimal work of a relay.
async fn relay_bare(socket: tokio::net::UdpSocket, sink: SocketAddr) {
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        if socket.readable().await.is_err() {
            return;
        }
        while let Ok((len, _source)) = socket.try_recv_from(&mut buffer) {
            let _lost = socket.send_to(&buffer[..len], sink).await;
        }
    }
}

async fn start_entry(upstream: SocketAddr) -> Result<SocketAddr, Box<dyn std::error::Error>> {
    let platform = Platform::default();
    let platform_address = platform.start().await?;
    let control = ControlDaemon::bind(&ControlSettings::parse(&format!(
        "host: 1\nzone: zig-a\ncontrol_address: 127.0.0.1:0\nplatform_address: {platform_address}\n\
         shared_key: '{SHARED_KEY}'\n"
    ))?)
    .await?;
    let control_address = control.address()?;
    let entry = EntryDaemon::bind(&EntrySettings::parse(&format!(
        "host: 1\nzone: zig-a\ncaller_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n\
         upstream_address: 127.0.0.1:0\ncontrol_address: {control_address}\n\
         admin_address: 127.0.0.1:0\nshared_key: '{SHARED_KEY}'\n"
    ))?)
    .await?;
    let addresses = entry.addresses()?;
    publish(&platform, upstream, addresses.peer, control_address);
    tokio::spawn(control.run(std::future::pending()));
    tokio::spawn(entry.run(std::future::pending()));
    let admin_addresses: Vec<SocketAddr> = addresses.admin.into_iter().collect();
    wait_until_ready(&admin_addresses).await;
    Ok(addresses.caller)
}

fn publish(platform: &Platform, upstream: SocketAddr, peer: SocketAddr, control: SocketAddr) {
    let service = ServiceDoc {
        id: 1,
        name: "ledger".into(),
        address: SERVICE.into(),
        selector: "service=ledger".to_owned(),
    };
    let upstream = UpstreamDoc {
        id: 1,
        name: "ledger-1".into(),
        address: upstream,
        health_address: None,
        zone: "zig-a".into(),
        incarnation: 0,
        labels: [("service".into(), "ledger".into())].into(),
        state: UpstreamState::Active,
        slots: 2,
        connections: 2_000,
    };
    let host = HostEntry {
        id: 1,
        zone: "zig-a".into(),
        cell: 0,
        peer_address: peer,
        control_address: control,
        leaving: false,
    };
    platform.publish("services/main/0", &[service]);
    platform.publish("upstreams/zig-a/0", &[upstream]);
    platform.publish("hosts/zig-a", &[host]);
}

fn bind_socket() -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(SOCKET_TIMEOUT))?;
    Ok(socket)
}

/// Runs one round in which the upstream thread sends parts through the bare relay; returns the
/// number of parts received.
async fn measure_bare(
    caller: &UdpSocket,
    sender: &std::sync::mpsc::Sender<Instant>,
    state: &Arc<RelayState>,
    length: Duration,
) -> Result<u64, Box<dyn std::error::Error>> {
    let end = Instant::now() + length;
    sender.send(end)?;
    let caller = caller.try_clone()?;
    let state = Arc::clone(state);
    let counting = tokio::task::spawn_blocking(move || count_parts(&caller, &state, end));
    Ok(counting.await?)
}

fn count_parts(caller: &UdpSocket, state: &RelayState, end: Instant) -> u64 {
    let mut buffer = [0; MAX_DATAGRAM];
    let mut counted = 0;
    while Instant::now() < end {
        if caller.recv_from(&mut buffer).is_ok() {
            state.received.fetch_add(1, Ordering::Relaxed);
            counted += 1;
        }
    }
    while caller.recv_from(&mut buffer).is_ok() {
        state.received.fetch_add(1, Ordering::Relaxed);
    }
    counted
}

/// Runs one round of requests through the entry daemon; returns the number of parts received.
async fn measure_entry(
    caller: &UdpSocket,
    entry: SocketAddr,
    state: &Arc<RelayState>,
    length: Duration,
) -> Result<u64, Box<dyn std::error::Error>> {
    let caller = caller.try_clone()?;
    let state = Arc::clone(state);
    let calling = tokio::task::spawn_blocking(move || {
        let end = Instant::now() + length;
        let mut counted = 0;
        while Instant::now() < end {
            counted += request_once(&caller, entry, &state);
        }
        counted
    });
    Ok(calling.await?)
}

/// Sends one request and receives its answer; returns the number of parts received.
fn request_once(caller: &UdpSocket, entry: SocketAddr, state: &RelayState) -> u64 {
    let request = state.received.load(Ordering::Relaxed) + 1;
    let body = CallerBody::Request(RequestBody {
        request,
        age: Duration::ZERO,
        remaining: Duration::from_secs(5),
        idempotent: true,
        established: false,
        payload: Bytes::from_static(b"relay"),
    });
    send_to_entry(caller, entry, body);
    let mut buffer = [0; MAX_DATAGRAM];
    let mut parts = 0;
    while parts < u64::from(PARTS) {
        let Ok((len, _host)) = caller.recv_from(&mut buffer) else {
            break;
        };
        if len > PART_LEN as usize {
            state.received.fetch_add(1, Ordering::Relaxed);
            parts += 1;
        }
    }
    send_to_entry(caller, entry, CallerBody::Ack { request });
    parts
}

fn send_to_entry(caller: &UdpSocket, entry: SocketAddr, body: CallerBody) {
    let frame = CallerFrame {
        service: SERVICE.into(),
        flow: 1,
        body,
    };
    if let Ok(bytes) = wire_frame::encode_caller(&frame) {
        let _lost = caller.send_to(&bytes, entry);
    }
}

/// Answers requests, and in the rounds of the bare relay sends parts of the same size.
fn run_upstream(
    socket: &UdpSocket,
    bare_rounds: &std::sync::mpsc::Receiver<Instant>,
    bare: SocketAddr,
    state: &RelayState,
) {
    let mut buffer = [0; MAX_DATAGRAM];
    let mut last_tag = None;
    while !state.ended.load(Ordering::Relaxed) {
        if let Ok(end) = bare_rounds.try_recv() {
            let tag = last_tag.unwrap_or_else(sample_tag);
            while Instant::now() < end {
                send_answer(socket, bare, tag, state, Some(end));
            }
        }
        let Ok((len, host)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Ok(frame) = wire_frame::decode_upstream(&buffer[..len]) else {
            continue;
        };
        if let UpstreamBody::Run { .. } = frame.body {
            last_tag = Some(frame.tag);
            send_answer(socket, host, frame.tag, state, None);
        }
    }
}

fn sample_tag() -> wire_frame::RoutingTag {
    wire_frame::RoutingTag {
        caller: ([127, 0, 0, 1], 9).into(),
        service: SERVICE.into(),
        flow: 1,
        request: 1,
        attempt: 0,
        owner: 1,
        owner_incarnation: 0,
        upstream: 1,
        incarnation: 0,
    }
}

fn send_answer(
    socket: &UdpSocket,
    target: SocketAddr,
    tag: wire_frame::RoutingTag,
    state: &RelayState,
    end: Option<Instant>,
) {
    let payload = Bytes::from(vec![b'.'; PART_LEN as usize]);
    let start = state.received.load(Ordering::Relaxed);
    for index in 0..PARTS {
        let part = AnswerPart {
            request: tag.request,
            run: tag.run_id(),
            offset: index * PART_LEN,
            total: PARTS * PART_LEN,
            payload: payload.clone(),
        };
        let body = UpstreamBody::Part(part);
        let Ok(bytes) = wire_frame::encode_upstream(&UpstreamFrame { tag, body }) else {
            return;
        };
        while u64::from(index) >= state.received.load(Ordering::Relaxed) - start + WINDOW {
            let over = end.is_some_and(|end| Instant::now() >= end);
            if over || state.ended.load(Ordering::Relaxed) {
                return;
            }
            std::hint::spin_loop();
        }
        let _lost = socket.send_to(&bytes, target);
    }
}
