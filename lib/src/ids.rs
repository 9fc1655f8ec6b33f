//! Type aliases of the identifiers that all parts of the system share.

use std::net::SocketAddr;

use smol_str::SmolStr;

/// Number of an entry host, unique in the published host list.
pub type HostId = u32;

/// Number of an upstream, unique in the published configuration.
pub type UpstreamId = u32;

/// Number of a service, unique in the published configuration.
pub type ServiceId = u32;

/// Number that a caller gives to a flow; unique for the caller's address.
pub type FlowId = u64;

/// Number that a caller gives to a request; unique within its flow.
pub type RequestId = u64;

/// Generation of a process or of an upstream at an address; larger at each start or reuse, so that
/// an earlier one is distinguished from the present one. Fields of this type are named
/// `incarnation`.
pub type Generation = u64;

/// Version of a published value; only a larger version replaces the stored one.
pub type Version = u64;

/// Number of times that the platform was restored from a backup; 0 if it does not state it.
pub type PlatformEra = u64;

/// Key of a value that is published on the platform.
pub type ConfigKey = SmolStr;

/// Number of an ownership group: the few entry hosts that own flows among themselves and exchange
/// heartbeats. It is published as `cell`.
pub type GroupId = u32;

/// Name of an availability zone, as published.
pub type ZoneName = SmolStr;

/// Address that callers use for a service; no host binds it.
pub type ServiceAddress = SocketAddr;

/// Keyed 128-bit digest of a flow's identity (service, caller, flow number), equal on all hosts.
pub type FlowDigest = u128;
