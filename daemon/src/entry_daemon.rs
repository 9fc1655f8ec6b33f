//! The data daemon: datagrams in and out, every decision by the core.

use std::future::Future;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use lagoonproxy::host_action::HostAction;
use lagoonproxy::host_core::CoreSettings;
use lagoonproxy::host_core::HostCore;
use lagoonproxy::host_core::TICK;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::service_policy::ServicePolicy;
use lagoonproxy::wire_frame;
use lagoonproxy::wire_frame::MAX_DATAGRAM;
use lagoonproxy::wire_frame::PeerKey;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message;

use crate::control_link::ControlMessage;
use crate::control_link::decode_message;
use crate::entry_settings::EntrySettings;
use crate::entry_settings::SettingsError;

const FLOW_IDLE: Duration = Duration::from_secs(2 * 3_600);
const MAX_DATAGRAM_AGE: Duration = Duration::from_secs(2);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
const CONTROL_QUEUE: usize = 16;

/// Why the entry daemon stops.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// A setting is wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// Which one.
        source: SettingsError,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot bind {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A socket failed.
    #[snafu(display("a socket failed: {source}"))]
    Socket {
        /// The system's error.
        source: std::io::Error,
    },
}

/// An entry daemon whose sockets are bound.
pub struct EntryDaemon {
    core: HostCore,
    peer_key: PeerKey,
    control_address: SocketAddr,
    caller_socket: UdpSocket,
    peer_socket: UdpSocket,
    upstream_socket: UdpSocket,
}

/// The addresses that were bound, with the ports that the system chose.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// Where callers' datagrams arrive.
    pub caller: SocketAddr,
    /// Where peers' datagrams arrive.
    pub peer: SocketAddr,
    /// Where upstreams' datagrams arrive.
    pub upstream: SocketAddr,
}

impl EntryDaemon {
    /// Binds the sockets that the settings name.
    pub async fn bind(settings: &EntrySettings) -> Result<Self, EntryError> {
        let key = settings.key_bytes().context(SettingsSnafu)?;
        let core_settings = CoreSettings {
            host: settings.host,
            flow_key: key,
            flow_idle: FLOW_IDLE,
            max_datagram_age: MAX_DATAGRAM_AGE,
        };
        let policy = ServicePolicy::new(settings.host, start_seed(), settings.load.clone());
        Ok(Self {
            core: HostCore::new(core_settings, Box::new(policy)),
            peer_key: PeerKey::new(key),
            control_address: settings.control_address,
            caller_socket: bind(settings.caller_address).await?,
            peer_socket: bind(settings.peer_address).await?,
            upstream_socket: bind(settings.upstream_address).await?,
        })
    }

    /// The addresses that were bound.
    pub fn addresses(&self) -> Result<EntryAddresses, EntryError> {
        Ok(EntryAddresses {
            caller: self.caller_socket.local_addr().context(SocketSnafu)?,
            peer: self.peer_socket.local_addr().context(SocketSnafu)?,
            upstream: self.upstream_socket.local_addr().context(SocketSnafu)?,
        })
    }

    /// Serves until `shutdown` resolves and the drain that it starts is complete.
    pub async fn run(mut self, shutdown: impl Future<Output = ()>) -> Result<(), EntryError> {
        let (control_sender, mut control) = mpsc::channel(CONTROL_QUEUE);
        let reader = tokio::spawn(read_control(self.control_address, control_sender));
        let result = self.serve(&mut control, shutdown).await;
        reader.abort();
        result
    }

    async fn serve(
        &mut self,
        control: &mut mpsc::Receiver<ControlMessage>,
        shutdown: impl Future<Output = ()>,
    ) -> Result<(), EntryError> {
        let mut shutdown = Box::pin(shutdown);
        let mut draining = false;
        let mut ticks = tokio::time::interval(TICK);
        let mut from_caller = [0; MAX_DATAGRAM + 1];
        let mut from_peer = [0; MAX_DATAGRAM + 1];
        let mut from_upstream = [0; MAX_DATAGRAM + 1];
        loop {
            let event = tokio::select! {
                () = &mut shutdown, if !draining => {
                    draining = true;
                    Ok(HostEvent::Drain)
                }
                Some(message) = control.recv() => Ok(control_event(message)),
                received = self.caller_socket.recv_from(&mut from_caller) => {
                    let (len, caller) = received.context(SocketSnafu)?;
                    wire_frame::decode_caller(&from_caller[..len])
                        .map(|frame| HostEvent::CallerFrame { caller, frame })
                }
                received = self.peer_socket.recv_from(&mut from_peer) => {
                    let (len, _peer) = received.context(SocketSnafu)?;
                    wire_frame::decode_peer(&from_peer[..len], &self.peer_key)
                        .map(HostEvent::PeerFrame)
                }
                received = self.upstream_socket.recv_from(&mut from_upstream) => {
                    let (len, source) = received.context(SocketSnafu)?;
                    wire_frame::decode_upstream(&from_upstream[..len])
                        .map(|frame| HostEvent::UpstreamFrame { source, frame })
                }
                _ = ticks.tick() => Ok(HostEvent::Tick),
            };
            match event {
                Ok(event) => {
                    if self.handle(event).await {
                        return Ok(());
                    }
                }
                Err(code) => count_dropped(code),
            }
        }
    }

    /// Passes an event to the core and carries out its actions; `true` once drained.
    async fn handle(&mut self, event: HostEvent) -> bool {
        let mut actions = Vec::new();
        self.core.handle(Instant::now(), event, &mut actions);
        let mut drained = false;
        for action in actions {
            drained |= self.carry_out(action).await;
        }
        drained
    }

    async fn carry_out(&mut self, action: HostAction) -> bool {
        match action {
            HostAction::ToCaller { caller, frame } => {
                let encoded = wire_frame::encode_caller(&frame);
                send(&self.caller_socket, caller, encoded).await;
            }
            HostAction::ToPeer { address, frame, .. } => {
                let encoded = wire_frame::encode_peer(&frame, &self.peer_key);
                send(&self.peer_socket, address, encoded).await;
            }
            HostAction::ToUpstream { address, frame } => {
                let encoded = wire_frame::encode_upstream(&frame);
                send(&self.upstream_socket, address, encoded).await;
            }
            HostAction::Count(code) => count_dropped(code),
            HostAction::Drained => return true,
        }
        false
    }
}

/// A seed that differs from start to start, so that hosts do not draw alike and numbers of asks
/// from before a restart are not used again.
fn start_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

async fn bind(address: SocketAddr) -> Result<UdpSocket, EntryError> {
    UdpSocket::bind(address)
        .await
        .context(BindSnafu { address })
}

async fn send(socket: &UdpSocket, address: SocketAddr, encoded: Result<Bytes, ResultCode>) {
    match encoded {
        Ok(bytes) => {
            if let Err(error) = socket.send_to(&bytes, address).await {
                log::debug!("cannot send to {address}: {error}");
            }
        }
        Err(code) => count_dropped(code),
    }
}

fn count_dropped(code: ResultCode) {
    log::debug!("result {}", code.number());
}

fn control_event(message: ControlMessage) -> HostEvent {
    match message {
        ControlMessage::Config(config) => HostEvent::Config(config),
        ControlMessage::Hosts(hosts) => HostEvent::Hosts(hosts),
    }
}

/// Reads the control daemon's messages and connects anew when the link ends.
async fn read_control(address: SocketAddr, sender: mpsc::Sender<ControlMessage>) {
    while !sender.is_closed() {
        read_link(address, &sender).await;
        tokio::time::sleep(RECONNECT_PAUSE).await;
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
