//! The state shared by the tasks of the process, which all run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use lagoonproxy_packet::host_settings::HostSettings;
use lagoonproxy_packet::packet_action::FlowReset;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_core::PacketCore;
use lagoonproxy_packet::packet_status::PacketStatus;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::state::state_snapshot::StateUpdate;
use tokio::sync::Notify;

use crate::event_log::log_events;
use crate::host_metrics::HostMetrics;
use crate::parked_packets::ParkedPackets;

/// The state shared by the tasks. No borrow of a field is held across an await point.
pub struct HostState {
    /// The core, which makes the decisions.
    pub core: RefCell<PacketCore>,
    /// The metrics.
    pub metrics: HostMetrics,
    /// The settings in force.
    pub settings: RefCell<Rc<HostSettings>>,
    /// Whether the process has received a stop signal.
    pub stopping: Cell<bool>,
    /// Whether the last call to the store failed.
    pub store_lost: Cell<bool>,
    /// Time of the store's last response to this host; `None` before the first.
    pub store_responded_at: Cell<Option<Instant>>,
    /// Whether a request for a peer's state is in progress.
    pub state_requested: Cell<bool>,
    /// Time of the last packet.
    pub last_packet: Cell<Instant>,
    /// Notified when the host has its first complete state.
    pub became_ready: Notify,
    /// New state updates to forward to the hosts of the zone.
    pub to_forward: RefCell<Vec<StateUpdate>>,
    /// Notified when there is an update to forward.
    pub forward_due: Notify,
    /// SYNs that wait for a dispatcher's reply.
    pub parked: ParkedPackets,
    /// Notified when there are dispatch messages to send.
    pub dispatch_due: Notify,
    /// Notified when state may be requested from a peer: a host without state has found a peer, or
    /// a previous request has ended.
    pub state_request_due: Notify,
}

impl HostState {
    /// Creates the state of a process at its start.
    pub fn new(settings: HostSettings, policy: PolicyConfig) -> Self {
        Self {
            core: RefCell::new(PacketCore::new(&settings, policy)),
            metrics: HostMetrics::default(),
            settings: RefCell::new(Rc::new(settings)),
            stopping: Cell::new(false),
            store_lost: Cell::new(false),
            store_responded_at: Cell::new(None),
            state_requested: Cell::new(false),
            last_packet: Cell::new(Instant::now()),
            became_ready: Notify::new(),
            to_forward: RefCell::new(Vec::new()),
            forward_due: Notify::new(),
            parked: ParkedPackets::default(),
            dispatch_due: Notify::new(),
            state_request_due: Notify::new(),
        }
    }

    /// Whether the host is ready to receive packets: it has a complete state and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.core.borrow().is_ready()
    }

    /// Returns the status for operators.
    pub fn status(&self) -> PacketStatus {
        let settings = self.settings.borrow();
        PacketStatus {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            ready: self.is_ready(),
            stopping: self.stopping.get(),
            ..PacketStatus::of(&self.core.borrow(), Instant::now())
        }
    }

    /// Merges an update, and forwards it to the hosts of the zone if it was new. Returns whether it
    /// was.
    pub fn merge_and_forward(&self, update: StateUpdate) -> bool {
        let before = self.core.borrow().snapshot().query();
        let is_new = self.merge(&update);
        if is_new {
            let update = self.core.borrow().forwarded_update(update, &before);
            self.to_forward.borrow_mut().push(update);
            self.forward_due.notify_one();
        }
        is_new
    }

    /// Merges an update. Returns whether it was new.
    pub fn merge(&self, update: &StateUpdate) -> bool {
        let mut output = PacketOutput::default();
        let mut core = self.core.borrow_mut();
        let was_ready = core.is_ready();
        let is_new = core.merge(Instant::now(), update, &mut output);
        log_events(&output.events, None, &self.metrics);
        if !was_ready && core.is_ready() {
            log::info!(through:% = core.snapshot().through(); "ready");
            self.became_ready.notify_waiters();
        }
        is_new
    }

    /// Applies new settings; does nothing if they are unchanged.
    pub fn reload(&self, settings: HostSettings) {
        if settings == **self.settings.borrow() {
            return;
        }
        log::info!(store:% = settings.store_address, seeds = settings.seed_peers.len(); "settings reloaded");
        self.core.borrow_mut().reload(&settings);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Runs the periodic work of the core. Returns the flows to reset.
    pub fn tick(&self) -> Vec<FlowReset> {
        let mut output = PacketOutput::default();
        let mut core = self.core.borrow_mut();
        core.tick(Instant::now(), &mut output);
        log_events(&output.events, None, &self.metrics);
        output.resets
    }
}
