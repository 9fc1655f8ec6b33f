//! Tests of versions across eras.

use lagoonproxy::key_version::compose_version;
use lagoonproxy::key_version::format_version;
use lagoonproxy::key_version::parse_version;
use lagoonproxy::key_version::split_version;

#[test]
fn test_versions_of_later_eras_are_larger() {
    // Guards against treating a later era's version as older because its revision is smaller.
    struct Case {
        era: u64,
        revision: u64,
        text: &'static str,
    }
    let ascending = [
        Case {
            era: 0,
            revision: 0,
            text: "0",
        },
        Case {
            era: 0,
            revision: 105,
            text: "105",
        },
        Case {
            era: 0,
            revision: (1 << 40) - 1,
            text: "1099511627775",
        },
        Case {
            era: 1,
            revision: 0,
            text: "1.0",
        },
        Case {
            era: 1,
            revision: 7,
            text: "1.7",
        },
        Case {
            era: (1 << 24) - 1,
            revision: 3,
            text: "16777215.3",
        },
    ];
    let mut last = None;
    for case in ascending {
        let version = compose_version(case.era, case.revision).expect(case.text);
        assert!(Some(version) > last, "{}", case.text);
        last = Some(version);
        assert_eq!(split_version(version), (case.era, case.revision));
        assert_eq!(format_version(version), case.text);
        assert_eq!(parse_version(case.text), Ok(version));
    }
}

#[test]
fn test_texts_that_are_no_versions() {
    for text in [
        "",
        "x",
        "-1",
        "1.",
        ".1",
        "1.2.3",
        "1099511627776",
        "16777216.0",
    ] {
        assert!(parse_version(text).is_err(), "{text}");
    }
}
