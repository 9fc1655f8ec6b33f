//! Tests of the result codes.

use lagoonproxy::result_code::ResultCode;

#[test]
fn test_codes_are_ascending_and_round_trip() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|left, right| left < right));
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::try_from(code.number()), Ok(*code));
    }
}

#[test]
fn test_codes_are_all_documented() {
    let page = include_str!("../../docs/result-codes.md");
    for code in ResultCode::ALL {
        let row = format!("| {} | `{code:?}` |", code.number());
        assert!(page.contains(&row), "docs/result-codes.md lacks {row}");
    }
}
