//! Tests of selectors: which labels match, and the columns of errors.

use lagoonproxy::label_selector::LabelMap;
use lagoonproxy::label_selector::LabelSelector;
use proptest::proptest;

struct MatchCase {
    selector: &'static str,
    matches: bool,
}

struct ErrorCase {
    selector: &'static str,
    column: usize,
    message: &'static str,
}

fn labels() -> LabelMap {
    let pairs = [
        ("service", "ledger"),
        ("tier", "gold"),
        ("example.org/ring", "2"),
    ];
    pairs
        .into_iter()
        .map(|(key, value)| (key.into(), value.into()))
        .collect()
}

#[test]
fn test_selector_matches() {
    let cases = [
        ("service=ledger", true),
        ("service == ledger , tier=gold", true),
        ("service=portal", false),
        ("service!=portal", true),
        ("zone!=delft", true),
        ("service in (ledger, portal)", true),
        ("tier in (silver)", false),
        ("missing in (ledger)", false),
        ("tier notin (silver,bronze)", true),
        ("missing notin (x)", true),
        ("tier notin (gold)", false),
        ("tier", true),
        ("missing", false),
        ("!missing", true),
        ("!tier", false),
        ("example.org/ring=2", true),
        ("in", false),
        ("service=ledger,!drain", true),
        ("service=ledger,tier=silver", false),
    ]
    .map(|(selector, matches)| MatchCase { selector, matches });
    for case in cases {
        let selector = LabelSelector::parse(case.selector).unwrap();
        assert_eq!(
            selector.matches(&labels()),
            case.matches,
            "{}",
            case.selector
        );
    }
}

#[test]
fn test_selector_error_points_at_column() {
    let cases = [
        ("", 1, "empty"),
        ("   ", 1, "empty"),
        ("a=b,", 5, "expected a label's key, found the end"),
        (",a=b", 1, "expected a label's key, found `,`"),
        ("a=", 3, "expected a label's value, found the end"),
        ("a=b c=d", 5, "expected `,` or the end, found `c`"),
        ("a b", 3, "found `b`"),
        ("a in b", 6, "expected `(`, found `b`"),
        ("a in (b", 8, "expected `,` or `)`, found the end"),
        ("a in ()", 7, "expected a label's value, found `)`"),
        ("a in (b, b)", 10, "second time"),
        ("a=b, c, a = b", 9, "second time"),
        ("a=b;c=d", 4, "found `;`"),
        ("é=b", 1, "expected"),
        ("a=b, -x", 6, "begin and end"),
        ("!", 2, "expected a label's key"),
        ("a=x/y", 3, "`/` is not allowed"),
    ]
    .map(|(selector, column, message)| ErrorCase {
        selector,
        column,
        message,
    });
    for case in cases {
        let error = LabelSelector::parse(case.selector).unwrap_err();
        assert_eq!(error.column(), case.column, "{:?}: {error}", case.selector);
        let text = error.to_string();
        assert!(text.contains(case.message), "{:?}: {text}", case.selector);
    }
}

#[test]
fn test_selector_too_long_is_refused() {
    let text = "a".repeat(5_000);
    let error = LabelSelector::parse(&text).unwrap_err();
    assert!(error.to_string().contains("more than 4096"));
}

proptest! {
    #[test]
    fn test_selector_any_text_does_not_panic(text in "\\PC{0,60}") {
        let _parsed = LabelSelector::parse(&text);
    }

    #[test]
    fn test_selector_display_parses_to_itself(
        text in "(!?[a-c]|[a-c] ?(=|!=) ?[x-z]|[a-c] (in|notin) \\([x-z]\\))(, ?[d-f]){0,2}"
    ) {
        if let Ok(selector) = LabelSelector::parse(&text) {
            let again = LabelSelector::parse(&selector.to_string()).unwrap();
            assert_eq!(again, selector);
        }
    }
}
