//! Tests of flows over several hosts through the door: each stays on its upstream.

use std::time::Duration;

use lagoonproxy::config_snapshot::UpstreamState;

use crate::flow_net::FlowNet;
use crate::world::ledger_config;

const HOSTS: u32 = 4;
const UPSTREAMS: u32 = 6;
const FLOWS: u64 = 120;
/// Time for heartbeats, walks and copies after a change.
const SETTLE: Duration = Duration::from_secs(12);

fn opened_net() -> FlowNet {
    let mut net = FlowNet::new(HOSTS, &ledger_config(1, UPSTREAMS));
    for flow in 0..FLOWS {
        net.open(flow);
        net.run(Duration::from_millis(20));
    }
    net.run(SETTLE);
    assert_eq!(net.opened.len(), FLOWS as usize);
    net
}

/// Each flow sends a request that may run twice and one that may not.
fn ask_all(net: &mut FlowNet) {
    net.runs.clear();
    net.refusals.clear();
    for flow in 0..FLOWS {
        net.ask(flow, true);
        net.run(Duration::from_millis(20));
        net.ask(flow, false);
        net.run(Duration::from_millis(20));
    }
    net.run(Duration::from_secs(2));
}

#[test]
fn test_flows_stay_through_a_rolling_restart_with_drains() {
    // Inspectors' sessions break during an evening's work: upstreams are drained and removed while
    // the entry hosts are restarted one after the other, and each host that comes back places the
    // sessions it does not remember by the newer configuration.
    let mut net = opened_net();
    let mut config = ledger_config(2, UPSTREAMS);
    config.upstreams[2].state = UpstreamState::Draining;
    net.publish(&config);
    for host in 1..=HOSTS {
        net.leave(host);
        net.start(host);
        net.run(SETTLE);
        if host == 2 {
            let mut config = ledger_config(3, UPSTREAMS + 1);
            config.upstreams[4].state = UpstreamState::Draining;
            config.upstreams.remove(2);
            net.publish(&config);
        }
    }
    ask_all(&mut net);
    assert_eq!(net.strays(), vec![]);
    assert_eq!(net.refusals, vec![]);
    assert_eq!(net.runs.len(), 2 * FLOWS as usize);
}

#[test]
fn test_flows_stay_when_a_host_crashes_after_a_change() {
    // A door stream breaks as the host that held it dies: the next one derives another upstream
    // from a selector change that its former owner had placed no flow by yet.
    let mut net = opened_net();
    let mut config = ledger_config(2, UPSTREAMS + 2);
    config.upstreams[1].state = UpstreamState::Draining;
    net.publish(&config);
    net.run(Duration::from_millis(100));
    net.crash(3);
    net.run(SETTLE);
    ask_all(&mut net);
    assert_eq!(net.strays(), vec![]);
    assert_eq!(net.refusals, vec![]);
    assert_eq!(net.runs.len(), 2 * FLOWS as usize);
}
