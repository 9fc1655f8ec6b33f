//! Failure detection and outlier detection of upstreams.

pub mod answer_record;
pub mod failure_detector;
