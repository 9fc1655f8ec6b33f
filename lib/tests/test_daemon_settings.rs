//! Tests of settings: all faults at once, each with its line and field.

use std::time::Duration;

use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy::daemon_settings::EntrySettings;
use lagoonproxy::settings_reader::SettingsReader;
use lagoonproxy::unit_text::DurationText;
use serde_with::Same;

const ENTRY: &str = "\
# an entry host
host: 3
zone: zig-a
caller_address: 127.0.0.1:7000
peer_address: 127.0.0.1:7001
upstream_address: 127.0.0.1:7002
control_address: 127.0.0.1:7003
shared_key: '000102030405060708090a0b0c0d0e0f'
flow_idle: 90m
";

struct FaultCase {
    name: &'static str,
    text: String,
    faults: &'static [(Option<usize>, &'static str, &'static str)],
}

#[test]
fn test_entry_settings_are_read() {
    let settings = EntrySettings::parse(ENTRY).unwrap();
    assert_eq!(settings.host, 3);
    assert_eq!(settings.flow_idle, Duration::from_secs(5_400));
    assert_eq!(settings.drain_limit, Duration::from_secs(120));
    assert_eq!(settings.shared_key.bytes()[15], 0x0f);
}

#[test]
fn test_entry_settings_name_every_fault() {
    let cases = [
        FaultCase {
            name: "unit, address, unknown and missing at once",
            text: ENTRY
                .replace("90m", "90")
                .replace("127.0.0.1:7001", "localhost")
                .replace("zone: zig-a\n", "zon: zig-a\n"),
            faults: &[
                (Some(3), "zon", "no such field"),
                (Some(5), "peer_address", "invalid socket address"),
                (Some(9), "flow_idle", "units ms, s, m, h"),
                (None, "zone", "missing"),
            ],
        },
        FaultCase {
            name: "one address twice",
            text: ENTRY.replace("127.0.0.1:7002", "127.0.0.1:7000"),
            faults: &[(Some(6), "upstream_address", "stands in caller_address too")],
        },
        FaultCase {
            name: "short key",
            text: ENTRY.replace("0e0f", ""),
            faults: &[(Some(8), "shared_key", "32 hexadecimal digits")],
        },
        FaultCase {
            name: "key that only begins like a number",
            text: ENTRY.replace("'0001", "'+001"),
            faults: &[(Some(8), "shared_key", "32 hexadecimal digits")],
        },
        FaultCase {
            name: "no YAML",
            text: "host: [1".to_owned(),
            faults: &[(Some(2), "", "flow sequence at line 1")],
        },
        FaultCase {
            name: "empty",
            text: String::new(),
            faults: &[(None, "", "expected `field: value` lines")],
        },
        FaultCase {
            name: "too large a duration",
            text: ENTRY.replace("90m", "99999999999999999999h"),
            faults: &[(Some(9), "flow_idle", "too large")],
        },
        FaultCase {
            name: "zero",
            text: ENTRY.replace("90m", "0s"),
            faults: &[(Some(9), "flow_idle", "longer than zero")],
        },
    ];
    for case in cases {
        let refused = EntrySettings::parse(&case.text).unwrap_err();
        let name = case.name;
        assert_eq!(refused.faults.len(), case.faults.len(), "{name}: {refused}");
        for (fault, (line, field, expected_message)) in refused.faults.iter().zip(case.faults) {
            assert_eq!(fault.line, *line, "{name}: {fault}");
            assert_eq!(fault.field, *field, "{name}: {fault}");
            assert!(fault.message.contains(expected_message), "{name}: {fault}");
        }
    }
}

#[test]
fn test_control_settings_read_bytes_with_unit() {
    let text = "\
host: 3
zone: zig-a
control_address: 127.0.0.1:7003
platform_address: 127.0.0.1:7100
shared_key: '000102030405060708090a0b0c0d0e0f'
byte_budget: 25KiB
";
    let settings = ControlSettings::parse(text).unwrap();
    assert_eq!(settings.byte_budget, 25 * 1_024);
    assert_eq!(settings.region, "main");
}

#[test]
fn test_shared_key_is_not_printed() {
    let settings = EntrySettings::parse(ENTRY).unwrap();
    let printed = format!("{settings:?}");
    assert!(printed.contains("SharedKey(..)"), "{printed}");
    assert!(!printed.contains("0a0b"), "{printed}");
}

#[test]
fn test_fields_within_a_range() {
    // Guards against a value that is used although it is out of range, or whose fault hides those
    // of other fields.
    struct Case {
        name: &'static str,
        text: &'static str,
        values: Option<(Duration, u32)>,
        faults: &'static [(Option<usize>, &'static str, &'static str)],
    }
    let cases = [
        Case {
            name: "the ends of the ranges",
            text: "pause: 1s\nshare: 1000\n",
            values: Some((Duration::from_secs(1), 1000)),
            faults: &[],
        },
        Case {
            name: "the defaults",
            text: "{}",
            values: Some((Duration::from_millis(250), 100)),
            faults: &[],
        },
        Case {
            name: "both out of range",
            text: "share: 1001\npause: 9ms\n",
            values: None,
            faults: &[
                (Some(1), "share", "from 0 to 1000"),
                (Some(2), "pause", "from 10ms to 1s"),
            ],
        },
        Case {
            name: "a unit is missing, and a type is wrong",
            text: "pause: 250\nshare: -1\n",
            values: None,
            faults: &[(Some(1), "pause", "units ms"), (Some(2), "share", "u32")],
        },
    ];
    for case in cases {
        let mut reader = SettingsReader::new(case.text).expect(case.name);
        let pauses = Duration::from_millis(10)..=Duration::from_secs(1);
        let pause = Duration::from_millis(250);
        let pause = reader.optional_within::<_, DurationText>("pause", pause, pauses);
        let share = reader.optional_within::<u32, Same>("share", 100, 0..=1000);
        let outcome = reader.finish(Some((pause, share)));
        let faults = outcome.as_ref().err().map(|faults| faults.faults.clone());
        assert_eq!(outcome.ok(), case.values, "{}", case.name);
        let faults = faults.unwrap_or_default();
        assert_eq!(faults.len(), case.faults.len(), "{}: {faults:?}", case.name);
        for (fault, (line, field, message)) in faults.iter().zip(case.faults) {
            let found = (fault.line, fault.field.as_str());
            assert_eq!(found, (*line, *field), "{}", case.name);
            assert!(fault.message.contains(message), "{}: {fault}", case.name);
        }
    }
}
