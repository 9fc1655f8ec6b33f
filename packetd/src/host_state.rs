//! What the tasks of the process share; all run on one thread.

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

/// What the tasks share. No borrow is held over a wait.
pub struct HostState {
    /// The decisions.
    pub core: RefCell<PacketCore>,
    /// Counters.
    pub metrics: HostMetrics,
    /// The settings in force.
    pub settings: RefCell<Rc<HostSettings>>,
    /// The process was asked to stop.
    pub stopping: Cell<bool>,
    /// The last call of the store failed.
    pub store_lost: Cell<bool>,
    /// A peer is being asked for state.
    pub asking: Cell<bool>,
    /// When the last packet came.
    pub last_packet: Cell<Instant>,
    /// Wakes who waits for the first whole state.
    pub became_ready: Notify,
    /// What was read from the store and is to be passed on to the hosts of the zone.
    pub to_forward: RefCell<Vec<StateUpdate>>,
    /// Wakes who passes it on.
    pub read_something: Notify,
    /// SYNs that wait for the reply of a dispatcher.
    pub parked: ParkedPackets,
    /// Wakes who sends queries and events to dispatchers.
    pub dispatch_due: Notify,
    /// Wakes who asks peers for state: a host without one has heard of a peer.
    pub heard_peer: Notify,
}

impl HostState {
    /// The state of a process that has just started.
    pub fn new(settings: HostSettings, policy: PolicyConfig) -> Self {
        Self {
            core: RefCell::new(PacketCore::new(&settings, policy)),
            metrics: HostMetrics::default(),
            settings: RefCell::new(Rc::new(settings)),
            stopping: Cell::new(false),
            store_lost: Cell::new(false),
            asking: Cell::new(false),
            last_packet: Cell::new(Instant::now()),
            became_ready: Notify::new(),
            to_forward: RefCell::new(Vec::new()),
            read_something: Notify::new(),
            parked: ParkedPackets::default(),
            dispatch_due: Notify::new(),
            heard_peer: Notify::new(),
        }
    }

    /// Whether the fabric should send packets here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.core.borrow().is_ready()
    }

    /// The state for operators.
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

    /// Merges an update, and forwards it to the hosts of the zone if it was new; true if it was.
    pub fn merge_and_forward(&self, update: StateUpdate) -> bool {
        let before = self.core.borrow().view().query();
        let is_new = self.merge(&update);
        if is_new {
            let update = self.core.borrow().forwarded_update(update, &before);
            self.to_forward.borrow_mut().push(update);
            self.read_something.notify_one();
        }
        is_new
    }

    /// Merges an update; true if it was new.
    pub fn merge(&self, update: &StateUpdate) -> bool {
        let mut output = PacketOutput::default();
        let mut core = self.core.borrow_mut();
        let was_ready = core.is_ready();
        let is_new = core.merge(Instant::now(), update, &mut output);
        log_events(&output.events, None, &self.metrics);
        if !was_ready && core.is_ready() {
            log::info!(through:% = core.view().through(); "ready");
            self.became_ready.notify_waiters();
        }
        is_new
    }

    /// Puts changed settings in force.
    pub fn reload(&self, settings: HostSettings) {
        if settings == **self.settings.borrow() {
            return;
        }
        log::info!(store:% = settings.store_address, seeds = settings.seed_peers.len(); "settings reloaded");
        self.core.borrow_mut().reload(&settings);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Lets time pass; returns the flows to be ended.
    pub fn tick(&self) -> Vec<FlowReset> {
        let mut output = PacketOutput::default();
        let mut core = self.core.borrow_mut();
        core.tick(Instant::now(), &mut output);
        log_events(&output.events, None, &self.metrics);
        output.resets
    }
}
