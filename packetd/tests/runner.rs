//! Tests of `lagoon-packet` as separate processes, in one program so that linking is fast.

mod packet_cell;
mod test_packet_changes;
mod test_packet_failures;
