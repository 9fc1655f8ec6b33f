//! Messages between the two daemons of an entry host, as CBOR over a WebSocket on loopback.

use std::sync::Arc;

use futures_util::SinkExt;
use futures_util::StreamExt;
use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::config_snapshot::HostView;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::sync::watch;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// A message from the control daemon to the entry daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlMessage {
    /// A configuration to apply.
    Config(Arc<ConfigSnapshot>),
    /// The list of entry hosts.
    Hosts(Arc<HostView>),
}

/// Why a message cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The message cannot be encoded.
    #[snafu(display("cannot encode a message to the other daemon: {source}"))]
    Encode {
        /// The codec's error.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The message cannot be decoded.
    #[snafu(display("cannot decode a message from the other daemon: {source}"))]
    Decode {
        /// The codec's error.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Encodes a message as a binary WebSocket message.
pub fn encode_message<T: Serialize>(message: &T) -> Result<Message, LinkError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).context(EncodeSnafu)?;
    Ok(Message::binary(bytes))
}

/// Decodes the bytes of a binary WebSocket message.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    ciborium::from_reader(bytes).context(DecodeSnafu)
}

/// The newest message of each kind, encoded once, for every entry daemon that connects.
///
/// An entry daemon that restarts gets the present configuration at once. With a queue of messages
/// it would have to wait for the next change.
#[derive(Clone)]
pub struct EntryFeed {
    hosts: watch::Sender<Option<Message>>,
    config: watch::Sender<Option<Message>>,
}

impl Default for EntryFeed {
    fn default() -> Self {
        Self {
            hosts: watch::Sender::new(None),
            config: watch::Sender::new(None),
        }
    }
}

impl EntryFeed {
    /// Replaces the newest message of the same kind.
    pub fn publish(&self, message: &ControlMessage) {
        let newest = match message {
            ControlMessage::Config(_) => &self.config,
            ControlMessage::Hosts(_) => &self.hosts,
        };
        match encode_message(message) {
            Ok(encoded) => {
                newest.send_replace(Some(encoded));
            }
            Err(error) => log::error!("{error}"),
        }
    }

    /// Sends the newest messages, and each newer message, until the link ends.
    pub async fn serve<S: AsyncRead + AsyncWrite + Unpin>(&self, mut socket: WebSocketStream<S>) {
        let mut hosts = self.hosts.subscribe();
        let mut config = self.config.subscribe();
        hosts.mark_changed();
        config.mark_changed();
        loop {
            let newest = tokio::select! {
                Ok(()) = hosts.changed() => hosts.borrow_and_update().clone(),
                Ok(()) = config.changed() => config.borrow_and_update().clone(),
                received = socket.next() => match received {
                    Some(Ok(_)) => None,
                    Some(Err(_)) | None => return,
                },
            };
            if let Some(message) = newest
                && socket.send(message).await.is_err()
            {
                return;
            }
        }
    }
}
