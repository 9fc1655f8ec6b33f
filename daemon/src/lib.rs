//! The daemons of an entry host: thin shells around the decisions in `lagoonproxy`.
//!
//! `lagoon-entry` carries datagrams, `lagoon-control` reads the platform. The programs call the
//! entry points here, and so do tests and the demonstration, in one process.

pub mod admin_server;
pub mod control_accept;
pub mod control_admin;
pub mod control_daemon;
pub mod control_link;
pub mod daemon_exit;
pub mod daemon_metrics;
pub mod entry_admin;
pub mod entry_daemon;
pub mod logging;
pub mod peer_link;
pub mod peer_registry;
pub mod platform_client;
pub mod settings_file;
pub mod shutdown_signal;
