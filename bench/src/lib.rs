//! Experiments on lagoonproxy's decisions, in virtual time.
//!
//! [`virtual_cluster`] drives one [`lagoonproxy::load_policy::LoadPolicy`] a host against small
//! fakes of upstreams and links; the other modules are the policies compared and what is counted.

pub mod cluster_plan;
pub mod late_binding_policy;
pub mod outcome_report;
pub mod probing_policy;
pub mod random_policy;
pub mod single_queue;
pub mod two_choice_policy;
pub mod upstream_events;
pub mod virtual_cluster;
pub mod virtual_upstream;
pub mod work_shape;
