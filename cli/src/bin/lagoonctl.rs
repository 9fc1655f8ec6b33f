//! `lagoonctl`, the command-line client for operators.

use std::process::ExitCode;

use lagoonctl::commands;
use lagoonctl::commands::CtlArgs;
use lagoonproxy::result_code::ResultCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: CtlArgs = argh::from_env();
    let code = match commands::run(args.command).await {
        Ok(report) => {
            println!("{}", report.render(args.json));
            report.code
        }
        Err(error) => {
            eprintln!("error {}: {error}", error.code().number());
            error.code()
        }
    };
    exit_code(code)
}

/// Converts a result code to an exit code. All results of this program are below 200 and fit.
fn exit_code(code: ResultCode) -> ExitCode {
    ExitCode::from(u8::try_from(code.number()).unwrap_or(u8::MAX))
}
