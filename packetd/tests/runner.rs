//! Tests of `lagoon-packet` that run it in separate processes. They are in a single program to save
//! linking time.

mod faulty_peer;
#[path = "../src/service_metrics.rs"]
mod service_metrics;
#[path = "../src/stop_wait.rs"]
mod stop_wait;
mod test_dispatch_processes;
mod test_packet_changes;
mod test_packet_failures;
mod test_packet_soak;
mod test_policy_file;
mod test_restored_store;
mod test_service_metrics;
mod test_sound_upstreams;
mod test_state_faults;
mod test_stop_wait;

use std::path::Path;

/// Returns the path of the program under test.
fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_lagoon-packet"))
}
