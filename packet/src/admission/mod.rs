//! Admission of new flows: which are placed now, deferred or refused.

pub mod caller_share;
pub mod class_admission;
pub mod opening_admission;
pub mod warmup_admission;
