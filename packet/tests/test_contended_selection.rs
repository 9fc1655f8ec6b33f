//! Tests of upstream selection for new flows of a contended service.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::flow_hash::rendezvous_weight;
use lagoonproxy::ids::ZoneName;
use lagoonproxy_packet::flows::flow_cost::FlowCosts;
use lagoonproxy_packet::ids::ServiceIndex;
use lagoonproxy_packet::ids::UpstreamIndex;
use lagoonproxy_packet::load::load_state::ContentionState;
use lagoonproxy_packet::load::load_state::UpstreamLoad;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::routes::route_config::ConnectionLimit;
use lagoonproxy_packet::selection::load_weight::LoadWeightConfig;
use lagoonproxy_packet::selection::load_weight::WeightMethod;
use lagoonproxy_packet::selection::load_weight::draw_rank;
use lagoonproxy_packet::selection::load_weight::is_drawn_after;
use lagoonproxy_packet::selection::load_weight::upstream_weight;
use lagoonproxy_packet::selection::upstream_selection::FlowSelection;
use lagoonproxy_packet::selection::upstream_selection::SelectionQuery;
use lagoonproxy_packet::selection::upstream_selection::select_upstream;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;
use lagoonproxy_packet::upstreams::upstream_table::UpstreamTable;
use proptest::prelude::*;

use crate::core_rig::*;

const METHODS: [WeightMethod; 2] = [WeightMethod::FreeCapacity, WeightMethod::ExpectedWait];

/// Load of one upstream, as known from a digest.
#[derive(Clone, Copy, Debug)]
pub struct KnownUpstream {
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Requests in progress, in thousandths.
    pub in_progress: u32,
    /// Mean response time, in milliseconds.
    pub response_ms: u64,
    /// Remaining warmup time, in milliseconds.
    pub warmup_ms: u64,
}

/// A busy upstream with the same load as the others.
const EQUAL: KnownUpstream = KnownUpstream {
    slots: 2,
    in_progress: 1600,
    response_ms: 20,
    warmup_ms: 0,
};

/// An upstream that became five times slower half a second ago.
const SLOW: KnownUpstream = KnownUpstream {
    slots: 2,
    in_progress: 6000,
    response_ms: 300,
    warmup_ms: 0,
};

/// An upstream that has just joined the pool.
const EMPTY: KnownUpstream = KnownUpstream {
    slots: 2,
    in_progress: 0,
    response_ms: 0,
    warmup_ms: 0,
};

/// An upstream whose slots and queue are full.
const FULL: KnownUpstream = KnownUpstream {
    slots: 2,
    in_progress: 5500,
    response_ms: 60,
    warmup_ms: 0,
};

/// The upstreams of one service as seen by one host.
pub struct ContendedRig {
    /// The upstreams.
    pub table: UpstreamTable,
    /// Indices of the upstreams, in the order in which they were added.
    pub members: Vec<UpstreamIndex>,
    /// The current time.
    pub now: Instant,
    /// Contention state and load of the service.
    pub contention: ContentionState,
}

fn numbered_entry(number: usize, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        name: format!("i-{number:04x}").into(),
        number: number as u64,
        zone: zone.into(),
        ..entry(0, "ledger")
    }
}

impl ContendedRig {
    /// Creates a host whose digest has just measured these upstreams of its zone.
    pub fn new(method: WeightMethod, upstreams: &[KnownUpstream]) -> Self {
        let load_weight = LoadWeightConfig {
            method,
            ..Default::default()
        };
        let config = PolicyConfig {
            load_weight,
            ..Default::default()
        };
        let age = Duration::from_secs(60);
        let mut rig = Self {
            table: UpstreamTable::new(ZONE.into(), age, config),
            members: Vec::new(),
            now: Instant::now(),
            contention: ContentionState {
                pressure: 900,
                is_contended: true,
                updated_at: None,
            },
        };
        for (number, upstream) in upstreams.iter().enumerate() {
            let entry = UpstreamEntry {
                slots: upstream.slots,
                warmup_left: Duration::from_millis(upstream.warmup_ms),
                ..numbered_entry(number, ZONE)
            };
            let index = rig.table.register(rig.now, &entry);
            rig.members.push(index);
            rig.measure(number, upstream.in_progress, upstream.response_ms);
        }
        rig
    }

    /// Adds an upstream of another zone.
    fn add_remote(&mut self, zone: &str) {
        let entry = numbered_entry(self.members.len(), zone);
        self.members.push(self.table.register(self.now, &entry));
    }

    /// Sets the measured load of one upstream.
    pub fn measure(&mut self, member: usize, in_progress: u32, response_ms: u64) {
        self.table.get_mut(self.members[member]).load = UpstreamLoad {
            in_progress,
            response_time: Duration::from_millis(response_ms),
            shed_rate: 0,
            updated_at: Some(self.now),
        };
    }

    /// Changes the number of this host's flows that wait for a response.
    pub fn change_waiting(&mut self, member: usize, change: i32) {
        let record = self.table.get_mut(self.members[member]);
        record.waiting = record.waiting.saturating_add_signed(change);
    }

    fn service(&self) -> ServiceIndex {
        self.table.get(self.members[0]).service
    }

    /// Selects upstreams for a flow.
    pub fn select(&self, flow_hash: u64, spill_zone: Option<&ZoneName>) -> FlowSelection {
        let query = SelectionQuery {
            now: self.now,
            service: self.service(),
            flow_hash,
            local_hosts: 30,
            tried: &[],
            contention: self.contention,
            spill_zone,
        };
        select_upstream(&self.table, query).expect("an upstream")
    }

    /// Returns how many of `flows` flows go to each upstream. All flows sample the first
    /// `max_sampled` ones.
    fn counts(&self, flows: u64) -> Vec<u32> {
        let length = self.members.len() as u64;
        let sampled = self.table.config().load_weight.max_sampled;
        let mut counts = vec![0; self.members.len().min(sampled)];
        for flow in 0..flows {
            let flow_hash = rendezvous_weight(flow, 77);
            let first = self.select(flow_hash - flow_hash % length, None).first;
            let position = self.members.iter().position(|index| *index == first);
            counts[position.unwrap_or_default()] += 1;
        }
        counts
    }

    fn limit_connections(&mut self, connections: u32) {
        let service = "ledger".into();
        let limit = ConnectionLimit {
            service,
            connections,
        };
        self.table.set_connection_limits(&[limit]);
    }
}

/// Returns the flows of the first upstream divided by the mean of the others.
fn first_upstream_share(counts: &[u32]) -> f64 {
    let others: u32 = counts[1..].iter().sum();
    f64::from(counts[0]) * (counts.len() - 1) as f64 / f64::from(others.max(1))
}

fn busiest_share(counts: &[u32]) -> f64 {
    let sum: u32 = counts.iter().sum();
    let busiest = counts.iter().max().copied().unwrap_or_default();
    f64::from(busiest) * counts.len() as f64 / f64::from(sum)
}

#[test]
fn test_deviating_upstream_gets_its_share() {
    // Guards against an upstream that attracts flows in spite of its load, or never gets any.
    struct Case {
        name: &'static str,
        deviating: KnownUpstream,
        equals: usize,
        equal: KnownUpstream,
        flows: u64,
        /// Range of the deviating upstream's flows divided by the mean of the others.
        share: (f64, f64),
    }
    let one_slot = KnownUpstream {
        slots: 1,
        in_progress: 800,
        ..EQUAL
    };
    let warming = KnownUpstream {
        warmup_ms: 2000,
        ..EQUAL
    };
    let cases = [
        Case {
            name: "five times slower, among 3",
            deviating: SLOW,
            equals: 2,
            equal: EQUAL,
            flows: 20_000,
            share: (1e-4, 0.35),
        },
        Case {
            name: "five times slower, among 40",
            deviating: SLOW,
            equals: 39,
            equal: EQUAL,
            flows: 40_000,
            share: (1e-4, 0.35),
        },
        Case {
            name: "five times slower, among 5,000",
            deviating: SLOW,
            equals: 4999,
            equal: EQUAL,
            flows: 40_000,
            share: (1e-4, 0.35),
        },
        Case {
            name: "half the slots",
            deviating: one_slot,
            equals: 9,
            equal: EQUAL,
            flows: 20_000,
            share: (0.4, 0.6),
        },
        Case {
            name: "warming up",
            deviating: warming,
            equals: 9,
            equal: EQUAL,
            flows: 20_000,
            share: (0.5, 0.75),
        },
        Case {
            name: "new and empty among full upstreams",
            deviating: EMPTY,
            equals: 9,
            equal: FULL,
            flows: 20_000,
            share: (5.0, 500.0),
        },
        Case {
            name: "equal except for one more request",
            deviating: KnownUpstream {
                in_progress: 2600,
                ..EQUAL
            },
            equals: 9,
            equal: EQUAL,
            flows: 20_000,
            share: (0.3, 0.9),
        },
    ];
    for case in cases {
        for method in METHODS {
            let mut upstreams = vec![case.deviating];
            upstreams.resize(case.equals + 1, case.equal);
            let counts = ContendedRig::new(method, &upstreams).counts(case.flows);
            let share = first_upstream_share(&counts);
            let (from, to) = case.share;
            let name = case.name;
            assert!(
                from <= share && share < to,
                "{name}, {method:?}: a share of {share}"
            );
        }
    }
}

#[test]
fn test_equals_get_equal_shares() {
    // Guards against imbalance among equal upstreams, at any common load.
    struct Case {
        name: &'static str,
        equal: KnownUpstream,
        digest_ms: u64,
    }
    let cases = [
        Case {
            name: "busy",
            equal: EQUAL,
            digest_ms: 0,
        },
        Case {
            name: "all slow",
            equal: SLOW,
            digest_ms: 0,
        },
        Case {
            name: "all full",
            equal: FULL,
            digest_ms: 0,
        },
        Case {
            name: "all empty",
            equal: EMPTY,
            digest_ms: 0,
        },
        Case {
            name: "no digest for 5 s",
            equal: EQUAL,
            digest_ms: 5000,
        },
    ];
    for case in cases {
        for method in METHODS {
            let mut rig = ContendedRig::new(method, &[case.equal; 40]);
            rig.now += Duration::from_millis(case.digest_ms);
            let share = busiest_share(&rig.counts(40_000));
            assert!(share < 1.1, "{}, {method:?}: {share}", case.name);
        }
    }
}

#[test]
fn test_own_counts_replace_a_missing_digest() {
    // Guards against a host without a recent digest that selects without any load, or by an
    // outdated one.
    struct Case {
        name: &'static str,
        age_ms: Option<u64>,
        waiting: u32,
        others_get_all: bool,
    }
    let cases = [
        Case {
            name: "no digest, own requests on 30 hosts",
            age_ms: None,
            waiting: 1,
            others_get_all: true,
        },
        Case {
            name: "old digest, own requests on 30 hosts",
            age_ms: Some(1000),
            waiting: 1,
            others_get_all: true,
        },
        Case {
            name: "old digest that reports it as full",
            age_ms: Some(1000),
            waiting: 0,
            others_get_all: false,
        },
        Case {
            name: "digest that reports it as full",
            age_ms: Some(999),
            waiting: 0,
            others_get_all: true,
        },
    ];
    for case in cases {
        let mut rig = ContendedRig::new(WeightMethod::FreeCapacity, &[EQUAL; 3]);
        rig.measure(0, 8000, 20);
        let first = rig.table.get_mut(rig.members[0]);
        first.waiting = case.waiting;
        first.load.updated_at = case.age_ms.map(|_age| rig.now);
        rig.now += Duration::from_millis(case.age_ms.unwrap_or_default());
        let counts = rig.counts(1000);
        let (few, many) = (counts[0] < 30, counts[0] > 200);
        assert_eq!(
            (few, many),
            (case.others_get_all, !case.others_get_all),
            "{}",
            case.name
        );
    }
}

#[test]
fn test_connection_limit() {
    // Guards against flows to an upstream that is at its connection limit.
    struct Case {
        name: &'static str,
        limit: u32,
        own: u32,
        idle: u32,
        elsewhere: u32,
        /// Flows of each other upstream. If the service is not contended, the first has less load
        /// than they have.
        others: u32,
        is_skipped: bool,
    }
    let cases = [
        Case {
            name: "94 of 100",
            limit: 100,
            own: 40,
            idle: 14,
            elsewhere: 40,
            others: 94,
            is_skipped: false,
        },
        Case {
            name: "95 of 100",
            limit: 100,
            own: 40,
            idle: 15,
            elsewhere: 40,
            others: 94,
            is_skipped: true,
        },
        Case {
            name: "1 of 1",
            limit: 1,
            own: 0,
            idle: 1,
            elsewhere: 0,
            others: 0,
            is_skipped: true,
        },
        Case {
            name: "0 of 1",
            limit: 1,
            own: 0,
            idle: 0,
            elsewhere: 0,
            others: 0,
            is_skipped: false,
        },
    ];
    for case in cases {
        for is_contended in [false, true] {
            let name = format!("{}, contended: {is_contended}", case.name);
            let mut rig = ContendedRig::new(WeightMethod::FreeCapacity, &[EMPTY; 3]);
            rig.contention.is_contended = is_contended;
            for index in rig.members.clone() {
                rig.table.get_mut(index).flows = case.others;
            }
            let first = rig.table.get_mut(rig.members[0]);
            first.flows = case.own;
            first.idle = case.idle;
            first.peer_flows = case.elsewhere;
            rig.limit_connections(case.limit);
            let counts = rig.counts(300);
            assert_eq!(counts[0] == 0, case.is_skipped, "{name}");
            for index in rig.members.clone() {
                let record = rig.table.get_mut(index);
                (record.flows, record.idle, record.peer_flows) = (200, 0, 0);
            }
            let counts = rig.counts(300);
            assert!(
                counts.iter().all(|count| *count > 0),
                "{name}: all at the limit, and one gets no flows"
            );
            let has_free_slot = rig.select(1, None).has_free_slot;
            assert_eq!(has_free_slot, !is_contended, "{name}: at the limit");
        }
    }
}

#[test]
fn test_free_slot_is_reported() {
    // Guards against SYNs that are deferred or refused although a slot is known to be free.
    struct Case {
        name: &'static str,
        in_progress: [u32; 2],
        is_contended: bool,
        is_ejected: bool,
        expected: bool,
    }
    let cases = [
        Case {
            name: "not contended",
            in_progress: [9000, 9000],
            is_contended: false,
            is_ejected: false,
            expected: true,
        },
        Case {
            name: "no free slot",
            in_progress: [2000, 2000],
            is_contended: true,
            is_ejected: false,
            expected: false,
        },
        Case {
            name: "an upstream that is not selected first",
            in_progress: [1999, 2000],
            is_contended: true,
            is_ejected: false,
            expected: true,
        },
        Case {
            name: "an upstream that does not respond",
            in_progress: [0, 2000],
            is_contended: true,
            is_ejected: true,
            expected: false,
        },
    ];
    for case in cases {
        let mut rig = ContendedRig::new(WeightMethod::FreeCapacity, &[EQUAL; 3]);
        rig.contention.is_contended = case.is_contended;
        rig.measure(0, case.in_progress[0], 20);
        rig.measure(1, case.in_progress[1], 20);
        rig.measure(2, 2000, 20);
        if case.is_ejected {
            eject(&mut rig, 0);
        }
        let is_as_expected =
            (0..20).all(|flow| rig.select(flow, None).has_free_slot == case.expected);
        assert!(is_as_expected, "{}", case.name);
    }
}

/// Ejects an upstream by letting it leave several SYNs unanswered.
fn eject(rig: &mut ContendedRig, member: usize) {
    let sent = rig.now;
    rig.now += Duration::from_millis(200);
    for _syn in 0..4 {
        let index = rig.members[member];
        rig.table.attempt_failed(index, rig.now, sent);
    }
    assert!(rig.table.get(rig.members[member]).is_degraded());
}

#[test]
fn test_spilled_flows_go_to_the_spill_zone() {
    // Guards against spilled flows that stay, go to a third zone, or go to upstreams that do not
    // respond.
    struct Case {
        name: &'static str,
        spill_zone: Option<&'static str>,
        ejected: &'static [usize],
        /// Indices in `members` of the upstreams that get flows.
        expected: &'static [usize],
    }
    let cases = [
        Case {
            name: "stays in its zone",
            spill_zone: None,
            ejected: &[],
            expected: &[0, 1, 2],
        },
        Case {
            name: "spilled",
            spill_zone: Some("b"),
            ejected: &[],
            expected: &[3, 5],
        },
        Case {
            name: "spilled, one upstream there does not respond",
            spill_zone: Some("b"),
            ejected: &[3],
            expected: &[5],
        },
        Case {
            name: "spilled, no upstream there responds",
            spill_zone: Some("b"),
            ejected: &[3, 5],
            expected: &[0, 1, 2],
        },
        Case {
            name: "spilled to a zone without upstreams",
            spill_zone: Some("d"),
            ejected: &[],
            expected: &[0, 1, 2],
        },
    ];
    for case in cases {
        let mut rig = ContendedRig::new(WeightMethod::FreeCapacity, &[EQUAL; 3]);
        for zone in ["b", "c", "b"] {
            rig.add_remote(zone);
        }
        for member in case.ejected {
            eject(&mut rig, *member);
        }
        let zone = case.spill_zone.map(ZoneName::from);
        let mut used: Vec<usize> = (0..200)
            .filter_map(|flow| {
                let first = rig.select(rendezvous_weight(flow, 1), zone.as_ref()).first;
                rig.members.iter().position(|index| *index == first)
            })
            .collect();
        used.sort_unstable();
        used.dedup();
        assert_eq!(used, case.expected, "{}", case.name);
    }
}

#[test]
fn test_new_upstreams_start_at_the_mean_weight() {
    // Guards against an empty upstream that gets the new flows of all hosts until the next digest.
    let costs = FlowCosts::default();
    for method in METHODS {
        let mut rig = ContendedRig::new(method, &[FULL; 9]);
        rig.table.update_weights(&costs);
        rig.contention.updated_at = Some(rig.now);
        let entry = numbered_entry(9, ZONE);
        rig.members.push(rig.table.register(rig.now, &entry));
        let before = busiest_share(&rig.counts(20_000));
        assert!(before < 1.15, "{method:?}, not in the digest: {before}");
        let mut shares = Vec::new();
        for _digest in 0..12 {
            rig.now += Duration::from_millis(250);
            for member in 0..9 {
                rig.measure(member, FULL.in_progress, FULL.response_ms);
            }
            rig.measure(9, EMPTY.in_progress, EMPTY.response_ms);
            rig.table.update_weights(&costs);
            let counts = rig.counts(10_000);
            shares.push(f64::from(counts[9]) / 1000.0);
        }
        assert!(shares[0] < 1.2, "{method:?}, first digest: {shares:?}");
        assert!(shares[1] < 4.0, "{method:?}, second digest: {shares:?}");
        assert!(shares[11] > 4.0, "{method:?}, after 3 s: {shares:?}");
    }
}

#[test]
fn test_upstreams_are_saturated_by_measured_requests() {
    // Guards against flows to local upstreams that are saturated by the requests of other hosts.
    let mut rig = ContendedRig::new(WeightMethod::FreeCapacity, &[FULL; 3]);
    rig.add_remote("b");
    assert_eq!(rig.counts(100)[3], 0, "below three requests per slot");
    for member in 0..3 {
        rig.measure(member, 6000, 60);
    }
    assert_eq!(rig.counts(100)[3], 100, "three requests per slot");
    assert!(!rig.select(0, None).has_free_slot, "remote load is unknown");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// The weight of an upstream is a positive number for any load, so that it is never excluded
    /// permanently.
    #[test]
    fn test_weights_are_positive(
        slots in 1..100_000_u32,
        in_progress: u32,
        response_ms in 0..1_000_000_u64,
        warmup_ms in 0..10_u64,
        hash: u64,
    ) {
        let upstream = KnownUpstream { slots, in_progress, response_ms, warmup_ms };
        for method in METHODS {
            let rig = ContendedRig::new(method, &[upstream]);
            let config = &rig.table.config().load_weight;
            let record = rig.table.get(rig.members[0]);
            let weight = upstream_weight(config, 160, record, in_progress, None, rig.now);
            prop_assert!(weight.is_finite() && weight > 0.0);
            let rank = f64::from_bits(draw_rank(hash, weight));
            prop_assert!(rank.is_finite() && rank > 0.0);
        }
    }

    /// A candidate for which `is_drawn_after` skips the exact rank never wins the draw.
    #[test]
    fn test_skipped_draws_never_win(hash: u64, other: u64, weight in 1e-3..1e6_f64, factor in 1e-3..1e3_f64) {
        let limit = draw_rank(other, weight * factor);
        if is_drawn_after(hash, weight, limit) {
            prop_assert!(draw_rank(hash, weight) > limit);
        }
    }

    /// Hosts with the same digest do not all select the same upstream. Of 1,000 flows, each
    /// upstream gets at most 1.5 times the share of its weight, plus 20 flows.
    #[test]
    fn test_hosts_with_the_same_digest_do_not_herd(
        loads in prop::collection::vec((0..6000_u32, 4..200_u64), 2..48),
        seed: u64,
    ) {
        let upstreams: Vec<KnownUpstream> = loads
            .iter()
            .map(|(in_progress, response_ms)| KnownUpstream {
                in_progress: *in_progress,
                response_ms: *response_ms,
                ..EQUAL
            })
            .collect();
        for method in METHODS {
            let rig = ContendedRig::new(method, &upstreams);
            let config = &rig.table.config().load_weight;
            let weights: Vec<f64> = rig
                .members
                .iter()
                .map(|index| {
                    let record = rig.table.get(*index);
                    upstream_weight(config, 160, record, record.load.in_progress, None, rig.now)
                })
                .collect();
            let sum: f64 = weights.iter().sum();
            let mut counts = vec![0_u32; weights.len()];
            for flow in 0..1000 {
                let first = rig.select(rendezvous_weight(flow, seed), None).first;
                counts[rig.members.iter().position(|index| *index == first).unwrap_or_default()] += 1;
            }
            for (count, weight) in counts.iter().zip(&weights) {
                let expected = 1000.0 * weight / sum;
                prop_assert!(f64::from(*count) <= 1.5 * expected + 20.0, "{count} of {expected}");
            }
        }
    }
}
