//! Communication between entry hosts: heartbeats, reports and the table of known peers.

pub mod peer_datagram;
pub mod peer_heartbeat;
pub(crate) mod peer_record;
pub mod peer_rounds;
pub mod peer_table;
