//! Placement of a contended service's new flows by one host of the zone, which counts its requests in progress.

pub mod dispatch_client;
pub mod dispatch_message;
pub mod dispatch_policy;
pub mod dispatcher_choice;
pub mod request_ledger;
pub mod waiting_flows;
