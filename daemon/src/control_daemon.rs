//! The control daemon: reads what the platform publishes and hands it to the entry daemon.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use lagoonproxy::config_snapshot::HostView;
use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy::ids::Version;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::published_config::PublishedHosts;
use lagoonproxy::result_code::ResultCode;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::broadcast;

use crate::control_link::ControlMessage;
use crate::control_link::encode_message;
use crate::daemon_exit::DaemonError;

const POLL_PAUSE: Duration = Duration::from_millis(200);
const BROADCAST_QUEUE: usize = 16;

/// Why the control daemon stops.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// An address cannot be bound.
    #[snafu(display("cannot bind {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The listener failed.
    #[snafu(display("the listener failed: {source}"))]
    Listener {
        /// The system's error.
        source: std::io::Error,
    },
}

impl DaemonError for ControlError {
    fn code(&self) -> ResultCode {
        match self {
            Self::Bind { .. } => ResultCode::AddressUnavailable,
            Self::Listener { .. } => ResultCode::SocketFailed,
        }
    }
}

/// A control daemon whose listener is bound.
pub struct ControlDaemon {
    platform_address: SocketAddr,
    listener: TcpListener,
}

impl ControlDaemon {
    /// Binds the listener that the settings name.
    pub async fn bind(settings: &ControlSettings) -> Result<Self, ControlError> {
        let address = settings.control_address;
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        Ok(Self {
            platform_address: settings.platform_address,
            listener,
        })
    }

    /// The address that was bound.
    pub fn address(&self) -> Result<SocketAddr, ControlError> {
        self.listener.local_addr().context(ListenerSnafu)
    }

    /// Serves until `shutdown` resolves.
    pub async fn run(self, shutdown: impl Future<Output = ()>) -> Result<(), ControlError> {
        let (sender, _receiver) = broadcast::channel(BROADCAST_QUEUE);
        let reader = tokio::spawn(poll_platform(self.platform_address, sender.clone()));
        let accepting = accept_links(&self.listener, &sender);
        let result = tokio::select! {
            result = accepting => result,
            () = shutdown => Ok(()),
        };
        reader.abort();
        result
    }
}

async fn accept_links(
    listener: &TcpListener,
    sender: &broadcast::Sender<ControlMessage>,
) -> Result<(), ControlError> {
    loop {
        let (stream, _peer) = listener.accept().await.context(ListenerSnafu)?;
        tokio::spawn(serve_link(stream, sender.subscribe()));
    }
}

async fn serve_link(stream: TcpStream, mut messages: broadcast::Receiver<ControlMessage>) {
    let Ok(mut socket) = tokio_tungstenite::accept_async(stream).await else {
        return;
    };
    while let Ok(message) = messages.recv().await {
        let Ok(encoded) = encode_message(&message) else {
            return;
        };
        if socket.send(encoded).await.is_err() {
            return;
        }
    }
}

async fn poll_platform(platform: SocketAddr, sender: broadcast::Sender<ControlMessage>) {
    let client = reqwest::Client::new();
    let mut newest: Version = 0;
    loop {
        let url = format!("http://{platform}/v1/config");
        if let Some(config) = fetch::<PublishedConfig>(&client, &url).await {
            publish_config(&config, &mut newest, &sender);
        }
        let url = format!("http://{platform}/v1/hosts");
        if let Some(hosts) = fetch::<PublishedHosts>(&client, &url).await {
            let _no_entry_daemon = sender.send(ControlMessage::Hosts(Arc::new(view_of(hosts))));
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

async fn fetch<T: DeserializeOwned>(client: &reqwest::Client, url: &str) -> Option<T> {
    let response = client.get(url).send().await.ok()?;
    response.json().await.ok()
}

fn publish_config(
    config: &PublishedConfig,
    newest: &mut Version,
    sender: &broadcast::Sender<ControlMessage>,
) {
    if config.version < *newest {
        return;
    }
    match config.compile() {
        Ok(snapshot) => {
            *newest = snapshot.version;
            let _no_entry_daemon = sender.send(ControlMessage::Config(Arc::new(snapshot)));
        }
        Err(error) => log::error!("configuration {} refused: {error}", config.version),
    }
}

fn view_of(list: PublishedHosts) -> HostView {
    let mut published = list.hosts;
    published.sort_unstable_by_key(|host| host.id);
    let alive = published
        .iter()
        .filter(|host| !host.leaving)
        .map(|host| host.id)
        .collect();
    HostView {
        version: list.version,
        published,
        alive,
    }
}
