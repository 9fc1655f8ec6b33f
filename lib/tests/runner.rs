//! The tests of the decisions, in one program so that linking is fast.

mod fake_cell;
mod test_config_check;
mod test_daemon_settings;
mod test_flow_table;
mod test_host_core;
mod test_label_selector;
mod test_placement_table;
mod test_planned_change;
mod test_request_faults;
mod test_result_code;
mod test_wire_frame;
mod world;
