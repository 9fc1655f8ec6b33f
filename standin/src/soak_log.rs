//! Finds the log lines of the hosts that explain why a flow was reset.

use std::path::Path;

use serde_json::Value;

use crate::packet_cluster::ClusterHost;
use crate::soak_state::WrongReset;

/// Bounds of the lines that are shown: resets, and the last lines about the upstream before one.
const MAX_RESETS: usize = 20;
const MAX_UPSTREAM_LINES: usize = 6;

/// A log line of a host.
struct LogLine {
    time_ms: u64,
    host: usize,
    text: String,
    fields: Value,
}

impl LogLine {
    fn has(&self, field: &str, value: &str) -> bool {
        self.fields[field].as_str() == Some(value)
    }
}

/// Returns the refusals of the first flows of `resets` and the changes of their upstreams before
/// it, and the paths of the logs, which are kept.
pub(crate) fn find_evidence(hosts: &mut [ClusterHost], resets: &[WrongReset]) -> Vec<String> {
    let mut lines = Vec::new();
    let mut evidence = Vec::new();
    for (index, host) in hosts.iter_mut().enumerate() {
        let path = host.keep_log();
        evidence.push(format!("log of host {index}: {}", path.display()));
        lines.extend(read_lines(index, path));
    }
    lines.sort_by_key(|line| line.time_ms);
    for reset in resets.iter().take(MAX_RESETS) {
        let caller = reset.caller.to_string();
        let upstream = format!("i-{:x}", reset.upstream);
        evidence.push(format!("flow {caller} of {upstream}:"));
        let refusal = lines
            .iter()
            .rposition(|line| line.has("message", "flow refused") && line.has("caller", &caller));
        let Some(refusal) = refusal else {
            evidence.push("no line `flow refused` of it".to_owned());
            continue;
        };
        let changes: Vec<&LogLine> = lines[..refusal]
            .iter()
            .filter(|line| line.has("message", "upstream") && line.has("upstream", &upstream))
            .collect();
        let first_shown = changes.len().saturating_sub(MAX_UPSTREAM_LINES);
        let shown = changes[first_shown..].iter().copied();
        evidence.extend(
            shown
                .chain([&lines[refusal]])
                .map(|line| format!("host {}: {}", line.host, line.text)),
        );
    }
    evidence
}

/// Reads the complete lines of a host's log. A line that was cut by a signal is left out.
fn read_lines(host: usize, path: &Path) -> Vec<LogLine> {
    let text = std::fs::read(path).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    text.lines()
        .filter_map(|line| {
            let fields: Value = serde_json::from_str(line).ok()?;
            Some(LogLine {
                time_ms: fields["time_ms"].as_u64()?,
                host,
                text: line.to_owned(),
                fields,
            })
        })
        .collect()
}
