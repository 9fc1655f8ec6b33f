//! The entry daemon's metrics and last status for operators.

use std::sync::Mutex;
use std::sync::MutexGuard;

use lagoonproxy::host_status::HostStatus;
use serde_json::Value;

use crate::admin_server::AdminSource;
use crate::daemon_metrics::EntryMetrics;

/// Metrics and status, shared by the daemon's event loop and the admin server.
#[derive(Default)]
pub struct EntryAdmin {
    /// The counters and gauges.
    pub metrics: EntryMetrics,
    status: Mutex<HostStatus>,
}

impl EntryAdmin {
    /// Replaces the status and sets the gauges from it.
    pub fn update(&self, status: HostStatus) {
        self.metrics.update(&status);
        *self.lock() = status;
    }

    fn lock(&self) -> MutexGuard<'_, HostStatus> {
        self.status
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl AdminSource for EntryAdmin {
    fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    fn unready_reason(&self) -> Option<String> {
        self.lock().unready_reason().map(str::to_owned)
    }

    fn status(&self) -> Value {
        serde_json::to_value(&*self.lock()).unwrap_or_default()
    }
}
