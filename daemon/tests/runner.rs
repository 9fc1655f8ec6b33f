//! Tests of the daemons as separate processes, all in one program so that linking is fast.

mod process_cluster;
mod process_host;
mod test_process_changes;
mod test_process_failures;
