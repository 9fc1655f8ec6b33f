//! A caller behind the fabric, two entry hosts, two services.

use std::time::Instant;

use bytes::Bytes;
use lagoonproxy_standin::caller::CallOutcome;
use lagoonproxy_standin::caller::Caller;
use lagoonproxy_standin::demo::CALL_BUDGET;
use lagoonproxy_standin::demo::Demo;
use lagoonproxy_standin::demo::DemoService;
use lagoonproxy_standin::upstream::expected_answer;

#[tokio::test(flavor = "multi_thread")]
async fn test_each_service_answers_its_own_callers() {
    let services = [
        DemoService {
            id: 1,
            name: "ledger",
            address: ([10, 0, 0, 1], 700).into(),
            upstreams: 2,
        },
        DemoService {
            id: 2,
            name: "certdocs",
            address: ([10, 0, 0, 2], 443).into(),
            upstreams: 1,
        },
    ];
    let demo = Demo::start(2, &["zig-a", "zig-b"], &services)
        .await
        .unwrap();
    for service in services {
        let seed = u64::from(service.id);
        let mut caller = Caller::bind(demo.caller_addresses.clone(), seed)
            .await
            .unwrap();
        let deadline = Instant::now() + CALL_BUDGET;
        assert!(caller.open(service.address, 1, deadline).await.unwrap());
        for request in 1..=20 {
            let payload = Bytes::from(format!("lot {request} ").repeat(100));
            let outcome = caller
                .call(service.address, 1, request, &payload, CALL_BUDGET)
                .await
                .unwrap();
            let expected = expected_answer(service.name, &payload);
            assert_eq!(outcome, CallOutcome::Answered(expected));
        }
    }
}
