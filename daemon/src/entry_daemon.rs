//! The entry daemon, which receives and sends datagrams as its decision core decides.

use std::future::Future;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use futures_util::StreamExt;
use lagoonproxy::daemon_settings::EntrySettings;
use lagoonproxy::host_action::HostAction;
use lagoonproxy::host_core::CoreSettings;
use lagoonproxy::host_core::HostCore;
use lagoonproxy::host_core::TICK;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::ids::Generation;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::service_policy::ServicePolicy;
use lagoonproxy::unit_text::format_duration;
use lagoonproxy::wire_frame;
use lagoonproxy::wire_frame::FRAME_BUFFER_LEN;
use lagoonproxy::wire_frame::FrameBuffer;
use lagoonproxy::wire_frame::PeerKey;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message;

use crate::admin_server::AdminSource;
use crate::admin_server::bind_admin;
use crate::admin_server::serve_admin;
use crate::control_link::ControlMessage;
use crate::control_link::decode_message;
use crate::daemon_exit::DaemonError;
use crate::daemon_metrics::DatagramLink;
use crate::entry_admin::EntryAdmin;

const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Minimum time between two published statuses. Building a status scans the request table.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
const CONTROL_QUEUE_LEN: usize = 16;
/// Maximum number of datagrams read from one socket before the other sockets are served.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Why the entry daemon stops.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// An address cannot be bound.
    #[snafu(display("cannot bind {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A socket failed.
    #[snafu(display("socket error: {source}"))]
    Socket {
        /// The system's error.
        source: std::io::Error,
    },
}

impl DaemonError for EntryError {
    fn code(&self) -> ResultCode {
        match self {
            Self::Bind { .. } => ResultCode::AddressUnavailable,
            Self::Socket { .. } => ResultCode::SocketFailed,
        }
    }
}

/// An entry daemon whose sockets are bound.
pub struct EntryDaemon {
    core: HostCore,
    peer_key: PeerKey,
    control_address: SocketAddr,
    admin: Arc<EntryAdmin>,
    status_deadline: Instant,
    drain_limit: Duration,
    admin_listener: Option<TcpListener>,
    caller_socket: UdpSocket,
    peer_socket: UdpSocket,
    upstream_socket: UdpSocket,
    /// Buffer of the last received datagram.
    received: Box<FrameBuffer>,
    /// Buffer of the last sent datagram.
    sent: Box<FrameBuffer>,
    /// Empty between events; kept to reuse its allocation.
    actions: Vec<HostAction>,
}

/// The next step of the event loop.
enum LoopStep {
    Drain,
    Control(ControlMessage),
    Datagrams(DatagramLink),
    Tick,
}

/// The bound addresses, with the ports that the operating system chose.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// Address for callers' datagrams.
    pub caller: SocketAddr,
    /// Address for peers' datagrams.
    pub peer: SocketAddr,
    /// Address for upstreams' datagrams.
    pub upstream: SocketAddr,
    /// Address of metrics, health and status.
    pub admin: Option<SocketAddr>,
}

impl EntryDaemon {
    /// Binds the sockets at the addresses in the settings.
    pub async fn bind(settings: &EntrySettings) -> Result<Self, EntryError> {
        let key = settings.shared_key.bytes();
        let core_settings = CoreSettings {
            host: settings.host,
            incarnation: start_generation(),
            started: Instant::now(),
            flow_key: key,
            flow_idle: settings.flow_idle,
            max_datagram_age: settings.max_datagram_age,
        };
        let policy = ServicePolicy::new(settings.host, start_seed(), settings.load.clone());
        Ok(Self {
            core: HostCore::new(core_settings, Box::new(policy)),
            peer_key: PeerKey::new(key),
            control_address: settings.control_address,
            admin: Arc::default(),
            status_deadline: Instant::now(),
            drain_limit: settings.drain_limit,
            admin_listener: bind_listener(settings.admin_address).await?,
            caller_socket: bind(settings.caller_address).await?,
            peer_socket: bind(settings.peer_address).await?,
            upstream_socket: bind(settings.upstream_address).await?,
            received: Box::new([0; FRAME_BUFFER_LEN]),
            sent: Box::new([0; FRAME_BUFFER_LEN]),
            actions: Vec::new(),
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> Result<EntryAddresses, EntryError> {
        Ok(EntryAddresses {
            caller: self.caller_socket.local_addr().context(SocketSnafu)?,
            peer: self.peer_socket.local_addr().context(SocketSnafu)?,
            upstream: self.upstream_socket.local_addr().context(SocketSnafu)?,
            admin: match &self.admin_listener {
                Some(listener) => Some(listener.local_addr().context(SocketSnafu)?),
                None => None,
            },
        })
    }

    /// Serves until `shutdown` resolves and the drain that follows is complete or times out.
    pub async fn run(mut self, shutdown: impl Future<Output = ()>) -> Result<(), EntryError> {
        let (control_sender, mut control) = mpsc::channel(CONTROL_QUEUE_LEN);
        let reader = tokio::spawn(read_control(self.control_address, control_sender));
        let admin = self.admin_listener.take().map(|listener| {
            let source: Arc<dyn AdminSource> = Arc::<EntryAdmin>::clone(&self.admin);
            tokio::spawn(serve_admin(listener, source))
        });
        let result = self.serve(&mut control, shutdown).await;
        reader.abort();
        if let Some(admin) = admin {
            admin.abort();
        }
        result
    }

    async fn serve(
        &mut self,
        control: &mut mpsc::Receiver<ControlMessage>,
        shutdown: impl Future<Output = ()>,
    ) -> Result<(), EntryError> {
        let mut shutdown = Box::pin(shutdown);
        let mut drain_deadline: Option<Instant> = None;
        let mut ticks = tokio::time::interval(TICK);
        loop {
            let step = tokio::select! {
                () = &mut shutdown, if drain_deadline.is_none() => {
                    drain_deadline = Some(Instant::now() + self.drain_limit);
                    log::info!("draining for {} at most", format_duration(self.drain_limit));
                    LoopStep::Drain
                }
                Some(message) = control.recv() => LoopStep::Control(message),
                ready = self.caller_socket.readable() => {
                    ready.context(SocketSnafu)?;
                    LoopStep::Datagrams(DatagramLink::Caller)
                }
                ready = self.peer_socket.readable() => {
                    ready.context(SocketSnafu)?;
                    LoopStep::Datagrams(DatagramLink::Peer)
                }
                ready = self.upstream_socket.readable() => {
                    ready.context(SocketSnafu)?;
                    LoopStep::Datagrams(DatagramLink::Upstream)
                }
                _ = ticks.tick() => LoopStep::Tick,
            };
            self.publish_status();
            let drained = match step {
                LoopStep::Drain => self.handle(HostEvent::Drain).await,
                LoopStep::Control(message) => self.handle(control_event(message)).await,
                LoopStep::Datagrams(link) => self.handle_datagrams(link).await?,
                LoopStep::Tick => self.handle(HostEvent::Tick).await,
            };
            if drained {
                log::info!("drained");
                return Ok(());
            }
            if drain_deadline.is_some_and(|deadline| deadline <= Instant::now()) {
                log::warn!("drain timed out: {:?}", self.core.status(Instant::now()));
                return Ok(());
            }
        }
    }

    /// Reads and handles the datagrams that a socket holds, at most one batch. Returns whether the
    /// drain is complete.
    ///
    /// A batch saves waiting for the sockets after each datagram; its limit keeps a socket from
    /// delaying the others and the ticks.
    async fn handle_datagrams(&mut self, link: DatagramLink) -> Result<bool, EntryError> {
        for _datagram in 0..MAX_BATCH_DATAGRAMS {
            let Some(received) = self.receive(link)? else {
                break;
            };
            match received {
                Ok(event) => {
                    if self.handle(event).await {
                        return Ok(true);
                    }
                }
                Err(code) => self.admin.metrics.count_result(code),
            }
        }
        Ok(false)
    }

    /// Returns the next available datagram of a socket, decoded, or the reason for which it is
    /// dropped; `None` if there is no datagram.
    fn receive(
        &mut self,
        link: DatagramLink,
    ) -> Result<Option<Result<HostEvent, ResultCode>>, EntryError> {
        let socket = match link {
            DatagramLink::Caller => &self.caller_socket,
            DatagramLink::Peer => &self.peer_socket,
            DatagramLink::Upstream => &self.upstream_socket,
        };
        let (len, source) = match socket.try_recv_from(self.received.as_mut_slice()) {
            Ok(received) => received,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(error) => return Err(error).context(SocketSnafu),
        };
        self.admin.metrics.count_received(link, len);
        let bytes = &self.received[..len];
        Ok(Some(match link {
            DatagramLink::Caller => {
                let decoded = wire_frame::decode_caller(bytes);
                decoded.map(|frame| HostEvent::CallerFrame {
                    caller: source,
                    frame,
                })
            }
            DatagramLink::Peer => {
                wire_frame::decode_peer(bytes, &self.peer_key).map(HostEvent::PeerFrame)
            }
            DatagramLink::Upstream => wire_frame::decode_upstream(bytes)
                .map(|frame| HostEvent::UpstreamFrame { source, frame }),
        }))
    }

    /// Publishes a new status for operators if [`STATUS_INTERVAL`] has passed since the last one.
    fn publish_status(&mut self) {
        let now = Instant::now();
        if now < self.status_deadline {
            return;
        }
        self.status_deadline = now + STATUS_INTERVAL;
        self.admin.update(self.core.status(now));
    }

    /// Passes an event to the core and executes the resulting actions. Returns whether the drain is
    /// complete.
    async fn handle(&mut self, event: HostEvent) -> bool {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(Instant::now(), event, &mut actions);
        let mut drained = false;
        for action in actions.drain(..) {
            drained |= self.execute_action(action).await;
        }
        self.actions = actions;
        drained
    }

    async fn execute_action(&mut self, action: HostAction) -> bool {
        let buffer = &mut self.sent;
        let (link, address, encoded) = match action {
            HostAction::ToCaller { caller, frame } => {
                let encoded = wire_frame::encode_caller_into(&frame, buffer);
                (DatagramLink::Caller, caller, encoded)
            }
            HostAction::ToPeer { address, frame, .. } => {
                let encoded = wire_frame::encode_peer_into(&frame, &self.peer_key, buffer);
                (DatagramLink::Peer, address, encoded)
            }
            HostAction::ToUpstream { address, frame } => {
                let encoded = wire_frame::encode_upstream_into(&frame, buffer);
                (DatagramLink::Upstream, address, encoded)
            }
            HostAction::Count(code) => {
                self.admin.metrics.count_result(code);
                return false;
            }
            HostAction::CountRetry(code) => {
                self.admin.metrics.count_retry(code);
                return false;
            }
            HostAction::Drained => return true,
        };
        match encoded {
            Ok(len) => self.send(link, address, len).await,
            Err(code) => self.admin.metrics.count_result(code),
        }
        false
    }

    /// Sends the datagram in the send buffer. Waits only if the socket's buffer is full.
    async fn send(&mut self, link: DatagramLink, address: SocketAddr, len: usize) {
        let socket = match link {
            DatagramLink::Caller => &self.caller_socket,
            DatagramLink::Peer => &self.peer_socket,
            DatagramLink::Upstream => &self.upstream_socket,
        };
        let bytes = &self.sent[..len];
        let sent = match socket.try_send_to(bytes, address) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                socket.send_to(bytes, address).await
            }
            sent => sent,
        };
        match sent {
            Ok(sent) => self.admin.metrics.count_sent(link, sent),
            Err(error) => log::debug!("cannot send to {address}: {error}"),
        }
    }
}

/// Returns a random seed that differs at each start, so that hosts make different random choices
/// and a restarted host does not reuse numbers of earlier slot requests.
fn start_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

async fn bind(address: SocketAddr) -> Result<UdpSocket, EntryError> {
    UdpSocket::bind(address)
        .await
        .context(BindSnafu { address })
}

async fn bind_listener(address: Option<SocketAddr>) -> Result<Option<TcpListener>, EntryError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let listener = bind_admin(address).await.context(BindSnafu { address })?;
    Ok(Some(listener))
}

fn control_event(message: ControlMessage) -> HostEvent {
    match message {
        ControlMessage::Config(config) => HostEvent::Config(config),
        ControlMessage::Hosts(hosts) => HostEvent::Hosts(hosts),
    }
}

/// Reads the control daemon's messages and reconnects when the link ends.
async fn read_control(address: SocketAddr, sender: mpsc::Sender<ControlMessage>) {
    while !sender.is_closed() {
        read_link(address, &sender).await;
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn read_link(address: SocketAddr, sender: &mpsc::Sender<ControlMessage>) {
    let connected = tokio_tungstenite::connect_async(format!("ws://{address}/")).await;
    let Ok((mut socket, _response)) = connected else {
        return;
    };
    while let Some(Ok(message)) = socket.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        match decode_message(&bytes) {
            Ok(message) => {
                if sender.send(message).await.is_err() {
                    return;
                }
            }
            Err(error) => log::warn!("{error}"),
        }
    }
}

/// Returns the generation of this process in milliseconds since 1970, larger at each start.
///
/// Peers ignore a process whose generation is smaller than one that they have heard from. After its
/// clock was set back, a restarted host therefore gets no lease until the clock has caught up, but
/// two processes are never taken for one.
fn start_generation() -> Generation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as Generation)
}
