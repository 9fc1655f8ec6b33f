//! `lagoonctl`, the command-line client of operators.
//!
//! Every command returns a report, which is printed as text or as JSON, and a result code, which
//! becomes the exit code. Nothing here writes to the platform or to a host.

pub mod admin_client;
pub mod command_error;
pub mod command_report;
pub mod commands;
pub mod config_source;
