//! A peer that announces a newer state than it has, and replies to queries for it as a test
//! directs.

use std::net::SocketAddrV4;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use lagoonproxy_packet::peers::peer_datagram::PeerDatagram;
use lagoonproxy_packet::peers::peer_heartbeat::PeerHeartbeat;
use lagoonproxy_packet::state::store_position::StorePosition;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio_tungstenite::accept_async;
use tokio_tungstenite::tungstenite::Message;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// How a faulty peer replies to a query.
#[derive(Clone, Debug)]
pub enum FaultyReply {
    /// It sends these bytes.
    Bytes(Vec<u8>),
    /// It closes the connection without a reply.
    Closes,
}

/// A running faulty peer. It stops when this is dropped.
pub struct FaultyPeer {
    tasks: Vec<JoinHandle<()>>,
}

impl FaultyPeer {
    /// Starts a peer at `address` that announces to `target` a state up to the revision `through`.
    pub async fn start(
        address: SocketAddrV4,
        target: SocketAddrV4,
        through: u64,
        reply: FaultyReply,
    ) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let socket = UdpSocket::bind(address).await.unwrap();
        let heartbeat = PeerHeartbeat {
            zone: "a".into(),
            reads: false,
            confirmation: None,
            capacity: 1000,
            ready: true,
            seeks: false,
            through: StorePosition {
                era: 0,
                revision: through,
            },
            version: None,
            reader: None,
            named: Vec::new(),
            others: Vec::new(),
            reports: None,
        };
        let bytes = PeerDatagram::Heartbeat(heartbeat).encode().unwrap();
        let heartbeats = tokio::spawn(async move {
            loop {
                socket.send_to(&bytes, target).await.unwrap();
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        let replies = tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                tokio::spawn(reply_once(stream, reply.clone()));
            }
        });
        Self {
            tasks: vec![heartbeats, replies],
        }
    }
}

impl Drop for FaultyPeer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Replies to one query. Errors of the connection are ignored, because the host under test may
/// close it at any time.
async fn reply_once(stream: TcpStream, reply: FaultyReply) {
    let Ok(mut socket) = accept_async(stream).await else {
        return;
    };
    let _query = socket.next().await;
    if let FaultyReply::Bytes(bytes) = reply {
        let _sent = socket.send(Message::binary(bytes)).await;
    }
    let _closed = socket.close(None).await;
}
