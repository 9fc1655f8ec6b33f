//! Hands published state from host to host, for one that the store turns away or does not reach.
//!
//! One question and one answer over a websocket, in CBOR; used so seldom that no connection is
//! kept.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::ids::Revision;
use lagoonproxy_packet::published_view::ViewUpdate;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::host_state::HostState;

/// How long one exchange may take; peers are milliseconds away, and another may be asked next.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(1);

/// Most bytes of a state: 5,000 upstreams of 200 bytes and 5,000 routes of 100 fit four times.
const MOST_STATE_BYTES: usize = 8 * 1024 * 1024;

/// Buffer of a connection in each direction; the library's own are 128 KiB.
const BUFFER_BYTES: usize = 4 * 1024;

/// Pause after a connection that could not be taken, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Why a transfer failed.
type TransferFault = Box<dyn std::error::Error>;

/// Answers peers that ask, for as long as the process lives.
pub async fn serve(state: Rc<HostState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::task::spawn_local(serve_one(state.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a peer: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Asks a peer for what this host is missing, and takes it in.
pub async fn ask(state: &HostState, peer: SocketAddrV4) {
    let after = state.core.borrow().view().through();
    let answer = timeout(EXCHANGE_LIMIT, question(peer, after)).await;
    let fault = match answer {
        Ok(Ok(update)) => {
            log::info!(peer:% = peer, after, through = update.through, items = update.items.len(); "state from a peer");
            state.join_and_pass_on(update);
            return;
        }
        Ok(Err(fault)) => fault.to_string(),
        Err(_elapsed) => "no answer in time".to_owned(),
    };
    let code = ResultCode::SourceUnreachable;
    state.metrics.count_result(code);
    log::warn!(code = code.number(), peer:% = peer, after; "no state from a peer: {fault}");
}

async fn question(peer: SocketAddrV4, after: Revision) -> Result<ViewUpdate, TransferFault> {
    let stream = TcpStream::connect(peer).await?;
    let url = format!("ws://{peer}/state");
    let (mut socket, _response) = client_async_with_config(url, stream, Some(config())).await?;
    send(&mut socket, &after).await?;
    receive(&mut socket).await
}

async fn serve_one(state: Rc<HostState>, stream: TcpStream) {
    let answer = timeout(EXCHANGE_LIMIT, answer(&state, stream)).await;
    if let Ok(Err(fault)) = answer {
        log::info!("a peer's question failed: {fault}");
    }
}

async fn answer(state: &HostState, stream: TcpStream) -> Result<(), TransferFault> {
    let mut socket = accept_async_with_config(stream, Some(config())).await?;
    let after: Revision = receive(&mut socket).await?;
    let update = state.core.borrow().view().update_since(after);
    send(&mut socket, &update).await?;
    socket.close(None).await?;
    Ok(())
}

async fn send(
    socket: &mut WebSocketStream<TcpStream>,
    value: &impl serde::Serialize,
) -> Result<(), TransferFault> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)?;
    socket.send(Message::binary(bytes)).await?;
    Ok(())
}

async fn receive<T: serde::de::DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<T, TransferFault> {
    let message = socket.next().await.ok_or("the peer closed")??;
    Ok(ciborium::from_reader(message.into_data().as_ref())?)
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MOST_STATE_BYTES))
        .max_frame_size(Some(MOST_STATE_BYTES))
}
