//! Dispatching: one host of the zone places the new flows of a contended service and counts the
//! service's requests in progress.

pub mod dispatch_client;
pub mod dispatch_message;
pub mod dispatch_policy;
pub mod dispatcher_choice;
pub mod request_ledger;
pub mod waiting_flows;
