//! Tests the whole path: callers behind a fabric that drops, duplicates and reorders datagrams, up
//! to eight entry hosts, and the upstreams of two services.

use lagoonproxy_standin::demo::DEMO_SERVICES;
use lagoonproxy_standin::demo::DEMO_ZONES;
use lagoonproxy_standin::demo::Demo;
use lagoonproxy_standin::demo::service_addresses;
use lagoonproxy_standin::fabric::FabricSettings;
use lagoonproxy_standin::load_run::LoadRun;
use lagoonproxy_standin::load_run::demo_load;

struct FabricCase {
    name: &'static str,
    hosts: u32,
    requests: u64,
    fabric: FabricSettings,
}

#[tokio::test(flavor = "multi_thread")]
async fn test_callers_receive_whole_answers_of_their_own() {
    let cases = [
        FabricCase {
            name: "faultless fabric, two hosts",
            hosts: 2,
            requests: 300,
            fabric: FabricSettings::default(),
        },
        FabricCase {
            name: "loss, duplication and reordering, eight hosts",
            hosts: 8,
            requests: 1_000,
            fabric: FabricSettings {
                seed: 7,
                loss: 0.02,
                duplication: 0.02,
                reordering: 0.02,
                held_ms: 5.0,
                ..FabricSettings::default()
            },
        },
    ];
    for case in cases {
        let demo = Demo::start(case.hosts, &DEMO_ZONES, &DEMO_SERVICES, case.fabric)
            .await
            .unwrap();
        let addresses = service_addresses(&DEMO_SERVICES);
        let settings = demo_load(&addresses, &DEMO_ZONES, case.requests);
        let run = LoadRun::open(settings, &demo.fabric).await.unwrap();
        let mut report = run.run().await;
        let services = DEMO_SERVICES.map(|service| service.address);
        report.verify(&services, &demo.run_reports());
        assert_eq!(report.jobs(), case.requests, "{}", case.name);
        assert_eq!(report.exit_code(), 0, "{}\n{report}", case.name);
    }
}
