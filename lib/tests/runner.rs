//! The tests of the decisions, in one program so that linking is fast.

mod fake_cell;
mod test_byte_budget;
mod test_choice_tree;
mod test_config_check;
mod test_config_store;
mod test_control_core;
mod test_daemon_settings;
mod test_host_core;
mod test_invariants;
mod test_label_selector;
mod test_planned_change;
mod test_reader_rank;
mod test_request_faults;
mod test_request_outcome;
mod test_result_code;
mod test_snapshot_compiler;
mod test_takeover;
mod test_wire_frame;
mod world;
