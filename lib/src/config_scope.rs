//! Computes which published keys a host needs.

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::config_value::HOSTS_PREFIX;
use crate::config_value::SERVICES_PREFIX;
use crate::config_value::UPSTREAMS_PREFIX;
use crate::daemon_settings::DEFAULT_REGION;
use crate::ids::ConfigKey;
use crate::ids::ZoneName;

/// The prefixes of a region's keys, limited to some zones unless `zones` is empty.
///
/// The default region without a limit is read under one empty prefix: one revision then covers all
/// keys, and a reader never has to check whether another prefix changed too.
pub fn scope_prefixes(region: &str, zones: &[ZoneName]) -> Vec<ConfigKey> {
    if region == DEFAULT_REGION && zones.is_empty() {
        return vec![SmolStr::default()];
    }
    let mut prefixes = vec![format_smolstr!("{SERVICES_PREFIX}{region}/")];
    if zones.is_empty() {
        prefixes.extend([UPSTREAMS_PREFIX.into(), HOSTS_PREFIX.into()]);
    }
    for zone in zones {
        prefixes.push(format_smolstr!("{UPSTREAMS_PREFIX}{zone}/"));
        prefixes.push(format_smolstr!("{HOSTS_PREFIX}{zone}"));
    }
    prefixes
}
