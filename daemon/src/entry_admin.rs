//! What the entry daemon shows to operators: its metrics and its last status.

use std::sync::Mutex;
use std::sync::MutexGuard;

use lagoonproxy::host_status::HostStatus;
use serde_json::Value;

use crate::admin_server::AdminSource;
use crate::daemon_metrics::EntryMetrics;

/// Shared by the loop that carries datagrams and the admin server.
#[derive(Default)]
pub struct EntryAdmin {
    /// The counters and gauges.
    pub metrics: EntryMetrics,
    status: Mutex<HostStatus>,
}

impl EntryAdmin {
    /// Takes a new status.
    pub fn observe(&self, status: HostStatus) {
        self.metrics.observe(&status);
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
