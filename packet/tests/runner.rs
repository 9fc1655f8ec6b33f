//! The tests of the packet path's decisions, in one program so that linking is fast.

mod core_rig;
mod fleet_rig;
mod fleet_store;
mod test_allocations;
mod test_answer_record;
mod test_class_admission;
mod test_failing_upstreams;
mod test_failure_detector;
mod test_fleet_reading;
mod test_flow_evidence;
mod test_flow_load;
mod test_lost_upstreams;
mod test_moved_callers;
mod test_names;
mod test_opening_admission;
mod test_packet_core;
mod test_peer_table;
mod test_read_role;
mod test_restored_fleet;
mod test_restored_store;
mod test_start_plan;
mod test_state_snapshot;
mod test_store_feed;
mod test_upstream_selection;
mod test_warmup_admission;
mod test_zone_evacuation;
