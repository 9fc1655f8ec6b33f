//! Tests of which upstream process the frames of flows reach, on a single host through the public
//! interface of the host core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::host_action::HostAction;
use lagoonproxy::host_core::HostCore;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::published_config::ServiceDoc;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::CallerFrame;
use lagoonproxy::wire_frame::RequestBody;
use lagoonproxy::wire_frame::UpstreamBody;
use lagoonproxy::wire_frame::UpstreamFrame;

use crate::deferred_policy::DeferredPolicy;
use crate::world::caller_address;
use crate::world::ledger_address;
use crate::world::ledger_config;
use crate::world::lone_core;
use crate::world::lone_core_with;
use crate::world::transfer;
use crate::world::upstream_address;

const UPSTREAMS: u32 = 3;
const FLOWS: u64 = 40;

fn portal_address() -> SocketAddr {
    ([10, 0, 0, 2], 700).into()
}

fn portal_service() -> ServiceDoc {
    ServiceDoc {
        id: 2,
        name: "portal".into(),
        address: portal_address(),
        selector: "service=portal".to_owned(),
    }
}

/// A host, its virtual time and its last configuration.
struct SingleHost {
    core: HostCore,
    now: Instant,
    config: PublishedConfig,
    next_request: u64,
}

impl SingleHost {
    fn new() -> Self {
        let now = Instant::now();
        Self::of(now, lone_core(now, UPSTREAMS))
    }

    fn of(now: Instant, core: HostCore) -> Self {
        let mut host = Self {
            core,
            now,
            config: ledger_config(1, UPSTREAMS),
            next_request: 1,
        };
        host.publish(|config| config.services.push(portal_service()));
        host
    }

    fn publish(&mut self, change: impl Fn(&mut PublishedConfig)) {
        change(&mut self.config);
        self.config.version += 1;
        let config = self.config.compile().expect("a valid configuration");
        self.handle_event(HostEvent::Config(Arc::new(config)));
    }

    fn handle_event(&mut self, event: HostEvent) -> Vec<HostAction> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        actions
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(500).min(end - self.now);
            self.handle_event(HostEvent::Tick);
        }
    }

    fn send(&mut self, service: SocketAddr, flow: u64, body: CallerBody) -> Vec<HostAction> {
        let frame = CallerFrame {
            service,
            flow,
            body,
        };
        self.handle_event(HostEvent::CallerFrame {
            caller: caller_address(),
            frame,
        })
    }

    fn open(&mut self, service: SocketAddr, flow: u64) -> u32 {
        let actions = self.send(service, flow, CallerBody::Open);
        let sent = sent_upstream(&actions);
        let [(_address, frame)] = sent.as_slice() else {
            panic!("an open was not sent to one upstream: {actions:?}");
        };
        assert_eq!(frame.body, UpstreamBody::Open);
        frame.tag.upstream
    }

    fn send_request(
        &mut self,
        service: SocketAddr,
        flow: u64,
        established: bool,
    ) -> Vec<HostAction> {
        self.next_request += 1;
        let body = RequestBody {
            established,
            idempotent: true,
            ..transfer(self.next_request)
        };
        self.send(service, flow, CallerBody::Request(body))
    }
}

fn sent_upstream(actions: &[HostAction]) -> Vec<(SocketAddr, UpstreamFrame)> {
    let sent = |action: &HostAction| match action {
        HostAction::ToUpstream { address, frame } => Some((*address, frame.clone())),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

fn refused_with(actions: &[HostAction]) -> Option<ResultCode> {
    actions.iter().find_map(|action| match action {
        HostAction::ToCaller { frame, .. } => match &frame.body {
            CallerBody::Refusal(refusal) => Some(refusal.code),
            _ => None,
        },
        _ => None,
    })
}

/// Opens flows and returns those on upstream 1.
fn open_flows_on_first(host: &mut SingleHost) -> Vec<u64> {
    let held = |flow: &u64| host.open(ledger_address(), *flow) == 1;
    let flows: Vec<u64> = (0..FLOWS).filter(held).collect();
    assert!(!flows.is_empty());
    flows
}

#[test]
fn test_relabelled_upstream_keeps_old_flows_and_gets_no_other() {
    // Frames reach the wrong service when an operator relabels an upstream of the ledger service
    // for the portal service while flows are open on it. Open flows must stay where they were
    // opened. From then on, the upstream must get no other frames of the ledger, and the portal's
    // frames must reach no other upstream.
    let mut host = SingleHost::new();
    let old = open_flows_on_first(&mut host);
    host.publish(|config| {
        let upstream = &mut config.upstreams[1];
        upstream.labels = [("service".into(), "portal".into())].into();
    });
    for flow in old {
        let sent = sent_upstream(&host.send_request(ledger_address(), flow, true));
        assert_eq!(sent[0].0, upstream_address(1));
        assert_eq!(sent[0].1.tag.service, ledger_address());
    }
    for flow in FLOWS..2 * FLOWS {
        assert_ne!(host.open(ledger_address(), flow), 1);
        assert_eq!(host.open(portal_address(), flow), 1);
        let free = sent_upstream(&host.send_request(ledger_address(), 1_000 + flow, false));
        assert_ne!(free[0].1.tag.upstream, 1);
    }
}

#[test]
fn test_waiting_request_is_not_sent_to_a_relabelled_upstream() {
    // A request reaches the wrong service when its upstream is chosen, it waits for a slot, and the
    // upstream is assigned to another service before the request is sent.
    let now = Instant::now();
    let policy = DeferredPolicy {
        upstream: 1,
        waiting: Vec::new(),
    };
    let mut host = SingleHost::of(now, lone_core_with(now, UPSTREAMS, Box::new(policy)));
    host.send_request(ledger_address(), 1, false);
    let sent = sent_upstream(&host.handle_event(HostEvent::Tick));
    assert_eq!(sent[0].1.tag.upstream, 1);
    host.send_request(ledger_address(), 2, false);
    host.publish(|config| {
        let upstream = &mut config.upstreams[1];
        upstream.labels = [("service".into(), "portal".into())].into();
    });
    let actions = host.handle_event(HostEvent::Tick);
    assert_eq!(sent_upstream(&actions), vec![]);
    assert_eq!(refused_with(&actions), Some(ResultCode::NoUpstream));
}

#[test]
fn test_reused_address_ends_the_flows_of_its_former_process() {
    // Frames reach the wrong process when an upstream has died and its address is assigned to a new
    // process, which receives frames of flows that were never opened on it.
    struct ReuseCase {
        name: &'static str,
        change: fn(&mut PublishedConfig),
    }
    let cases = [
        ReuseCase {
            name: "another incarnation",
            change: |config| config.upstreams[1].incarnation += 1,
        },
        ReuseCase {
            name: "another upstream",
            change: |config| config.upstreams[1].id = 77,
        },
    ];
    for case in cases {
        let mut host = SingleHost::new();
        let old = open_flows_on_first(&mut host);
        host.publish(case.change);
        for flow in old {
            let actions = host.send_request(ledger_address(), flow, true);
            assert_eq!(sent_upstream(&actions), vec![], "{}", case.name);
            let code = refused_with(&actions);
            assert_eq!(code, Some(ResultCode::FlowUnknown), "{}", case.name);
        }
    }
}

#[test]
fn test_removed_upstream_keeps_its_flows_until_its_address_is_reused() {
    // Flows break when an operator removes a drained upstream from the configuration before its
    // last flows have closed. They must continue at its last address until another upstream has
    // that address.
    let mut host = SingleHost::new();
    let old = open_flows_on_first(&mut host);
    host.publish(|config| config.upstreams[1].state = UpstreamState::Draining);
    host.publish(|config| {
        config.upstreams.remove(1);
    });
    for flow in &old {
        let sent = sent_upstream(&host.send_request(ledger_address(), *flow, true));
        assert_eq!(sent[0].0, upstream_address(1));
    }
    host.publish(|config| config.upstreams[1].address = upstream_address(1));
    for flow in &old {
        let actions = host.send_request(ledger_address(), *flow, true);
        assert_eq!(sent_upstream(&actions), vec![]);
        assert_eq!(refused_with(&actions), Some(ResultCode::FlowUnknown));
    }
}

#[test]
fn test_address_of_service_given_to_another_ends_its_flows() {
    // Frames reach the wrong service when the ledger's address is published for another service and
    // a flow that was opened before continues.
    let mut host = SingleHost::new();
    let old = open_flows_on_first(&mut host);
    host.publish(|config| {
        config.services[0].address = portal_address();
        config.services[1].address = ledger_address();
    });
    for flow in old {
        let actions = host.send_request(ledger_address(), flow, true);
        assert_eq!(sent_upstream(&actions), vec![]);
        assert_eq!(refused_with(&actions), Some(ResultCode::FlowUnknown));
    }
}

#[test]
fn test_many_upstreams_drain_at_once() {
    let mut host = SingleHost::new();
    let places: Vec<u32> = (0..FLOWS)
        .map(|flow| host.open(ledger_address(), flow))
        .collect();
    host.publish(|config| {
        for upstream in &mut config.upstreams[1..] {
            upstream.state = UpstreamState::Draining;
        }
    });
    for (flow, place) in places.into_iter().enumerate() {
        let sent = sent_upstream(&host.send_request(ledger_address(), flow as u64, true));
        assert_eq!(sent[0].1.tag.upstream, place);
    }
    for flow in FLOWS..2 * FLOWS {
        assert_eq!(host.open(ledger_address(), flow), 0);
    }
}

#[test]
fn test_request_before_its_open_reaches_the_same_upstream() {
    // The network delivers the first request of a flow before its `Open`: the two are placed on
    // different upstreams, or the upstream never learns of the flow.
    let mut host = SingleHost::new();
    for flow in 0..FLOWS {
        let early = sent_upstream(&host.send_request(ledger_address(), flow, true));
        let upstream = host.open(ledger_address(), flow);
        assert_eq!(early[0].1.tag.upstream, upstream);
        let again = host.open(ledger_address(), flow);
        assert_eq!(again, upstream, "a repeated open");
    }
}

#[test]
fn test_silent_flow_stays_until_it_is_idle() {
    let mut host = SingleHost::new();
    let old = open_flows_on_first(&mut host);
    host.publish(|config| config.upstreams[1].state = UpstreamState::Draining);
    host.wait(Duration::from_secs(3_500));
    let sent = sent_upstream(&host.send_request(ledger_address(), old[0], true));
    assert_eq!(sent[0].1.tag.upstream, 1);
    assert_eq!(host.core.flow_count(), FLOWS as usize);
    host.wait(Duration::from_secs(3_000));
    assert_eq!(host.core.flow_count(), 1);
    let sent = sent_upstream(&host.send_request(ledger_address(), old[0], true));
    assert_eq!(sent[0].1.tag.upstream, 1);
}
