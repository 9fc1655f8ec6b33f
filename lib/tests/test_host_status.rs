//! Tests of the readiness of a host.

use lagoonproxy::host_status::HostStatus;

struct ReadyCase {
    name: &'static str,
    change: fn(&mut HostStatus),
    reason: Option<&'static str>,
}

#[test]
fn test_host_is_ready_once_its_lease_is_settled() {
    // If hosts were ready with their first host list, the fabric would send callers to hosts whose
    // leases are not settled yet, and in the first seconds of a fleet callers would get the outcome
    // 'unknown'.
    let cases = [
        ReadyCase {
            name: "serving",
            change: |_status| {},
            reason: None,
        },
        ReadyCase {
            name: "lease not settled yet",
            change: |status| {
                status.holds_claim = false;
                status.settling = true;
            },
            reason: Some("the claim is not settled yet"),
        },
        ReadyCase {
            name: "lease lost in a partition",
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
