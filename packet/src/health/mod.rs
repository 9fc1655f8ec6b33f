//! Detection of dead and failing upstreams from the packets of their callers.

pub mod failure_detector;
pub mod outlier_detector;
