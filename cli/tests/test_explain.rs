//! Tests of `lagoonctl explain` with a file and with the platform as the source.

use argh::FromArgs;
use lagoonctl::command_error::CommandError;
use lagoonctl::command_report::CommandReport;
use lagoonctl::commands::CtlArgs;
use lagoonctl::commands::run;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy_standin::platform::Platform;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/published.yaml");

struct ExplainCase {
    service: &'static str,
    upstream: &'static str,
    code: ResultCode,
    expected_text: &'static str,
}

async fn explain(
    service: &str,
    upstream: &str,
    source: [&str; 2],
) -> Result<CommandReport, CommandError> {
    let arguments = ["explain", "--service", service, "--upstream", upstream];
    let arguments: Vec<&str> = arguments.into_iter().chain(source).collect();
    let args = CtlArgs::from_args(&["lagoonctl"], &arguments).unwrap();
    run(args.command).await
}

fn cases() -> [ExplainCase; 3] {
    [
        ExplainCase {
            service: "ledger",
            upstream: "ledger-zig-a-1",
            code: ResultCode::Success,
            expected_text: "ledger-zig-a-1 may take new traffic of ledger",
        },
        ExplainCase {
            service: "certdocs",
            upstream: "ledger-zig-a-1",
            code: ResultCode::NotCarried,
            expected_text: "does not hold: its `service` is `ledger`",
        },
        ExplainCase {
            service: "ledger",
            upstream: "ledger-bign-1",
            code: ResultCode::NotCarried,
            expected_text: "it is draining",
        },
    ]
}

#[tokio::test]
async fn test_explain_from_file() {
    for case in cases() {
        let source = ["--config", EXAMPLE];
        let report = explain(case.service, case.upstream, source).await.unwrap();
        let name = format!("{} on {}", case.service, case.upstream);
        assert_eq!(report.code, case.code, "{name}");
        assert!(
            report.lines.join("\n").contains(case.expected_text),
            "{report:?}"
        );
    }
}

#[tokio::test]
async fn test_explain_from_platform() {
    let text = std::fs::read_to_string(EXAMPLE).unwrap();
    let config: PublishedConfig = serde_norway::from_str(&text).unwrap();
    let platform = Platform::default();
    platform.publish("services/main/0", &config.services);
    platform.publish("upstreams/zig-a/0", &config.upstreams);
    let address = platform.start().await.unwrap().to_string();
    for case in cases() {
        let source = ["--platform", &address];
        let report = explain(case.service, case.upstream, source).await.unwrap();
        assert_eq!(report.code, case.code, "{}", case.upstream);
    }
}

#[tokio::test]
async fn test_explain_unknown_name_lists_known() {
    let result = explain("ledgr", "ledger-zig-a-1", ["--config", EXAMPLE]).await;
    let error = result.unwrap_err();
    assert_eq!(error.code(), ResultCode::UsageWrong);
    let text = error.to_string();
    assert!(
        text.contains("ledgr; there are: ledger, certdocs"),
        "{text}"
    );
}
