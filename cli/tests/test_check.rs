//! Tests of `lagoonctl check`: reported faults and the result code.

use argh::FromArgs;
use lagoonctl::command_report::CommandReport;
use lagoonctl::command_report::format_table;
use lagoonctl::commands::CtlArgs;
use lagoonctl::commands::run;
use lagoonproxy::result_code::ResultCode;

struct SelectorCase {
    text: &'static str,
    code: ResultCode,
    lines: &'static [&'static str],
}

async fn ctl(arguments: &[&str]) -> CommandReport {
    let args = CtlArgs::from_args(&["lagoonctl"], arguments).unwrap();
    run(args.command).await.unwrap()
}

#[tokio::test]
async fn test_check_selector_points_at_fault() {
    let cases = [
        SelectorCase {
            text: "service=ledger,tier in (gold)",
            code: ResultCode::Success,
            lines: &["note: service = ledger, tier in (gold)", "valid"],
        },
        SelectorCase {
            text: "service=ledger,=x",
            code: ResultCode::ConfigInvalid,
            lines: &["fault: service=ledger,=x\n               ^\ncolumn 16: \
                      expected a label's key, found `=`"],
        },
    ];
    for case in cases {
        let report = ctl(&["check", "selector", case.text]).await;
        assert_eq!(report.code, case.code, "{}", case.text);
        assert_eq!(report.lines, case.lines, "{}", case.text);
    }
}

#[tokio::test]
async fn test_check_committed_examples_are_valid() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples");
    let cases = [
        ("config", "published.yaml"),
        ("entry", "lagoon-entry.yaml"),
        ("control", "lagoon-control.yaml"),
    ];
    for (kind, file) in cases {
        let report = ctl(&["check", kind, &format!("{root}/{file}")]).await;
        assert_eq!(report.code, ResultCode::Success, "{file}: {report:?}");
    }
}

#[tokio::test]
async fn test_json_report_has_code() {
    let report = ctl(&["check", "selector", "a b"]).await;
    let json: serde_json::Value = serde_json::from_str(&report.render(true)).unwrap();
    assert_eq!(json["code"], 101);
    assert_eq!(json["faults"].as_array().unwrap().len(), 1);
}

#[test]
fn test_table_columns_are_aligned() {
    let rows = [["a", "bb"], ["ccc", "d"]].map(|row| row.map(str::to_owned).to_vec());
    assert_eq!(format_table(&rows), ["a    bb", "ccc  d"]);
}
