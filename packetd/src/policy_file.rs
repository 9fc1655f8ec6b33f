//! Reads the policy file: what operators set of the decisions under load.

use std::ops::RangeInclusive;
use std::path::Path;

use lagoonproxy::settings_reader::SettingsFaults;
use lagoonproxy::settings_reader::SettingsReader;
use lagoonproxy_packet::policy_config::PolicyConfig;
use serde_with::Same;

/// Margins of pressure from which flows leave for another zone, in thousandths of a request for each slot. Below the
/// least one, noise moves flows; no pressure reaches the greatest.
const SPILL_MARGINS: RangeInclusive<u32> = 100..=100_000;

/// The policy of a file, or the defaults without one; otherwise every fault, one a line.
pub fn read_policy(path: Option<&Path>) -> Result<PolicyConfig, Vec<String>> {
    let Some(path) = path else {
        return Ok(PolicyConfig::default());
    };
    let shown = path.display();
    let text =
        std::fs::read_to_string(path).map_err(|error| vec![format!("policy {shown}: {error}")])?;
    parse_policy(&text).map_err(|faults| {
        let faults = faults.faults.iter();
        faults
            .map(|fault| format!("policy {shown}: {fault}"))
            .collect()
    })
}

fn parse_policy(text: &str) -> Result<PolicyConfig, SettingsFaults> {
    let mut policy = PolicyConfig::default();
    let mut reader = SettingsReader::new(text)?;
    reader.section("overload", |section| read_overload(section, &mut policy));
    reader.finish(Some(policy))
}

/// Each field has its default in the policy: one line a field, with `optional_within` for those that have a
/// range.
fn read_overload(section: &mut SettingsReader<'_>, policy: &mut PolicyConfig) {
    let exchange = &mut policy.exchange;
    exchange.is_enabled = section.optional("enabled", exchange.is_enabled);
    let dispatch = &mut policy.dispatch;
    dispatch.is_enabled = section.optional("dispatch", dispatch.is_enabled);
    let spill = &mut policy.spill;
    spill.spill_margin =
        section.optional_within::<_, Same>("spill_margin", spill.spill_margin, SPILL_MARGINS);
}
