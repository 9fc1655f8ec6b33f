//! The control daemon, which does the network I/O of the control core.
//!
//! It calls the platform, keeps links to the control daemons of other hosts, and sends its entry
//! daemon the newest configuration and host list, at once when the entry daemon connects.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use lagoonproxy::config_scope::scope_prefixes;
use lagoonproxy::control_core::CONTROL_TICK;
use lagoonproxy::control_core::ControlCore;
use lagoonproxy::control_core::ControlIdentity;
use lagoonproxy::control_event::CallId;
use lagoonproxy::control_event::ControlAction;
use lagoonproxy::control_event::ControlEvent;
use lagoonproxy::control_event::PlatformRequest;
use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy::ids::HostId;
use lagoonproxy::result_code::ResultCode;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;

use crate::admin_server::bind_admin;
use crate::admin_server::serve_admin;
use crate::control_accept::accept_links;
use crate::control_admin::ControlAdmin;
use crate::control_link::ControlMessage;
use crate::control_link::EntryFeed;
use crate::daemon_exit::DaemonError;
use crate::peer_link::LinkEvent;
use crate::peer_link::LinkIdentity;
use crate::peer_link::open_link;
use crate::peer_registry::PeerRegistry;
use crate::platform_client::CallResult;
use crate::platform_client::PlatformClient;

/// Maximum number of events that wait for the core.
const EVENT_QUEUE_LEN: usize = 1_024;

/// Time between attempts to connect to the seed peers in the settings.
const SEED_RETRY_INTERVAL: Duration = Duration::from_secs(5);

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
    #[snafu(display("listener error: {source}"))]
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

/// A control daemon whose listeners are bound.
pub struct ControlDaemon {
    settings: ControlSettings,
    listener: TcpListener,
    admin_listener: Option<TcpListener>,
}

impl ControlDaemon {
    /// Binds the listeners at the addresses in the settings.
    pub async fn bind(settings: &ControlSettings) -> Result<Self, ControlError> {
        let address = settings.control_address;
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let admin_listener = match settings.admin_address {
            Some(address) => Some(bind_admin(address).await.context(BindSnafu { address })?),
            None => None,
        };
        Ok(Self {
            settings: settings.clone(),
            listener,
            admin_listener,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> Result<SocketAddr, ControlError> {
        self.listener.local_addr().context(ListenerSnafu)
    }

    /// Returns the address of metrics, health and status, if the settings have one.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        let listener = self.admin_listener.as_ref()?;
        listener.local_addr().ok()
    }

    /// Serves until `shutdown` resolves.
    pub async fn run(self, shutdown: impl Future<Output = ()>) -> Result<(), ControlError> {
        let (links, link_events) = mpsc::channel(EVENT_QUEUE_LEN);
        let mut shell = ControlShell::new(&self.settings, links.clone());
        let admin = self.admin_listener.map(|listener| {
            let source = Arc::clone(&shell.admin);
            TaskGuard(tokio::spawn(serve_admin(listener, source)))
        });
        let feed = shell.entry_feed.clone();
        let accepting = accept_links(&self.listener, shell.identity, &feed, links);
        let accepting = async { accepting.await.context(ListenerSnafu) };
        let result = tokio::select! {
            result = accepting => result,
            () = shell.serve(link_events) => Ok(()),
            () = shutdown => Ok(()),
        };
        drop(admin);
        result
    }
}

/// Aborts a task when it is dropped.
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The core with the network clients that execute its actions.
struct ControlShell {
    core: ControlCore,
    identity: LinkIdentity,
    seed_peers: Vec<SocketAddr>,
    next_seed_attempt: Instant,
    peers: PeerRegistry,
    platform: PlatformClient,
    entry_feed: EntryFeed,
    admin: Arc<ControlAdmin>,
    links: mpsc::Sender<LinkEvent>,
    response_sender: mpsc::Sender<(CallId, CallResult)>,
    responses: mpsc::Receiver<(CallId, CallResult)>,
    next_link: u64,
}

impl ControlShell {
    fn new(settings: &ControlSettings, links: mpsc::Sender<LinkEvent>) -> Self {
        let (response_sender, responses) = mpsc::channel(EVENT_QUEUE_LEN);
        Self {
            core: ControlCore::new(Instant::now(), core_identity(settings)),
            identity: LinkIdentity {
                host: settings.host,
                key: settings.shared_key,
            },
            seed_peers: settings.seed_peers.clone(),
            next_seed_attempt: Instant::now(),
            peers: PeerRegistry::default(),
            platform: PlatformClient::new(settings.platform_address),
            entry_feed: EntryFeed::default(),
            admin: Arc::default(),
            links,
            response_sender,
            responses,
            next_link: 1,
        }
    }

    async fn serve(&mut self, mut link_events: mpsc::Receiver<LinkEvent>) {
        let mut ticks = tokio::time::interval(CONTROL_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => {
                    self.admin.update(&self.core);
                    self.connect_seed_peers();
                    Some(ControlEvent::Tick)
                }
                Some(event) = link_events.recv() => self.handle_link_event(event),
                Some((call, end)) = self.responses.recv() => Some(ControlEvent::PlatformResponse {
                    call,
                    answer: end.response,
                    bytes: end.bytes,
                }),
            };
            if let Some(event) = event {
                self.handle(event);
            }
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) -> Option<ControlEvent> {
        match event {
            LinkEvent::Opened(open) => {
                let host = open.host;
                let is_in_use = self.peers.insert(open);
                is_in_use.then_some(ControlEvent::PeerUp(host))
            }
            LinkEvent::Failed(host) => Some(ControlEvent::PeerDown(host)),
            LinkEvent::Closed { host, link } => {
                let is_in_use = self.peers.remove(host, link);
                is_in_use.then_some(ControlEvent::PeerDown(host))
            }
            LinkEvent::Message { host, link, bytes } => {
                let current = self.peers.is_current(host, link);
                current.then_some(ControlEvent::PeerMessage { host, bytes })
            }
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let mut actions = Vec::new();
        self.core.handle(Instant::now(), event, &mut actions);
        for action in actions {
            self.execute_action(action);
        }
    }

    fn execute_action(&mut self, action: ControlAction) {
        match action {
            ControlAction::Connect { host, address } => self.connect(host, address),
            ControlAction::Disconnect(host) => self.peers.disconnect(host),
            ControlAction::SendPeer { host, bytes, .. } => {
                if !self.peers.send(host, bytes) {
                    self.peers.disconnect(host);
                    self.handle(ControlEvent::PeerDown(host));
                }
            }
            ControlAction::CallPlatform { call, request } => self.call_platform(call, request),
            ControlAction::Config(config) => {
                log::info!(version = config.version; "configuration in force");
                self.entry_feed.publish(&ControlMessage::Config(config));
            }
            ControlAction::Hosts(hosts) => {
                self.entry_feed.publish(&ControlMessage::Hosts(hosts));
            }
            ControlAction::Refused { version, fault } => {
                let code = ResultCode::ConfigInvalid.number();
                log::error!(code, version; "published state rejected as a whole: {fault}");
            }
            ControlAction::Count(code) => self.admin.count_result(code),
        }
    }

    fn connect(&mut self, host: HostId, address: SocketAddr) {
        let link = self.next_link();
        let links = self.links.clone();
        tokio::spawn(open_link(self.identity, Some(host), address, link, links));
    }

    /// Connects to the seed peers in the settings while there is neither configuration nor a link.
    /// A host that starts while the platform is unreachable has no host list to find peers in.
    fn connect_seed_peers(&mut self) {
        let now = Instant::now();
        let status = self.core.status();
        if status.ready || status.links > 0 || now < self.next_seed_attempt {
            return;
        }
        self.next_seed_attempt = now + SEED_RETRY_INTERVAL;
        for address in self.seed_peers.clone() {
            let link = self.next_link();
            let links = self.links.clone();
            tokio::spawn(open_link(self.identity, None, address, link, links));
        }
    }

    /// Returns the number of the next link that this side opens. It is odd; accepted links have
    /// even numbers.
    fn next_link(&mut self) -> u64 {
        self.next_link += 2;
        self.next_link
    }

    fn call_platform(&self, call: CallId, request: PlatformRequest) {
        let client = self.platform.clone();
        let responses = self.response_sender.clone();
        tokio::spawn(async move {
            let end = client.call(&request).await;
            // Sending fails only when the daemon stops, because it owns the receiver.
            let _daemon_ended = responses.send((call, end)).await;
        });
    }
}

fn core_identity(settings: &ControlSettings) -> ControlIdentity {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    ControlIdentity {
        host: settings.host,
        zone: settings.zone.clone(),
        prefixes: scope_prefixes(&settings.region, &settings.zones),
        send_rate: u32::try_from(settings.byte_budget).unwrap_or(u32::MAX),
        read_rate: u32::try_from(settings.read_budget).unwrap_or(u32::MAX),
        // Larger at each start unless the host's clock is set back by days.
        first_heartbeat: since_epoch.map_or(0, |since| since.as_secs()),
        seed: rand::random(),
    }
}
