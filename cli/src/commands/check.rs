//! `lagoonctl check`: reports all faults of a selector or a file before it is published or used.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use lagoonproxy::config_check::config_faults;
use lagoonproxy::config_check::config_warnings;
use lagoonproxy::daemon_settings::ControlSettings;
use lagoonproxy::daemon_settings::EntrySettings;
use lagoonproxy::label_selector::LabelSelector;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::settings_reader::SettingsFaults;
use serde_json::json;
use snafu::ResultExt;

use crate::command_error::CommandError;
use crate::command_error::ReadFileSnafu;
use crate::command_report::CommandReport;
use crate::config_source::read_config_file;

/// Check a selector, a published configuration or a daemon's settings.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the kind of input
    #[argh(subcommand)]
    pub kind: CheckKind,
}

/// The kinds of input.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum CheckKind {
    /// A selector, given as an argument.
    Selector(CheckSelector),
    /// A published configuration: services and upstreams.
    Config(CheckConfig),
    /// Settings of lagoon-entry.
    Entry(CheckEntry),
    /// Settings of lagoon-control.
    Control(CheckControl),
}

/// Check the text of a selector.
#[derive(FromArgs)]
#[argh(subcommand, name = "selector")]
pub struct CheckSelector {
    /// the selector, such as service=ledger
    #[argh(positional)]
    pub text: String,
}

/// Check a file with services and upstreams, in YAML or JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct CheckConfig {
    /// path of the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Check the settings of lagoon-entry.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct CheckEntry {
    /// path of the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Check the settings of lagoon-control.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub struct CheckControl {
    /// path of the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Checks the input and returns a report of all its faults.
pub fn cmd_check(args: &CheckArgs) -> Result<CommandReport, CommandError> {
    match &args.kind {
        CheckKind::Selector(args) => Ok(check_selector(&args.text)),
        CheckKind::Config(args) => check_config(&args.file),
        CheckKind::Entry(args) => {
            let text = read_text(&args.file)?;
            Ok(settings_report(
                EntrySettings::parse(&text).map(|_settings| ()),
            ))
        }
        CheckKind::Control(args) => {
            let text = read_text(&args.file)?;
            Ok(settings_report(
                ControlSettings::parse(&text).map(|_settings| ()),
            ))
        }
    }
}

fn check_selector(text: &str) -> CommandReport {
    match LabelSelector::parse(text) {
        Ok(selector) => report(ResultCode::Success, &[], &[selector.to_string()]),
        Err(error) => {
            let pointer = format!("{text}\n{:>column$}", '^', column = error.column());
            report(
                ResultCode::ConfigInvalid,
                &[format!("{pointer}\n{error}")],
                &[],
            )
        }
    }
}

fn check_config(file: &Path) -> Result<CommandReport, CommandError> {
    let config = read_config_file(file)?;
    let faults: Vec<String> = to_strings(&config_faults(&config));
    let warnings = to_strings(&config_warnings(&config));
    let code = if faults.is_empty() {
        ResultCode::Success
    } else {
        ResultCode::ConfigInvalid
    };
    Ok(report(code, &faults, &warnings))
}

fn settings_report(parsed: Result<(), SettingsFaults>) -> CommandReport {
    match parsed {
        Ok(()) => report(ResultCode::Success, &[], &[]),
        Err(error) => report(ResultCode::SettingsInvalid, &to_strings(&error.faults), &[]),
    }
}

fn report(code: ResultCode, faults: &[String], notes: &[String]) -> CommandReport {
    let json = json!({"faults": faults, "notes": notes});
    let mut lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("fault: {fault}"))
        .collect();
    lines.extend(notes.iter().map(|note| format!("note: {note}")));
    if code == ResultCode::Success {
        lines.push("valid".to_owned());
    }
    CommandReport { code, lines, json }
}

fn to_strings<T: ToString>(items: &[T]) -> Vec<String> {
    items.iter().map(ToString::to_string).collect()
}

fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).context(ReadFileSnafu { path })
}
