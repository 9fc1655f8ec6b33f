//! Aliases for the identifiers that the parts of the system share.

use std::net::SocketAddr;

use smol_str::SmolStr;

/// Number of an entry host, unique in the published host list.
pub type HostId = u32;

/// Number of an upstream, unique in the published configuration.
pub type UpstreamId = u32;

/// Number of a service, unique in the published configuration.
pub type ServiceId = u32;

/// Number a caller gives to one of its flows; unique for that caller's address.
pub type FlowId = u64;

/// Number a caller gives to a request; unique within its flow.
pub type RequestId = u64;

/// Counts the starts of a process or the reuses of an address, so that an old one is told apart.
pub type Incarnation = u64;

/// Version of a published value; a larger one replaces a smaller one, never the reverse.
pub type Version = u64;

/// How often the platform has come back from a copy; 0 if it does not say.
pub type PlatformEra = u64;

/// Key of a value published on the platform.
pub type ConfigKey = SmolStr;

/// Number of a cell: the handful of entry hosts among which flows are owned and heartbeats run.
pub type CellId = u32;

/// Name of an availability zone, as published.
pub type ZoneName = SmolStr;

/// The address that callers use for a service; no host binds it.
pub type ServiceAddress = SocketAddr;

/// Keyed 128-bit digest of a flow's identity (service, caller, flow number), equal on every host.
pub type FlowDigest = u128;
