//! Tests that flows stay on their upstreams in a group of several hosts, through the public
//! interface of the host core.

use std::time::Duration;

use lagoonproxy::config_snapshot::UpstreamState;

use crate::flow_net::FlowNet;
use crate::world::ledger_config;

const HOSTS: u32 = 4;
const UPSTREAMS: u32 = 6;
const FLOWS: u64 = 120;
/// Time for heartbeats, sweeps and copies after a change.
const SETTLE_TIME: Duration = Duration::from_secs(12);

fn net_with_open_flows() -> FlowNet {
    let mut net = FlowNet::new(HOSTS, &ledger_config(1, UPSTREAMS));
    for flow in 0..FLOWS {
        net.open(flow);
        net.run(Duration::from_millis(20));
    }
    net.run(SETTLE_TIME);
    assert_eq!(net.opened.len(), FLOWS as usize);
    net
}

/// Sends two requests on each flow, one that may run twice and one that may not.
fn request_on_all_flows(net: &mut FlowNet) {
    net.runs.clear();
    net.refusals.clear();
    for flow in 0..FLOWS {
        net.send_request(flow, true);
        net.run(Duration::from_millis(20));
        net.send_request(flow, false);
        net.run(Duration::from_millis(20));
    }
    net.run(Duration::from_secs(2));
}

#[test]
fn test_flows_stay_through_a_rolling_restart_with_drains() {
    // Sessions break when upstreams are drained and removed during a rolling restart of the entry
    // hosts: a restarted host has no records and places the sessions by the newer configuration.
    let mut net = net_with_open_flows();
    let mut config = ledger_config(2, UPSTREAMS);
    config.upstreams[2].state = UpstreamState::Draining;
    net.publish(&config);
    for host in 1..=HOSTS {
        net.leave(host);
        net.start(host);
        net.run(SETTLE_TIME);
        if host == 2 {
            let mut config = ledger_config(3, UPSTREAMS + 1);
            config.upstreams[4].state = UpstreamState::Draining;
            config.upstreams.remove(2);
            net.publish(&config);
        }
    }
    request_on_all_flows(&mut net);
    assert_eq!(net.misrouted_requests(), vec![]);
    assert_eq!(net.refusals, vec![]);
    assert_eq!(net.runs.len(), 2 * FLOWS as usize);
}

#[test]
fn test_flows_stay_when_a_host_crashes_after_a_change() {
    // Sessions break when their host dies right after a configuration change: its successor derives
    // the upstream from the new configuration, by which the host had placed no flow yet.
    let mut net = net_with_open_flows();
    let mut config = ledger_config(2, UPSTREAMS + 2);
    config.upstreams[1].state = UpstreamState::Draining;
    net.publish(&config);
    net.run(Duration::from_millis(100));
    net.crash(3);
    net.run(SETTLE_TIME);
    request_on_all_flows(&mut net);
    assert_eq!(net.misrouted_requests(), vec![]);
    assert_eq!(net.refusals, vec![]);
    assert_eq!(net.runs.len(), 2 * FLOWS as usize);
}
