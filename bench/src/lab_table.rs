//! Formats the result table of the control plane experiment.

use crate::lab_scenario::ScenarioResult;

impl ScenarioResult {
    /// Returns the column headings for [`Self::table_row`].
    pub fn table_head() -> String {
        format!(
            "{:<20} {:>5} {:>5} {:>5} {:>8} {:>8} {:>8} {:>8} {:>7} {:>5} {:>6} {:>7}",
            "scenario",
            "hosts",
            "upstr",
            "shard",
            "mean B/s",
            "most B/s",
            "calls/s",
            "force s",
            "MB/host",
            "mixed",
            "revert",
            "core %"
        )
    }

    /// Returns the result as a table row.
    pub fn table_row(&self) -> String {
        let force = self.in_force_seconds;
        format!(
            "{:<20} {:>5} {:>5} {:>5} {:>8.0} {:>8.0} {:>8.2} {:>8} {:>7.2} {:>5} {:>6} {:>7.3}",
            self.scenario,
            self.hosts,
            self.upstreams,
            self.upstream_shard,
            self.mean_bytes_per_second,
            self.most_bytes_per_second,
            self.platform_calls_per_second,
            force.map_or("never".to_owned(), |seconds| format!("{seconds:.2}")),
            self.memory_per_host as f64 / 1e6,
            self.mixed,
            self.reverted,
            self.core_share * 100.0,
        )
    }
}
