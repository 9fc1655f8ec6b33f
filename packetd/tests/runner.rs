//! Tests of `lagoon-packet` as separate processes, in one program so that linking is fast.

mod test_packet_changes;
mod test_packet_failures;
mod test_packet_soak;

use std::path::Path;

/// The program under test.
fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_lagoon-packet"))
}
