//! Links between control daemons: CBOR over a WebSocket with mutual authentication.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use lagoonproxy::ids::HostId;
use lagoonproxy::peer_proof::LinkGreeting;
use lagoonproxy::peer_proof::LinkSide;
use lagoonproxy::peer_proof::link_proof;
use lagoonproxy::shared_key::SharedKey;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::control_link::decode_message;
use crate::control_link::encode_message;

/// WebSocket path of links between peers; the entry daemon uses another path.
pub const PEER_PATH: &str = "/peer";
/// Maximum time to open a link and to authenticate both sides.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of messages queued for a peer. A slower peer is disconnected and pulls the
/// changes when it is linked again.
const LINK_QUEUE_LEN: usize = 256;

/// Number of a link, unique within a process.
pub type LinkId = u64;

/// The identity and key that a host authenticates its links with.
#[derive(Clone, Copy)]
pub struct LinkIdentity {
    /// The host's number.
    pub host: HostId,
    /// The key that the user's hosts share.
    pub key: SharedKey,
}

/// An event of a link.
pub enum LinkEvent {
    /// The link is open and both sides are authenticated.
    Opened(OpenLink),
    /// The link to this host could not be opened.
    Failed(HostId),
    /// A message arrived.
    Message {
        /// The peer.
        host: HostId,
        /// The link.
        link: LinkId,
        /// The message.
        bytes: Bytes,
    },
    /// The link was closed.
    Closed {
        /// The peer.
        host: HostId,
        /// The link.
        link: LinkId,
    },
}

/// An open link to a peer. It is closed when this value is dropped.
pub struct OpenLink {
    /// The peer.
    pub host: HostId,
    /// The link.
    pub link: LinkId,
    /// The host that opened the link.
    pub opener: HostId,
    /// Queue of messages to the peer.
    pub sender: mpsc::Sender<Bytes>,
}

#[derive(Serialize, Deserialize)]
struct ProofMessage {
    greeting: LinkGreeting,
    /// `None` in the first message, which is sent before the nonce of the other side is known.
    proof: Option<u128>,
}

/// Opens a link and runs it until it ends. `peer` is the expected host, if it is known.
pub async fn open_link(
    identity: LinkIdentity,
    peer: Option<HostId>,
    address: SocketAddr,
    link: LinkId,
    events: mpsc::Sender<LinkEvent>,
) {
    let opened = tokio::time::timeout(OPEN_TIMEOUT, connect(identity, address)).await;
    let opened = opened.ok().flatten();
    let opened = opened.filter(|(_socket, host)| peer.is_none_or(|peer| peer == *host));
    match (opened, peer) {
        (Some((socket, host)), _) => run_link(socket, host, identity.host, link, events).await,
        (None, Some(peer)) => send_event(&events, LinkEvent::Failed(peer)).await,
        (None, None) => {}
    }
}

/// Authenticates an accepted link and runs it until it ends.
pub async fn accept_link<S: AsyncRead + AsyncWrite + Unpin>(
    identity: LinkIdentity,
    mut socket: WebSocketStream<S>,
    link: LinkId,
    events: mpsc::Sender<LinkEvent>,
) {
    let authenticated =
        tokio::time::timeout(OPEN_TIMEOUT, authenticate_accepted(identity, &mut socket)).await;
    let Ok(Some(host)) = authenticated else {
        return;
    };
    run_link(socket, host, host, link, events).await;
}

async fn connect(
    identity: LinkIdentity,
    address: SocketAddr,
) -> Option<(WebSocketStream<impl AsyncRead + AsyncWrite + Unpin>, HostId)> {
    let url = format!("ws://{address}{PEER_PATH}");
    let (mut socket, _response) = tokio_tungstenite::connect_async(url).await.ok()?;
    let own = greeting(identity);
    send_proof(&mut socket, own, None).await?;
    let reply = read_proof(&mut socket).await?;
    let peer = reply.greeting;
    if reply.proof? != link_proof(identity.key, LinkSide::Acceptor, own, peer) {
        return None;
    }
    let proof = link_proof(identity.key, LinkSide::Opener, own, peer);
    send_proof(&mut socket, own, Some(proof)).await?;
    Some((socket, peer.host))
}

async fn authenticate_accepted<S: AsyncRead + AsyncWrite + Unpin>(
    identity: LinkIdentity,
    socket: &mut WebSocketStream<S>,
) -> Option<HostId> {
    let peer = read_proof(socket).await?.greeting;
    let own = greeting(identity);
    let proof = link_proof(identity.key, LinkSide::Acceptor, peer, own);
    send_proof(socket, own, Some(proof)).await?;
    let reply = read_proof(socket).await?;
    let expected = link_proof(identity.key, LinkSide::Opener, peer, own);
    let authenticated = reply.proof? == expected && reply.greeting == peer;
    authenticated.then_some(peer.host)
}

fn greeting(identity: LinkIdentity) -> LinkGreeting {
    LinkGreeting {
        host: identity.host,
        nonce: rand::random(),
    }
}

async fn send_proof<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
    greeting: LinkGreeting,
    proof: Option<u128>,
) -> Option<()> {
    let message = encode_message(&ProofMessage { greeting, proof }).ok()?;
    socket.send(message).await.ok()
}

async fn read_proof<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
) -> Option<ProofMessage> {
    let Message::Binary(bytes) = socket.next().await?.ok()? else {
        return None;
    };
    decode_message(&bytes).ok()
}

async fn run_link<S: AsyncRead + AsyncWrite + Unpin>(
    socket: WebSocketStream<S>,
    host: HostId,
    opener: HostId,
    link: LinkId,
    events: mpsc::Sender<LinkEvent>,
) {
    let (sender, mut outgoing) = mpsc::channel::<Bytes>(LINK_QUEUE_LEN);
    let opened = OpenLink {
        host,
        link,
        opener,
        sender,
    };
    send_event(&events, LinkEvent::Opened(opened)).await;
    let (mut sink, mut stream) = socket.split();
    loop {
        tokio::select! {
            message = outgoing.recv() => {
                let Some(bytes) = message else { break };
                if sink.send(Message::Binary(bytes)).await.is_err() {
                    break;
                }
            }
            received = stream.next() => match received {
                Some(Ok(Message::Binary(bytes))) => {
                    send_event(&events, LinkEvent::Message { host, link, bytes }).await;
                }
                Some(Ok(Message::Close(_)) | Err(_)) | None => break,
                Some(Ok(_)) => {}
            },
        }
    }
    send_event(&events, LinkEvent::Closed { host, link }).await;
}

/// Sends an event to the daemon. This fails only when the daemon stops, because it owns the
/// receiver.
async fn send_event(events: &mpsc::Sender<LinkEvent>, event: LinkEvent) {
    let _daemon_ended = events.send(event).await;
}
