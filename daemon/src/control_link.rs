//! Messages between the two daemons of one entry host, in CBOR over a websocket on loopback.

use std::sync::Arc;

use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::config_snapshot::HostView;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use tokio_tungstenite::tungstenite::Message;

/// What the control daemon tells the entry daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlMessage {
    /// A configuration to put in force.
    Config(Arc<ConfigSnapshot>),
    /// The entry hosts believed usable.
    Hosts(Arc<HostView>),
}

/// Why a message of the link cannot be read or written.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The message cannot be encoded.
    #[snafu(display("cannot encode a message to the other daemon: {source}"))]
    Encode {
        /// The codec's error.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The message cannot be decoded.
    #[snafu(display("cannot decode a message of the other daemon: {source}"))]
    Decode {
        /// The codec's error.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Encodes a message as a binary websocket message.
pub fn encode_message<T: Serialize>(message: &T) -> Result<Message, LinkError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).context(EncodeSnafu)?;
    Ok(Message::binary(bytes))
}

/// Decodes a binary websocket message.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    ciborium::from_reader(bytes).context(DecodeSnafu)
}
