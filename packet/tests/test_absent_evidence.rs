//! Tests of decisions that act on the absence of something that may only be late, or may have gone
//! through another host.

use crate::core_rig::*;

#[test]
fn test_handshakes_that_end_at_another_host_reset_no_flow() {
    // Guards against flows whose handshake goes on through another host, after a change of the
    // fabric's rotation, that count as unanswered SYNs of their upstream.
    struct Case {
        name: &'static str,
        zone: &'static str,
        half_open: usize,
    }
    let case = |name, zone, half_open| Case {
        name,
        zone,
        half_open,
    };
    let cases = [
        case("three flows in this zone", ZONE, 3),
        case("three flows in another zone", "b", 3),
        case("more flows", ZONE, 6),
    ];
    for case in cases {
        let entries = [1, 2, 3, 4].map(|number| {
            let mut entry = entry(number, "ledger");
            entry.zone = case.zone.into();
            entry
        });
        let mut rig = CoreRig::with_entries(entries.to_vec());
        let idle = (0..20).filter(|flow| rig.establish(*flow) == 1).count();
        assert!(idle > 0, "{}", case.name);
        rig.advance_time(1000);
        let mut half_open = 0;
        for flow in 100..300 {
            let upstream = rig.open(flow, 0)[0];
            if upstream == 1 {
                half_open += 1;
            } else {
                rig.packet(&established_head(flow, upstream, 0, 1, 0));
            }
            if half_open == case.half_open {
                break;
            }
        }
        assert_eq!(half_open, case.half_open, "{}", case.name);
        rig.advance_time(4000);
        assert!(
            rig.resets.is_empty(),
            "{}: flows of a sound upstream were reset",
            case.name
        );
        assert!(
            !upstream_is_ejected(&rig, 1),
            "{}: a sound upstream gets no new flows",
            case.name
        );
    }
}

fn upstream_is_ejected(rig: &CoreRig, number: u8) -> bool {
    let upstreams = rig.core.upstreams();
    let index = upstreams.by_tag(tag(number)).expect("a known upstream");
    upstreams.get(index).failure_detector.is_ejected()
}
