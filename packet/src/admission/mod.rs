//! Admission of new flows: which are placed now, deferred or refused.

pub mod admission_pressure;
pub mod admission_state;
pub mod caller_share;
pub mod class_admission;
pub mod class_demand;
pub mod deferred_syns;
pub mod opening_admission;
pub mod syn_copies;
pub mod warmup_admission;
