//! Reads the policy file, in which operators configure decisions under load.

use std::ops::RangeInclusive;
use std::path::Path;

use lagoonproxy::settings_reader::SettingsFaults;
use lagoonproxy::settings_reader::SettingsReader;
use lagoonproxy_packet::policy_config::PolicyConfig;
use serde_with::Same;

/// Valid differences of pressure from which flows are placed in another zone, in thousandths of a
/// request per slot. Below the minimum, noise would cause spill. No pressure reaches the maximum.
const SPILL_MARGINS: RangeInclusive<u32> = 100..=100_000;

/// Reads the policy from a file, or returns the defaults without one. Fails with all faults of the
/// file, one line each.
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

/// Reads the `overload` section. Fields that are missing keep the defaults of the policy.
fn read_overload(section: &mut SettingsReader<'_>, policy: &mut PolicyConfig) {
    let exchange = &mut policy.exchange;
    exchange.is_enabled = section.optional("enabled", exchange.is_enabled);
    let dispatch = &mut policy.dispatch;
    dispatch.is_enabled = section.optional("dispatch", dispatch.is_enabled);
    let spill = &mut policy.spill;
    spill.spill_margin =
        section.optional_within::<_, Same>("spill_margin", spill.spill_margin, SPILL_MARGINS);
}
