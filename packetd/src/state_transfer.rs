//! Hands published state from host to host: to one that has just started, that the store turns away or
//! that missed a change.
//!
//! One question and one answer over a websocket, in CBOR; used so seldom that no connection is
//! kept. The state inside the answer is encoded as in datagrams.

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

/// How long one exchange may take; peers are milliseconds away, and another may be asked next.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(1);

/// Hosts that are handed the state at the same time. When a fleet starts at once, those that ask the same
/// host would else share its link, and all of them be late; each that has the state hands it on.
const SERVED_AT_ONCE: u32 = 2;

/// Most bytes of a state: 5,000 upstreams of 200 bytes and 5,000 routes of 100 fit four times.
const MOST_STATE_BYTES: usize = 8 * 1024 * 1024;

/// Buffer of a connection in each direction; the library's own are 128 KiB.
const BUFFER_BYTES: usize = 4 * 1024;

/// Pause after a connection that could not be taken, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What a peer answers to what a host holds.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
enum StateAnswer {
    /// What the host is missing, encoded as in datagrams.
    State(#[serde_as(as = "serde_with::Bytes")] Vec<u8>),
    /// Others are being served.
    Busy,
}

/// Why a transfer failed.
#[derive(Debug, Snafu)]
enum TransferFault {
    #[snafu(display("no answer in time"))]
    TimedOut,
    #[snafu(display("no connection: {source}"))]
    Unreachable { source: std::io::Error },
    #[snafu(display("the connection failed: {source}"))]
    Exchange { source: tungstenite::Error },
    #[snafu(display("the peer closed before its answer"))]
    Closed,
    #[snafu(display("the answer cannot be read: {source}"))]
    Malformed {
        source: ciborium::de::Error<std::io::Error>,
    },
    #[snafu(display("the message cannot be written: {source}"))]
    Unwritable {
        source: ciborium::ser::Error<std::io::Error>,
    },
    #[snafu(display("the state in the answer: {source}"))]
    State { source: DatagramFault },
    #[snafu(display("the peer serves as many as it can"))]
    Busy,
    #[snafu(display("the peer's state ends at {through}"))]
    Stale { through: StorePosition },
}

impl TransferFault {
    fn code(&self) -> ResultCode {
        match self {
            Self::Exchange {
                source: tungstenite::Error::Capacity(_),
            } => ResultCode::StateOversized,
            Self::TimedOut | Self::Unreachable { .. } | Self::Exchange { .. } => {
                ResultCode::SourceUnreachable
            }
            Self::Closed
            | Self::Malformed { .. }
            | Self::Unwritable { .. }
            | Self::State { .. } => ResultCode::StateMalformed,
            Self::Busy => ResultCode::PeerBusy,
            Self::Stale { .. } => ResultCode::StateStale,
        }
    }
}

/// Answers peers that ask, for as long as the process lives.
pub async fn serve(state: Rc<HostState>, listener: TcpListener) {
    let serving = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::task::spawn_local(serve_one(state.clone(), stream, serving.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a peer: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Asks a peer for what this host is missing, and takes it in.
pub async fn ask(state: Rc<HostState>, peer: SocketAddrV4) {
    let query = state.core.borrow().view().query();
    let started = Instant::now();
    let answer = match timeout(EXCHANGE_LIMIT, question(peer, &query)).await {
        Ok(answer) => answer,
        Err(_elapsed) => Err(TransferFault::TimedOut),
    };
    let took_ms = started.elapsed().as_millis() as u64;
    match answer {
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

async fn question(peer: SocketAddrV4, query: &StateQuery) -> Result<StateUpdate, TransferFault> {
    let stream = TcpStream::connect(peer).await.context(UnreachableSnafu)?;
    let url = format!("ws://{peer}/state");
    let (mut socket, _response) = client_async_with_config(url, stream, Some(config()))
        .await
        .context(ExchangeSnafu)?;
    send(&mut socket, query).await?;
    match receive(&mut socket).await? {
        StateAnswer::State(bytes) => {
            let update = decode_state(&bytes).context(StateSnafu)?;
            let through = update.through;
            let has_more = through > query.after || !update.items.is_empty();
            ensure!(has_more, StaleSnafu { through });
            Ok(update)
        }
        StateAnswer::Busy => BusySnafu.fail(),
    }
}

async fn serve_one(state: Rc<HostState>, stream: TcpStream, serving: Rc<Cell<u32>>) {
    let busy = serving.get() >= SERVED_AT_ONCE;
    serving.set(serving.get() + 1);
    let answer = timeout(EXCHANGE_LIMIT, answer(&state, stream, busy)).await;
    serving.set(serving.get() - 1);
    if let Ok(Err(fault)) = answer {
        log::info!(code = fault.code().number(); "a peer's question failed: {fault}");
    }
}

async fn answer(state: &HostState, stream: TcpStream, busy: bool) -> Result<(), TransferFault> {
    let mut socket = accept_async_with_config(stream, Some(config()))
        .await
        .context(ExchangeSnafu)?;
    let query: StateQuery = receive(&mut socket).await?;
    let answer = if busy {
        StateAnswer::Busy
    } else {
        let update = state.core.borrow().view().update_since(&query);
        StateAnswer::State(encode_state(&update).context(StateSnafu)?)
    };
    send(&mut socket, &answer).await?;
    socket.close(None).await.context(ExchangeSnafu)
}

async fn send(
    socket: &mut WebSocketStream<TcpStream>,
    value: &impl Serialize,
) -> Result<(), TransferFault> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).context(UnwritableSnafu)?;
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

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MOST_STATE_BYTES))
        .max_frame_size(Some(MOST_STATE_BYTES))
}
