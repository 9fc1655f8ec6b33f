//! Experiments and benchmarks on lagoonproxy's decisions, in virtual time; not shipped.
//!
//! [`virtual_cluster`] drives one [`lagoonproxy::load_policy::LoadPolicy`] a host against small
//! fakes of upstreams and links; [`control_lab`] drives the control cores of many hosts;
//! [`flow_group`] drives the flow directories of one ownership group.

pub mod choice_cost;
pub mod cluster_plan;
pub mod control_lab;
pub mod dispatch_check;
pub mod flow_group;
pub mod lab_check;
pub mod lab_config;
pub mod lab_platform;
pub mod lab_plot;
pub mod lab_scenario;
mod lab_table;
pub mod late_binding_policy;
pub mod outcome_report;
pub mod packet_cost;
pub mod placement_scheme;
pub mod probing_policy;
pub mod random_policy;
pub mod single_queue;
pub mod two_choice_policy;
pub mod upstream_events;
pub mod virtual_cluster;
pub mod virtual_upstream;
pub mod work_shape;
