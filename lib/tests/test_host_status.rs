//! Tests of when a host calls itself ready.

use lagoonproxy::host_status::HostStatus;

struct ReadyCase {
    name: &'static str,
    change: fn(&mut HostStatus),
    reason: Option<&'static str>,
}

#[test]
fn test_host_is_ready_once_it_would_not_refuse_what_it_will_soon_take_on() {
    // Callers are told 'unknown' in the first seconds of a fleet: the fabric hands them to hosts whose
    // claims are not settled yet, because the hosts call themselves ready with their first list.
    let cases = [
        ReadyCase {
            name: "serving",
            change: |_status| {},
            reason: None,
        },
        ReadyCase {
            name: "claim not settled yet",
            change: |status| {
                status.holds_claim = false;
                status.settling = true;
            },
            reason: Some("the claim is not settled yet"),
        },
        ReadyCase {
            name: "claim lost in a cut",
            change: |status| status.holds_claim = false,
            reason: None,
        },
        ReadyCase {
            name: "no configuration",
            change: |status| status.config_version = None,
            reason: Some("no configuration yet"),
        },
        ReadyCase {
            name: "no host list",
            change: |status| status.hosts_alive = 0,
            reason: Some("no host list yet"),
        },
        ReadyCase {
            name: "draining",
            change: |status| status.draining = true,
            reason: Some("draining"),
        },
    ];
    for case in cases {
        let mut status = HostStatus {
            config_version: Some(1),
            hosts_alive: 8,
            holds_claim: true,
            ..HostStatus::default()
        };
        (case.change)(&mut status);
        assert_eq!(status.unready_reason(), case.reason, "{}", case.name);
    }
}
