//! Tests of the faults that reject a published configuration, and of its warnings.

use lagoonproxy::config_check::config_faults;
use lagoonproxy::config_check::config_warnings;
use lagoonproxy::published_config::PublishedConfig;

use crate::world::ledger_config;

struct ConfigCase {
    name: &'static str,
    change: fn(&mut PublishedConfig),
    faults: &'static [&'static str],
    warnings: &'static [&'static str],
}

fn add_portal(config: &mut PublishedConfig, selector: &str) {
    let mut portal = config.services[0].clone();
    portal.id = 2;
    portal.name = "portal".into();
    portal.address = ([10, 0, 0, 9], 80).into();
    portal.selector = selector.to_owned();
    config.services.push(portal);
}

#[test]
fn test_config_faults_and_warnings() {
    let cases = [
        ConfigCase {
            name: "valid",
            change: |_config| {},
            faults: &[],
            warnings: &[],
        },
        ConfigCase {
            name: "two services at one address",
            change: |config| {
                add_portal(config, "service=portal");
                config.services[1].address = config.services[0].address;
            },
            faults: &["service portal: address 10.0.0.1:700 belongs to ledger too"],
            warnings: &["service portal: no upstream matches its selector"],
        },
        ConfigCase {
            name: "several faults at once",
            change: |config| {
                config.services[0].selector = "service=".to_owned();
                config.upstreams[1].id = 0;
                config.upstreams[1].name = "ledger-0".into();
                config.upstreams[2].slots = 0;
                config.upstreams[2].labels.insert("-x".into(), "y".into());
            },
            faults: &[
                "service ledger: selector: column 9",
                "upstream ledger-0: number 0 belongs to ledger-0 too",
                "upstream ledger-0: the name stands here twice",
                "upstream ledger-2: label: `-x` must begin and end",
                "upstream ledger-2: slots must be more than zero",
            ],
            warnings: &[],
        },
        ConfigCase {
            name: "an upstream of two services",
            change: |config| add_portal(config, "service in (ledger, portal)"),
            faults: &[],
            warnings: &[
                "upstream ledger-0: matches the selectors of 2 services: ledger, portal",
                "upstream ledger-1",
                "upstream ledger-2",
            ],
        },
    ];
    for case in cases {
        let mut config = ledger_config(1, 3);
        (case.change)(&mut config);
        let faults = config_faults(&config);
        let name = case.name;
        assert_eq!(config.compile().is_ok(), case.faults.is_empty(), "{name}");
        assert_eq!(faults.len(), case.faults.len(), "{name}: {faults:?}");
        for (fault, message) in faults.iter().zip(case.faults) {
            assert!(fault.to_string().starts_with(message), "{name}: {fault}");
        }
        let warnings = config_warnings(&config);
        assert_eq!(warnings.len(), case.warnings.len(), "{name}: {warnings:?}");
        for (warning, message) in warnings.iter().zip(case.warnings) {
            assert!(
                warning.to_string().starts_with(message),
                "{name}: {warning}"
            );
        }
    }
}
