//! Accepts connections to a control daemon from its entry daemon and from other control daemons.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::handshake::server::ErrorResponse;
use tokio_tungstenite::tungstenite::handshake::server::Request;
use tokio_tungstenite::tungstenite::handshake::server::Response;

use crate::control_link::EntryFeed;
use crate::peer_link::LinkEvent;
use crate::peer_link::LinkId;
use crate::peer_link::LinkIdentity;
use crate::peer_link::PEER_PATH;
use crate::peer_link::accept_link;

/// Accepts connections until the listener fails.
pub async fn accept_links(
    listener: &TcpListener,
    identity: LinkIdentity,
    feed: &EntryFeed,
    events: mpsc::Sender<LinkEvent>,
) -> std::io::Result<()> {
    let mut link: LinkId = 0;
    loop {
        let (stream, peer) = listener.accept().await?;
        // Accepted links have even numbers; links that this side opens have odd numbers.
        link += 2;
        let accepted = AcceptedStream {
            stream,
            peer,
            identity,
            link,
        };
        tokio::spawn(accepted.serve(feed.clone(), events.clone()));
    }
}

/// An accepted connection whose type is not known yet.
struct AcceptedStream {
    stream: TcpStream,
    peer: SocketAddr,
    identity: LinkIdentity,
    link: LinkId,
}

impl AcceptedStream {
    async fn serve(self, feed: EntryFeed, events: mpsc::Sender<LinkEvent>) {
        let mut path = String::new();
        #[expect(
            clippy::result_large_err,
            reason = "the library's type of this callback"
        )]
        let read_path = |request: &Request, response: Response| {
            path = request.uri().path().to_owned();
            Ok::<Response, ErrorResponse>(response)
        };
        let accepted = tokio_tungstenite::accept_hdr_async(self.stream, read_path).await;
        let Ok(socket) = accepted else {
            return;
        };
        if path == PEER_PATH {
            accept_link(self.identity, socket, self.link, events).await;
        } else if self.peer.ip().is_loopback() {
            // The entry daemon of this host does not authenticate, so only loopback is served.
            feed.serve(socket).await;
        }
    }
}
