//! Admission control for new flows: which are placed, deferred or refused.

pub mod admission_pressure;
pub mod admission_state;
pub mod caller_share;
pub mod class_admission;
pub mod class_demand;
pub mod deferred_syns;
pub mod syn_deferral;
pub mod syn_retransmission;
pub mod warmup_admission;
