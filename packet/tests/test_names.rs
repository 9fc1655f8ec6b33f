//! Tests that decisions depend on observations and not on names.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::host_settings::HostSettings;
use lagoonproxy_packet::packet_action::PacketAction;
use lagoonproxy_packet::packet_action::PacketOutput;
use lagoonproxy_packet::packet_core::PacketCore;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_packet::upstreams::upstream_entry::UpstreamEntry;
use lagoonproxy_packet::upstreams::upstream_table::flow_tag;

use crate::core_rig::*;

/// The names of a deployment.
struct Naming {
    name: &'static str,
    zones: [&'static str; 2],
    service: &'static str,
    upstream_prefix: &'static str,
    /// Offset between the number in an upstream's name and its number in the test.
    number_offset: u8,
    /// Whether its upstreams have the same tags as those of the first naming.
    same_tags: bool,
}

/// Returns how many SYNs left the zone, were deferred, and were sent to two upstreams.
fn totals(outcomes: &[SynResult]) -> [usize; 3] {
    let count = |wanted: fn(&SynResult) -> bool| {
        let found = outcomes.iter().filter(|outcome| wanted(outcome));
        found.count()
    };
    [
        count(|outcome| outcome.local == Some(false)),
        count(|outcome| outcome.local.is_none()),
        count(|outcome| outcome.copies_sent == 2),
    ]
}

/// The outcome of one SYN, independent of names.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SynResult {
    /// Whether it went to an upstream of the own zone; `None` if it was deferred.
    local: Option<bool>,
    /// Number of upstreams that got the SYN.
    copies_sent: usize,
}

/// Runs an overload: one SYN every 4 ms, of which every third is a retransmission, to six
/// upstreams of which two are in another zone. Each request is answered after 150 ms.
fn run_overload(naming: &Naming, config: PolicyConfig) -> Vec<SynResult> {
    let start = Instant::now();
    let settings = HostSettings {
        zone: naming.zones[0].into(),
        host: naming.service.into(),
        ..settings()
    };
    let entries: Vec<UpstreamEntry> = (1..=6)
        .map(|number| UpstreamEntry {
            name: format!(
                "{}{:02x}",
                naming.upstream_prefix,
                number + naming.number_offset
            )
            .into(),
            zone: naming.zones[usize::from(number > 4)].into(),
            ..entry(number, naming.service)
        })
        .collect();
    let tags: Vec<u32> = entries.iter().map(|entry| flow_tag(&entry.name)).collect();
    let mut items = vec![routes_item(1, routes(1, &[(ledger(), naming.service)]))];
    items.extend(entries.into_iter().map(|entry| upstream_item(1, entry)));
    let mut core = PacketCore::new(&settings, config);
    core.merge(start, &whole(10, items), &mut PacketOutput::default());
    let mut open: Vec<(Instant, u16, usize)> = Vec::new();
    let mut outcomes = Vec::new();
    for step in 0..400_u16 {
        let now = start + Duration::from_millis(4 * u64::from(step));
        if step % 25 == 0 {
            core.tick(now, &mut PacketOutput::default());
        }
        open.retain(|(end, flow, at)| {
            let mut last = established_head(*flow, 0, 100, 501, 0);
            (last.tag, last.last) = (tags[*at], true);
            if *end <= now {
                core.handle_packet(now, &last, &mut PacketOutput::default());
            }
            *end > now
        });
        let mut output = PacketOutput::default();
        core.handle_packet(now, &open_head(step, u32::from(step % 3 == 0)), &mut output);
        let sent = forwarded(&output.actions);
        outcomes.push(SynResult {
            local: sent.first().map(|number| *number <= 4),
            copies_sent: sent.len(),
        });
        let Some(PacketAction::Forward { number, .. }) = output.actions.first() else {
            continue;
        };
        let at = *number as usize - 1;
        let mut request = established_head(step, 0, 0, 1, 100);
        request.tag = tags[at];
        core.handle_packet(now, &request, &mut PacketOutput::default());
        open.push((now + Duration::from_millis(150), step, at));
    }
    outcomes
}

#[test]
fn test_names_decide_nothing() {
    // Guards against policies that depend on the names of a deployment. Since tags decide ties,
    // namings with other tags may differ in a fiftieth of the SYNs.
    let namings = [
        Naming {
            name: "names of the other tests",
            zones: ["a", "b"],
            service: "ledger",
            upstream_prefix: "i-",
            number_offset: 0,
            same_tags: true,
        },
        Naming {
            name: "zones that sort the other way",
            zones: ["zone-9", "zone-1"],
            service: "s",
            upstream_prefix: "i-",
            number_offset: 0,
            same_tags: true,
        },
        Naming {
            name: "other upstream names and tags",
            zones: ["a", "b"],
            service: "a-service-with-a-long-name",
            upstream_prefix: "upstream-ffee",
            number_offset: 77,
            same_tags: false,
        },
    ];
    let mut without_exchange = PolicyConfig::default();
    without_exchange.exchange.is_enabled = false;
    let expected = run_overload(&namings[0], without_exchange);
    let expected_totals = totals(&expected);
    assert!(
        expected_totals.iter().all(|count| *count > 10),
        "{expected_totals:?}"
    );
    for config in [without_exchange, PolicyConfig::default()] {
        let expected = run_overload(&namings[0], config);
        let expected_totals = totals(&expected);
        for naming in &namings[1..] {
            let outcomes = run_overload(naming, config);
            let actual = totals(&outcomes);
            if naming.same_tags {
                assert_eq!(outcomes, expected, "{}", naming.name);
            }
            for (count, other) in actual.iter().zip(&expected_totals) {
                let tolerance = expected.len() / 50;
                assert!(
                    count.abs_diff(*other) <= tolerance,
                    "{}: {actual:?}",
                    naming.name
                );
            }
        }
    }
}
