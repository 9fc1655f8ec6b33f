//! The tests of the decisions, in one program so that linking is fast.

mod test_choice_tree;
mod test_config_check;
mod test_daemon_settings;
mod test_host_core;
mod test_label_selector;
mod test_load_parts;
mod test_load_stories;
mod test_result_code;
mod test_service_policy;
mod test_wire_frame;
mod world;
