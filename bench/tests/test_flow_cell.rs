//! Property tests of an ownership group of flow directories over faulty links, against a reference
//! model.

use std::collections::BTreeMap;
use std::time::Duration;

use lagoonproxy::flow_binding::FlowBinding;
use lagoonproxy::flow_directory::FlowLookup;
use lagoonproxy::flow_hash::FlowHasher;
use lagoonproxy::flow_query::FlowIntent;
use lagoonproxy::ids::FlowDigest;
use lagoonproxy::ids::HostId;
use lagoonproxy_bench::flow_group::FlowGroup;
use lagoonproxy_bench::flow_group::LinkFaults;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;

const HOSTS: u32 = 4;
const UPSTREAMS: u32 = 6;
const COPY_RATE: u32 = 2_048;

/// One step of a random history.
#[derive(Clone, Debug)]
enum HistoryStep {
    /// Callers open flows.
    Open(u8),
    /// Open flows send frames, each through some host.
    Speak(Vec<u16>),
    /// Operators publish matching and draining upstreams (bit masks); only some hosts receive the
    /// configuration.
    Publish {
        matching: u8,
        draining: u8,
        receives_config: u8,
    },
    /// A host joins.
    Join,
    /// A host leaves and stops once it has handed over its flows.
    Leave(u8),
    /// Hosts receive the current configuration and the current view of the others.
    CatchUp,
    /// Virtual time advances by this many hundredths of a second.
    Run(u16),
}

fn any_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        3 => any::<u8>().prop_map(|count| HistoryStep::Open(count % 20)),
        5 => vec(any::<u16>(), 1..20).prop_map(HistoryStep::Speak),
        3 => (any::<u8>(), any::<u8>(), any::<u8>()).prop_map(|(matching, draining, receives_config)| {
            HistoryStep::Publish { matching, draining, receives_config }
        }),
        1 => Just(HistoryStep::Join),
        1 => any::<u8>().prop_map(HistoryStep::Leave),
        2 => Just(HistoryStep::CatchUp),
        3 => (0_u16..800).prop_map(HistoryStep::Run),
    ]
}

/// The ownership group and the placements that the flows' callers have observed.
struct GroupModel {
    group: FlowGroup,
    opened: BTreeMap<FlowDigest, FlowBinding>,
    /// Flows with a frame that reached another upstream: digest, original and reached binding.
    misrouted: Vec<(FlowDigest, FlowBinding, FlowBinding)>,
    next_flow: u64,
    next_host: HostId,
    entry: usize,
}

impl GroupModel {
    fn new(faults: LinkFaults, seed: u64) -> Self {
        let mut group = FlowGroup::start(HOSTS, UPSTREAMS, COPY_RATE);
        group.set_faults(faults, seed);
        Self {
            group,
            opened: BTreeMap::new(),
            misrouted: Vec::new(),
            next_flow: 0,
            next_host: HOSTS + 1,
            entry: 0,
        }
    }

    fn apply(&mut self, step: &HistoryStep) {
        match step {
            HistoryStep::Open(count) => (0..*count).for_each(|_flow| self.open()),
            HistoryStep::Speak(flows) => {
                for flow in flows {
                    self.speak(usize::from(*flow));
                }
            }
            HistoryStep::Publish {
                matching,
                draining,
                receives_config,
            } => {
                let chosen = |bits: u8| -> Vec<u32> {
                    (0..UPSTREAMS).filter(|id| bits >> id & 1 == 1).collect()
                };
                // Upstream 0 always takes new flows, so that opening one never fails.
                let matching = chosen(matching | 1);
                let draining = chosen(draining & !1);
                let receives_config = |host: HostId| receives_config >> (host % 8) & 1 == 1;
                self.group.publish_to(&matching, &draining, receives_config);
            }
            HistoryStep::Join => {
                if self.group.eligible().len() < 7 {
                    self.group.join(self.next_host);
                    self.next_host += 1;
                }
            }
            HistoryStep::Leave(which) => self.leave(usize::from(*which)),
            HistoryStep::CatchUp => self.group.catch_up(),
            HistoryStep::Run(ticks) => self
                .group
                .run(Duration::from_millis(10) * u32::from(*ticks)),
        }
    }

    fn open(&mut self) {
        let digest = digest(self.next_flow);
        self.next_flow += 1;
        let entry = self.any_host();
        let lookup = self.group.forward_frame(entry, digest, FlowIntent::Open);
        let FlowLookup::Found(binding) = lookup else {
            return;
        };
        self.opened.insert(digest, binding);
        // The caller's retransmission reaches another host, whose placement table may differ.
        let entry = self.any_host();
        let again = self.group.forward_frame(entry, digest, FlowIntent::Open);
        if let FlowLookup::Found(reached) = again
            && reached != binding
        {
            self.misrouted.push((digest, binding, reached));
        }
    }

    /// Sends a frame on an open flow. Records the flow as misrouted if the frame reaches an upstream
    /// other than its own; a frame that reaches none is no fault here.
    fn speak(&mut self, index: usize) -> FlowLookup {
        let Some((digest, binding)) = self.opened.iter().nth(index % self.opened.len().max(1))
        else {
            return FlowLookup::NotFound;
        };
        let (digest, binding) = (*digest, *binding);
        let entry = self.any_host();
        let lookup = self
            .group
            .forward_frame(entry, digest, FlowIntent::Established);
        if let FlowLookup::Found(reached) = lookup
            && reached != binding
        {
            self.misrouted.push((digest, binding, reached));
        }
        lookup
    }

    fn leave(&mut self, which: usize) {
        let eligible = self.group.eligible();
        if eligible.len() < 2 {
            return;
        }
        self.group.catch_up();
        self.group.leave(eligible[which % eligible.len()]);
        for _tick in 0..6_000 {
            if self.group.stop_drained_hosts() {
                return;
            }
            self.group.step();
        }
        panic!("a host does not finish leaving");
    }

    fn any_host(&mut self) -> HostId {
        let eligible = self.group.eligible();
        self.entry += 1;
        eligible[self.entry % eligible.len()]
    }
}

/// Returns the number of random histories: 60, unless `PROPTEST_CASES` is set.
fn cases() -> u32 {
    let asked = std::env::var("PROPTEST_CASES").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(60)
}

fn digest(flow: u64) -> FlowDigest {
    let service = ([10, 0, 0, 1], 700).into();
    let caller = ([127, 0, 0, 1], 9_000).into();
    FlowHasher::new([5; 16]).digest(service, caller, flow)
}

/// Runs a history and returns a description of each flow that was misrouted or, after the links
/// have recovered, cannot be found.
fn faults_of(steps: &[HistoryStep], seed: u64) -> Vec<String> {
    let faults = LinkFaults {
        loss: 10,
        duplicates: 10,
        jitter: 60,
    };
    let mut model = GroupModel::new(faults, seed);
    for step in steps {
        model.apply(step);
    }
    model.group.set_faults(LinkFaults::default(), seed);
    model.group.catch_up();
    model.group.run(Duration::from_secs(20));
    let mut found = Vec::new();
    for index in 0..model.opened.len() {
        let lookup = model.speak(index);
        if !matches!(lookup, FlowLookup::Found(_)) {
            found.push(format!("flow {index} is {lookup:?}"));
        }
    }
    for (digest, binding, reached) in model.misrouted {
        let (from, to) = (binding.upstream, reached.upstream);
        found.push(format!("flow {digest} of {from} reached {to}"));
    }
    found
}

#[test]
fn test_flow_opened_under_a_newer_table_stays_when_its_host_leaves() {
    // A host that received a change of selectors before the others opens a flow and then leaves.
    // The flow moves to another upstream if its new owner derives it from the older configuration.
    let steps = [
        HistoryStep::Open(3),
        HistoryStep::Join,
        HistoryStep::Publish {
            matching: 0,
            draining: 0,
            receives_config: 160,
        },
        HistoryStep::Open(1),
        HistoryStep::Leave(4),
    ];
    assert_eq!(faults_of(&steps, 0), Vec::<String>::new());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]

    /// Guards against flows that break without a crash: operators drain and relabel upstreams, hosts
    /// join and leave and learn of changes at different times, and datagrams between hosts are
    /// lost, duplicated and reordered. A broken flow's next frame reaches another upstream, or
    /// permanently none.
    #[test]
    fn test_planned_change_breaks_no_flow(
        steps in vec(any_step(), 1..40),
        seed in any::<u64>(),
    ) {
        prop_assert_eq!(faults_of(&steps, seed), Vec::<String>::new());
    }
}

#[test]
fn test_crash_breaks_no_flow_that_was_placed_by_the_table() {
    // The owner of a flow crashes shortly after a change of configuration, before it has copied the
    // flows that the new configuration places elsewhere. The flow breaks if its new owner derives
    // the upstream from the new configuration.
    let mut group = FlowGroup::start(HOSTS, UPSTREAMS, COPY_RATE);
    let opened: Vec<_> = (0..4_000)
        .map(|flow| (digest(flow), group.frame(digest(flow), FlowIntent::Open)))
        .collect();
    group.run(Duration::from_secs(10));
    group.publish(&[0, 1, 2, 3, 4, 5, 6], &[2]);
    group.run(Duration::from_millis(500));
    group.crash(3);
    for (digest, binding) in opened {
        assert_eq!(group.frame(digest, FlowIntent::Established), binding);
    }
}
