//! Tests of `lagoon-packet` as separate processes, in one program so that linking is fast.

mod faulty_peer;
#[path = "../src/service_metrics.rs"]
mod service_metrics;
mod test_dispatch_processes;
mod test_packet_changes;
mod test_packet_failures;
mod test_packet_soak;
mod test_policy_file;
mod test_restored_store;
mod test_service_metrics;
mod test_state_faults;

use std::path::Path;

/// The program under test.
fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_lagoon-packet"))
}
