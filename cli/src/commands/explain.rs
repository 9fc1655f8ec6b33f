//! `lagoonctl explain`: lists why an upstream does or does not get new traffic of a service.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use lagoonproxy::config_check::config_faults;
use lagoonproxy::config_snapshot::UpstreamState;
use lagoonproxy::label_selector::LabelRequirement;
use lagoonproxy::label_selector::LabelSelector;
use lagoonproxy::published_config::PublishedConfig;
use lagoonproxy::published_config::ServiceDoc;
use lagoonproxy::published_config::UpstreamDoc;
use lagoonproxy::result_code::ResultCode;
use serde_json::json;

use crate::command_error::CommandError;
use crate::command_error::UnknownNameSnafu;
use crate::command_report::CommandReport;
use crate::config_source::load_config;

/// Explain why an upstream does or does not get new traffic of a service.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// name of the service
    #[argh(option)]
    pub service: String,
    /// name of the upstream
    #[argh(option)]
    pub upstream: String,
    /// file with services and upstreams
    #[argh(option)]
    pub config: Option<PathBuf>,
    /// address of the platform, used if no file is given
    #[argh(option)]
    pub platform: Option<SocketAddr>,
}

/// Checks the upstream's labels against the service's selector, and the upstream's state and the
/// configuration for other reasons against new traffic.
///
/// Fails if the configuration cannot be read or lacks the service or the upstream.
pub async fn cmd_explain(args: &ExplainArgs) -> Result<CommandReport, CommandError> {
    let config = load_config(args.config.as_ref(), args.platform).await?;
    let service = find_service(&config, &args.service)?;
    let upstream = find_upstream(&config, &args.upstream)?;
    Ok(explain(&config, service, upstream))
}

fn explain(
    config: &PublishedConfig,
    service: &ServiceDoc,
    upstream: &UpstreamDoc,
) -> CommandReport {
    let mut reasons: Vec<String> = Vec::new();
    match LabelSelector::parse(&service.selector) {
        Ok(selector) => {
            let unmet = selector.unmet(&upstream.labels);
            reasons.extend(unmet.map(|requirement| unmet_text(requirement, upstream)));
        }
        Err(error) => reasons.push(format!("the selector is invalid: {error}")),
    }
    if upstream.state == UpstreamState::Draining {
        reasons.push("it is draining: it keeps its flows and takes nothing new".to_owned());
    }
    let faults = config_faults(config);
    if !faults.is_empty() {
        let count = faults.len();
        reasons.push(format!(
            "this configuration has {count} faults and is not in force; see `lagoonctl check config`"
        ));
    }
    explain_report(service, upstream, &reasons)
}

fn explain_report(
    service: &ServiceDoc,
    upstream: &UpstreamDoc,
    reasons: &[String],
) -> CommandReport {
    let carries = reasons.is_empty();
    let verdict = if carries { "may" } else { "may not" };
    let (upstream_name, service_name) = (&upstream.name, &service.name);
    let mut lines = vec![format!(
        "{upstream_name} {verdict} take new traffic of {service_name}"
    )];
    lines.push(format!("selector: {}", service.selector));
    lines.extend(reasons.iter().map(|reason| format!("- {reason}")));
    let code = if carries {
        ResultCode::Success
    } else {
        ResultCode::NotCarried
    };
    let json = json!({
        "service": service_name,
        "upstream": upstream_name,
        "carries": carries,
        "selector": service.selector,
        "reasons": reasons,
    });
    CommandReport { code, lines, json }
}

fn unmet_text(requirement: &LabelRequirement, upstream: &UpstreamDoc) -> String {
    let key = &requirement.key;
    match upstream.labels.get(key) {
        Some(value) => format!("`{requirement}` does not hold: its `{key}` is `{value}`"),
        None => format!("`{requirement}` does not hold: it has no label `{key}`"),
    }
}

fn find_service<'a>(
    config: &'a PublishedConfig,
    name: &str,
) -> Result<&'a ServiceDoc, CommandError> {
    let found = config.services.iter().find(|doc| doc.name == name);
    let known = || config.services.iter().map(|doc| doc.name.to_string());
    found.ok_or_else(|| unknown_name("service", name, known().collect()))
}

fn find_upstream<'a>(
    config: &'a PublishedConfig,
    name: &str,
) -> Result<&'a UpstreamDoc, CommandError> {
    let found = config.upstreams.iter().find(|doc| doc.name == name);
    let known = || config.upstreams.iter().map(|doc| doc.name.to_string());
    found.ok_or_else(|| unknown_name("upstream", name, known().collect()))
}

fn unknown_name(kind: &'static str, name: &str, known: Vec<String>) -> CommandError {
    UnknownNameSnafu { kind, name, known }.build()
}
