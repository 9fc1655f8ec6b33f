//! A peer that says it knows more than others, and answers who asks for it with whatever a test wants.

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

/// Pause between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// How a faulty peer answers.
#[derive(Clone, Debug)]
pub enum FaultyAnswer {
    /// With these bytes.
    Bytes(Vec<u8>),
    /// Not at all: it closes the connection.
    Closes,
}

/// The peer; it is gone when this is dropped.
pub struct FaultyPeer {
    tasks: Vec<JoinHandle<()>>,
}

impl FaultyPeer {
    /// A peer at `address` that says to `target` that it knows every change up to `through`.
    pub async fn start(
        address: SocketAddrV4,
        target: SocketAddrV4,
        through: u64,
        answer: FaultyAnswer,
    ) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let socket = UdpSocket::bind(address).await.unwrap();
        let heartbeat = PeerHeartbeat {
            zone: "a".into(),
            reads: false,
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
        let answers = tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                tokio::spawn(answer_one(stream, answer.clone()));
            }
        });
        Self {
            tasks: vec![heartbeats, answers],
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

/// Answers one question; what the asker makes of it is the test's matter.
async fn answer_one(stream: TcpStream, answer: FaultyAnswer) {
    let Ok(mut socket) = accept_async(stream).await else {
        return;
    };
    let _question = socket.next().await;
    if let FaultyAnswer::Bytes(bytes) = answer {
        let _sent = socket.send(Message::binary(bytes)).await;
    }
    let _closed = socket.close(None).await;
}
