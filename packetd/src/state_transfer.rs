//! Transfers published state to a host that has just started, that the store rejects or that has
//! missed a change.
//!
//! A transfer consists of a query and a reply in CBOR over a WebSocket. Transfers are so rare that
//! no connection is kept. The state in the reply is encoded as in datagrams.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::SinkExt;
use futures_util::StreamExt;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::peers::peer_datagram::DatagramFault;
use lagoonproxy_packet::peers::peer_datagram::decode_state;
use lagoonproxy_packet::peers::peer_datagram::encode_state;
use lagoonproxy_packet::state::state_snapshot::StateQuery;
use lagoonproxy_packet::state::state_snapshot::StateUpdate;
use lagoonproxy_packet::state::store_position::StorePosition;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::host_state::HostState;

/// Timeout of a transfer. Round trips to peers take milliseconds, and another peer can be queried
/// afterwards.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of hosts that receive the state at the same time. When a whole fleet starts, all
/// hosts that query the same peer would otherwise share its link and finish late. Each host that
/// has received the state serves it to others.
const MAX_CONCURRENT_REPLIES: u32 = 2;

/// Maximum size of a state in bytes. More than four times the size of a state with 5,000 upstreams
/// of 200 bytes each and 5,000 routes of 100 bytes each.
const MAX_STATE_BYTES: usize = 8 * 1024 * 1024;

/// Size of a connection's buffer in each direction, in bytes. The default of the library is 128
/// KiB.
const BUFFER_BYTES: usize = 4 * 1024;

/// Delay after a connection could not be accepted, since file descriptors may have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A peer's reply to the query of a host.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
enum StateReply {
    /// The state that the host is missing, encoded as in datagrams.
    State(#[serde_as(as = "serde_with::Bytes")] Vec<u8>),
    /// The peer serves [`MAX_CONCURRENT_REPLIES`] other hosts.
    Busy,
}

/// Why a transfer failed.
#[derive(Debug, Snafu)]
enum TransferFault {
    #[snafu(display("no answer in time"))]
    TimedOut,
    #[snafu(display("no connection: {source}"))]
    Unreachable { source: std::io::Error },
    #[snafu(display("connection failed: {source}"))]
    Exchange { source: tungstenite::Error },
    #[snafu(display("the peer closed the connection before replying"))]
    Closed,
    #[snafu(display("cannot decode the reply: {source}"))]
    Malformed {
        source: ciborium::de::Error<std::io::Error>,
    },
    #[snafu(display("cannot encode the message: {source}"))]
    Encode {
        source: ciborium::ser::Error<std::io::Error>,
    },
    #[snafu(display("invalid state in the reply: {source}"))]
    State { source: DatagramFault },
    #[snafu(display("the peer serves as many as it can"))]
    Busy,
    #[snafu(display("the peer has nothing newer: its state ends at {through}"))]
    Stale { through: StorePosition },
}

impl TransferFault {
    /// Returns the numbered result code.
    fn code(&self) -> ResultCode {
        match self {
            Self::Exchange {
                source: tungstenite::Error::Capacity(_),
            } => ResultCode::StateOversized,
            Self::TimedOut | Self::Unreachable { .. } | Self::Exchange { .. } => {
                ResultCode::SourceUnreachable
            }
            Self::Closed | Self::Malformed { .. } | Self::Encode { .. } | Self::State { .. } => {
                ResultCode::StateMalformed
            }
            Self::Busy => ResultCode::PeerBusy,
            Self::Stale { .. } => ResultCode::StateStale,
        }
    }
}

/// Serves state to peers. Never returns.
pub async fn serve(state: Rc<HostState>, listener: TcpListener) {
    let active_replies = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::task::spawn_local(serve_one(state.clone(), stream, active_replies.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a peer: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Queries a peer for the state that this host is missing, merges it, and forwards it to the hosts
/// of the zone.
pub async fn request_state(state: Rc<HostState>, peer: SocketAddrV4) {
    let query = state.core.borrow().snapshot().query();
    let started = Instant::now();
    let reply = match timeout(EXCHANGE_TIMEOUT, query_peer(peer, &query)).await {
        Ok(reply) => reply,
        Err(_elapsed) => Err(TransferFault::TimedOut),
    };
    let took_ms = started.elapsed().as_millis() as u64;
    match reply {
        Ok(update) => {
            log::info!(peer:% = peer, after:% = query.after, through:% = update.through, items = update.items.len(), took_ms; "state from a peer");
            if !state.merge_and_forward(update) {
                let mut core = state.core.borrow_mut();
                core.source_failed(Instant::now(), peer, false);
            }
        }
        Err(fault) => {
            let code = fault.code();
            state.metrics.count_result(code);
            log::warn!(code = code.number(), peer:% = peer, after:% = query.after, took_ms; "no state from a peer: {fault}");
            let busy = code == ResultCode::PeerBusy;
            let mut core = state.core.borrow_mut();
            core.source_failed(Instant::now(), peer, busy);
        }
    }
}

/// Queries a peer and returns the update in its reply. Fails if the update contains nothing new.
async fn query_peer(peer: SocketAddrV4, query: &StateQuery) -> Result<StateUpdate, TransferFault> {
    let stream = TcpStream::connect(peer).await.context(UnreachableSnafu)?;
    let url = format!("ws://{peer}/state");
    let (mut socket, _response) = client_async_with_config(url, stream, Some(config()))
        .await
        .context(ExchangeSnafu)?;
    send(&mut socket, query).await?;
    match receive(&mut socket).await? {
        StateReply::State(bytes) => {
            let update = decode_state(&bytes).context(StateSnafu)?;
            let through = update.through;
            let has_more = through > query.after || !update.items.is_empty();
            ensure!(has_more, StaleSnafu { through });
            Ok(update)
        }
        StateReply::Busy => BusySnafu.fail(),
    }
}

/// Serves one peer. Replies that it is busy if [`MAX_CONCURRENT_REPLIES`] others are being served.
async fn serve_one(state: Rc<HostState>, stream: TcpStream, active_replies: Rc<Cell<u32>>) {
    let busy = active_replies.get() >= MAX_CONCURRENT_REPLIES;
    active_replies.set(active_replies.get() + 1);
    let reply = timeout(EXCHANGE_TIMEOUT, reply(&state, stream, busy)).await;
    active_replies.set(active_replies.get() - 1);
    if let Ok(Err(fault)) = reply {
        log::info!(code = fault.code().number(); "a peer's question failed: {fault}");
    }
}

/// Receives a query on a new connection and replies to it.
async fn reply(state: &HostState, stream: TcpStream, busy: bool) -> Result<(), TransferFault> {
    let mut socket = accept_async_with_config(stream, Some(config()))
        .await
        .context(ExchangeSnafu)?;
    let query: StateQuery = receive(&mut socket).await?;
    let reply = if busy {
        StateReply::Busy
    } else {
        let update = state.core.borrow().snapshot().update_since(&query);
        StateReply::State(encode_state(&update).context(StateSnafu)?)
    };
    send(&mut socket, &reply).await?;
    socket.close(None).await.context(ExchangeSnafu)
}

async fn send(
    socket: &mut WebSocketStream<TcpStream>,
    value: &impl Serialize,
) -> Result<(), TransferFault> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).context(EncodeSnafu)?;
    socket
        .send(Message::binary(bytes))
        .await
        .context(ExchangeSnafu)
}

async fn receive<T: serde::de::DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<T, TransferFault> {
    let message = socket.next().await.ok_or(TransferFault::Closed)?;
    let bytes = message.context(ExchangeSnafu)?.into_data();
    ciborium::from_reader(bytes.as_ref()).context(MalformedSnafu)
}

/// Returns the configuration of both ends of a connection, with a size limit for messages.
fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_STATE_BYTES))
        .max_frame_size(Some(MAX_STATE_BYTES))
}
