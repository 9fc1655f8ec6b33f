//! The daemons of an entry host, which do the network I/O of the decision cores in `lagoonproxy`.
//!
//! `lagoon-entry` forwards datagrams and `lagoon-control` reads the platform. Tests and the
//! demonstration call the same entry points as the programs, within one process.

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
