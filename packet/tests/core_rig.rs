//! A test rig that runs one core in virtual time.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::host_settings::HostSettings;
use lagoonproxy_packet::ids::FlowTag;
use lagoonproxy_packet::ids::Revision;
use lagoonproxy_packet::ids::StoreEra;
use lagoonproxy_packet::ids::UpstreamName;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::FlowReset;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_core::PacketCore;
use lagoonproxy_packet::packet_head::PacketHead;
use lagoonproxy_packet::packet_head::PacketKind;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::routes::route_config::RequestKind;
use lagoonproxy_packet::routes::route_config::RequestPriority;
use lagoonproxy_packet::routes::route_config::RouteConfig;
use lagoonproxy_packet::routes::route_config::ServiceRoute;
use lagoonproxy_packet::routes::route_config::ServiceShare;
use lagoonproxy_packet::state::state_snapshot::ItemContent;
use lagoonproxy_packet::state::state_snapshot::ItemKey;
use lagoonproxy_packet::state::state_snapshot::PublishedItem;
use lagoonproxy_packet::state::state_snapshot::StateUpdate;
use lagoonproxy_packet::state::store_position::StorePosition;
use lagoonproxy_packet::upstreams::upstream_entry::EntryState;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;
use lagoonproxy_packet::upstreams::upstream_table::flow_tag;

/// The host's zone.
pub const ZONE: &str = "a";

/// Returns a position in the first era.
pub fn at(revision: Revision) -> StorePosition {
    in_era(0, revision)
}

/// Returns a position in an era.
pub fn in_era(era: StoreEra, revision: Revision) -> StorePosition {
    StorePosition { era, revision }
}

/// Returns the address of the route to the `ledger` service.
pub fn ledger() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Returns the address of the route to the `certs` service.
pub fn certs() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

/// Returns the address of the caller with this number.
pub fn caller(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1000 + number)
}

/// Returns the name of the upstream with this number.
pub fn upstream_name(number: u8) -> UpstreamName {
    format!("i-{number:02x}").into()
}

/// Returns the tag of the upstream with this number.
pub fn tag(number: u8) -> FlowTag {
    flow_tag(&upstream_name(number))
}

/// Returns the address of the upstream with this number.
pub fn upstream_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, number), 8080)
}

/// Returns the registration of a ready upstream in the host's zone.
pub fn entry(number: u8, service: &str) -> UpstreamEntry {
    UpstreamEntry {
        name: upstream_name(number),
        number: u64::from(number),
        service: service.into(),
        address: upstream_address(number),
        zone: ZONE.into(),
        slots: 2,
        state: EntryState::Ready,
        warmup_left: Duration::ZERO,
        born: Some(1),
        write_count: 1,
    }
}

/// Returns a configuration in which each route has one service.
pub fn routes(version: u64, routes: &[(SocketAddrV4, &str)]) -> RouteConfig {
    let routes = routes.iter().map(|(address, service)| ServiceRoute {
        address: *address,
        shares: vec![ServiceShare {
            service: (*service).into(),
            weight: 1,
        }],
        target: Some(Duration::from_millis(150)),
        priority: RequestPriority::LEAST_URGENT,
        kind: RequestKind::default(),
        timeout: None,
    });
    RouteConfig {
        version,
        routes: routes.collect(),
        flow_idle: Duration::from_secs(15),
        warmups: Vec::new(),
        connection_limits: Vec::new(),
        field_faults: Vec::new(),
    }
}

/// Returns a configuration with routes to `ledger` and `certs`.
pub fn default_routes(version: u64) -> RouteConfig {
    routes(version, &[(ledger(), "ledger"), (certs(), "certs")])
}

/// Returns the published item of a configuration.
pub fn routes_item(revision: Revision, config: RouteConfig) -> PublishedItem {
    PublishedItem {
        key: ItemKey::Routes,
        position: at(revision),
        content: ItemContent::Routes(Arc::new(config)),
    }
}

/// Returns the published item of a registration.
pub fn upstream_item(revision: Revision, entry: UpstreamEntry) -> PublishedItem {
    PublishedItem {
        key: ItemKey::Upstream(entry.name.clone()),
        position: at(revision),
        content: ItemContent::Upstream(Arc::new(entry)),
    }
}

/// Returns the published item of a deleted registration.
pub fn removed_item(revision: Revision, number: u8) -> PublishedItem {
    PublishedItem {
        key: ItemKey::Upstream(upstream_name(number)),
        position: at(revision),
        content: ItemContent::Removed,
    }
}

/// Returns the published item of a zone's evacuation.
pub fn evacuation_item(revision: Revision, zone: &str) -> PublishedItem {
    PublishedItem {
        key: ItemKey::Evacuation(zone.into()),
        position: at(revision),
        content: ItemContent::Evacuated,
    }
}

/// Returns the published item of an evacuation that has ended.
pub fn restored_item(revision: Revision, zone: &str) -> PublishedItem {
    PublishedItem {
        content: ItemContent::Removed,
        ..evacuation_item(revision, zone)
    }
}

/// Returns an update with the whole state at a revision.
pub fn whole(through: Revision, items: Vec<PublishedItem>) -> StateUpdate {
    StateUpdate {
        items,
        through: at(through),
        whole: true,
        after: StorePosition::UNREAD,
        until: StorePosition::UNREAD,
    }
}

/// Returns an update with the changes after a revision.
pub fn changes(after: Revision, through: Revision, items: Vec<PublishedItem>) -> StateUpdate {
    StateUpdate {
        items,
        through: at(through),
        whole: false,
        after: at(after),
        until: at(through),
    }
}

/// Converts updates of the first era to another era.
pub trait MoveToEra {
    /// Returns the same update in this era.
    fn moved_to(self, era: StoreEra) -> Self;
}

impl MoveToEra for StateUpdate {
    fn moved_to(mut self, era: StoreEra) -> Self {
        for item in &mut self.items {
            item.position.era = era;
        }
        self.through.era = era;
        if !self.whole {
            self.after.era = era;
            self.until.era = era;
        }
        self
    }
}

/// Returns the settings of the host.
pub fn settings() -> HostSettings {
    let own = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7720);
    HostSettings {
        host: "host".into(),
        zone: ZONE.into(),
        zones: vec![ZONE.into(), "b".into()],
        capacity: 250,
        packet_address: own,
        ready_address: own,
        peer_address: own,
        seed_peers: Vec::new(),
        store_address: own,
        warmup_tolerance: None,
        stop_grace: Duration::from_secs(6),
        max_flow_age: Duration::from_secs(60),
    }
}

/// One core with a virtual clock.
pub struct CoreRig {
    /// The core.
    pub core: PacketCore,
    /// The current virtual time.
    pub now: Instant,
    /// Resets that were not the response to a packet.
    pub resets: Vec<FlowReset>,
    /// All events so far, unless a test takes them out.
    pub events: Vec<DecisionEvent>,
    /// The store's current revision.
    pub revision: Revision,
    /// The store's current era.
    pub era: StoreEra,
    /// Whether the store responds to no calls.
    pub store_unreachable: bool,
}

impl CoreRig {
    /// Creates a core that has read the default routes and these upstreams of `ledger`.
    pub fn with_ledger(upstreams: &[u8]) -> Self {
        Self::with_ledger_in(ZONE, upstreams)
    }

    /// Creates a core that has read the default routes and these upstreams of `ledger` in a zone.
    pub fn with_ledger_in(zone: &str, upstreams: &[u8]) -> Self {
        let entries = upstreams.iter().map(|number| UpstreamEntry {
            zone: zone.into(),
            ..entry(*number, "ledger")
        });
        Self::with_entries(entries.collect())
    }

    /// Creates a core that has read the default routes and these registrations.
    pub fn with_entries(entries: Vec<UpstreamEntry>) -> Self {
        let mut rig = Self::empty();
        let mut items = vec![routes_item(1, default_routes(1))];
        items.extend(entries.into_iter().map(|entry| upstream_item(1, entry)));
        rig.revision = 10;
        rig.merge(&whole(10, items));
        rig.core.store_confirmed(rig.now);
        rig
    }

    /// Creates a core without any state.
    pub fn empty() -> Self {
        Self {
            core: PacketCore::new(&settings(), PolicyConfig::default()),
            now: Instant::now(),
            resets: Vec::new(),
            events: Vec::new(),
            revision: 0,
            era: 0,
            store_unreachable: false,
        }
    }

    /// Advances the time, with a tick every 100 ms.
    pub fn advance_time(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(100));
            let mut output = PacketOutput::default();
            self.core.tick(self.now, &mut output);
            if self.core.reads() && !self.store_unreachable {
                self.core.store_confirmed(self.now);
            }
            self.resets.extend(output.resets);
            self.events.extend(output.events);
        }
    }

    /// Merges an update of the published state.
    pub fn merge(&mut self, update: &StateUpdate) {
        let mut output = PacketOutput::default();
        self.core.merge(self.now, update, &mut output);
        self.events.extend(output.events);
    }

    /// Publishes one change at the next revision.
    pub fn publish(&mut self, item: impl FnOnce(Revision) -> PublishedItem) {
        let after = self.revision;
        self.revision += 1;
        let update = changes(after, self.revision, vec![item(self.revision)]);
        self.merge(&update.moved_to(self.era));
    }

    /// Merges the list of a store that was restored from a backup with these items, at this
    /// revision of the next era.
    pub fn restore(&mut self, revision: Revision, items: Vec<PublishedItem>) {
        self.era += 1;
        self.revision = revision;
        self.merge(&whole(revision, items).moved_to(self.era));
    }

    /// Handles a packet and returns the actions.
    pub fn packet(&mut self, head: &PacketHead) -> Vec<PacketAction> {
        let mut output = PacketOutput::default();
        self.core.handle_packet(self.now, head, &mut output);
        self.events.extend(output.events);
        output.actions
    }

    /// Sends a caller's SYN to `ledger`, and returns the upstreams that get it. `transmission` is
    /// the number of the retransmission; 0 for the first SYN.
    pub fn open(&mut self, number: u16, transmission: u32) -> Vec<u8> {
        let head = open_head(number, transmission);
        forwarded(&self.packet(&head))
    }

    /// Opens a flow to `ledger` at the first upstream that gets its SYN, and returns that upstream.
    pub fn establish(&mut self, number: u16) -> u8 {
        let upstream = self.open(number, 0)[0];
        self.packet(&established_head(number, upstream, 0, 1, 0));
        upstream
    }

    /// Sends a request of 100 bytes; `turn` counts the requests of the flow from 0.
    pub fn request(&mut self, number: u16, upstream: u8, turn: u32) -> Vec<PacketAction> {
        self.packet(&established_head(
            number,
            upstream,
            turn * 100,
            1 + turn * 500,
            100,
        ))
    }

    /// Acknowledges the response to request number `turn`.
    pub fn acknowledge(&mut self, number: u16, upstream: u8, turn: u32) {
        let (seq, ack) = ((turn + 1) * 100, 1 + (turn + 1) * 500);
        self.packet(&established_head(number, upstream, seq, ack, 0));
    }
}

/// Returns the head of a caller's SYN to `ledger`.
pub fn open_head(number: u16, transmission: u32) -> PacketHead {
    PacketHead {
        kind: PacketKind::Open,
        caller: caller(number),
        service: ledger(),
        tag: 0,
        seq: 0,
        ack: transmission,
        data_len: 0,
        last: false,
    }
}

/// Returns the head of a packet of a caller's established flow to `ledger`.
pub fn established_head(
    number: u16,
    upstream: u8,
    seq: u32,
    ack: u32,
    data_len: u16,
) -> PacketHead {
    PacketHead {
        kind: PacketKind::Established,
        caller: caller(number),
        service: ledger(),
        tag: tag(upstream),
        seq,
        ack,
        data_len,
        last: false,
    }
}

/// Returns the numbers of the upstreams that a packet is forwarded to.
pub fn forwarded(actions: &[PacketAction]) -> Vec<u8> {
    let numbers = actions.iter().filter_map(|action| match action {
        PacketAction::Forward { number, .. } => u8::try_from(*number).ok(),
        _ => None,
    });
    numbers.collect()
}

/// Returns the code of the reset among the actions, if there is one.
pub fn reset_code(actions: &[PacketAction]) -> Option<ResultCode> {
    actions.iter().find_map(|action| match action {
        PacketAction::Reset { code, .. } => Some(*code),
        _ => None,
    })
}

/// Returns an action as text, with its result code.
pub fn describe(action: &PacketAction) -> String {
    match action {
        PacketAction::Forward { .. } => "forward".to_owned(),
        PacketAction::Park => "park".to_owned(),
        PacketAction::Reset { code, .. } => format!("reset {}", code.number()),
        PacketAction::Drop { code } => format!("drop {}", code.number()),
    }
}
