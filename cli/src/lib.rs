//! `lagoonctl`, the command-line client for operators.
//!
//! Every command returns a report, printed as text or as JSON, and a result code, used as the exit
//! code. No command writes to the platform or to a host.

pub mod admin_client;
pub mod command_error;
pub mod command_report;
pub mod commands;
pub mod config_source;
