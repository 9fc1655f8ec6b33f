//! A link between the control daemons of two hosts: CBOR over a websocket, both sides proved.

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

/// Path that peers open; the entry daemon opens another.
pub const PEER_PATH: &str = "/peer";
/// Longest time for opening a link and proving both sides.
const OPEN_LIMIT: Duration = Duration::from_secs(2);
/// Messages that may wait for a slow peer; a slower one is cut off and pulls later.
const LINK_QUEUE: usize = 256;

/// Number of a link, unique in one process.
pub type LinkId = u64;

/// What a host is and knows when it opens or accepts links.
#[derive(Clone, Copy)]
pub struct LinkIdentity {
    /// Its number.
    pub host: HostId,
    /// The key that the user's hosts share.
    pub key: SharedKey,
}

/// Something that happened to a link.
pub enum LinkEvent {
    /// Both sides are proved.
    Opened(OpenLink),
    /// A link could not be opened.
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
    /// A link ended.
    Closed {
        /// The peer.
        host: HostId,
        /// The link.
        link: LinkId,
    },
}

/// A link that messages can be sent over; it ends when this is dropped.
pub struct OpenLink {
    /// The peer.
    pub host: HostId,
    /// The link.
    pub link: LinkId,
    /// The side that opened it.
    pub opener: HostId,
    /// Takes messages for the peer.
    pub sender: mpsc::Sender<Bytes>,
}

#[derive(Serialize, Deserialize)]
struct ProofMessage {
    greeting: LinkGreeting,
    /// Absent in the first message, which has nothing to prove yet.
    proof: Option<u128>,
}

/// Opens a link and carries it until it ends; `peer` is the host expected there, if it is known.
pub async fn open_link(
    identity: LinkIdentity,
    peer: Option<HostId>,
    address: SocketAddr,
    link: LinkId,
    events: mpsc::Sender<LinkEvent>,
) {
    let opened = tokio::time::timeout(OPEN_LIMIT, connect(identity, address)).await;
    let opened = opened.ok().flatten();
    let opened = opened.filter(|(_socket, host)| peer.is_none_or(|peer| peer == *host));
    match (opened, peer) {
        (Some((socket, host)), _) => carry_link(socket, host, identity.host, link, events).await,
        (None, Some(peer)) => send_event(&events, LinkEvent::Failed(peer)).await,
        (None, None) => {}
    }
}

/// Proves an accepted link and carries it until it ends.
pub async fn accept_link<S: AsyncRead + AsyncWrite + Unpin>(
    identity: LinkIdentity,
    mut socket: WebSocketStream<S>,
    link: LinkId,
    events: mpsc::Sender<LinkEvent>,
) {
    let proved = tokio::time::timeout(OPEN_LIMIT, prove_acceptor(identity, &mut socket)).await;
    let Ok(Some(host)) = proved else {
        return;
    };
    carry_link(socket, host, host, link, events).await;
}

async fn connect(
    identity: LinkIdentity,
    address: SocketAddr,
) -> Option<(WebSocketStream<impl AsyncRead + AsyncWrite + Unpin>, HostId)> {
    let url = format!("ws://{address}{PEER_PATH}");
    let (mut socket, _response) = tokio_tungstenite::connect_async(url).await.ok()?;
    let own = greeting(identity);
    send_proof(&mut socket, own, None).await?;
    let answer = read_proof(&mut socket).await?;
    let peer = answer.greeting;
    if answer.proof? != link_proof(identity.key, LinkSide::Acceptor, own, peer) {
        return None;
    }
    let proof = link_proof(identity.key, LinkSide::Opener, own, peer);
    send_proof(&mut socket, own, Some(proof)).await?;
    Some((socket, peer.host))
}

async fn prove_acceptor<S: AsyncRead + AsyncWrite + Unpin>(
    identity: LinkIdentity,
    socket: &mut WebSocketStream<S>,
) -> Option<HostId> {
    let peer = read_proof(socket).await?.greeting;
    let own = greeting(identity);
    let proof = link_proof(identity.key, LinkSide::Acceptor, peer, own);
    send_proof(socket, own, Some(proof)).await?;
    let answer = read_proof(socket).await?;
    let expected = link_proof(identity.key, LinkSide::Opener, peer, own);
    let proved = answer.proof? == expected && answer.greeting == peer;
    proved.then_some(peer.host)
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

async fn carry_link<S: AsyncRead + AsyncWrite + Unpin>(
    socket: WebSocketStream<S>,
    host: HostId,
    opener: HostId,
    link: LinkId,
    events: mpsc::Sender<LinkEvent>,
) {
    let (sender, mut outgoing) = mpsc::channel::<Bytes>(LINK_QUEUE);
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

/// The receiver only goes away with the daemon.
async fn send_event(events: &mpsc::Sender<LinkEvent>, event: LinkEvent) {
    let _daemon_ended = events.send(event).await;
}
