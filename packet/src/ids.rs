//! Aliases for the identifiers of the packet path.

use smol_str::SmolStr;

/// Name of an upstream, unique among the registered ones; a restart may keep it.
pub type UpstreamName = SmolStr;

/// Number of an upstream as it stands in front of each packet for it; follows from its name.
pub type UpstreamNumber = u64;

/// Name of a service.
pub type ServiceName = SmolStr;

/// Short form of an upstream's name that callers send back with each packet; 0 is nobody's.
pub type FlowTag = u32;

/// Place of an upstream in the table of upstreams; never given to another upstream.
pub type UpstreamIndex = u32;

/// Place of a service's name in the table of upstreams; never given to another service.
pub type ServiceIndex = u32;

/// The store's counter of changes; within an era of the store a larger one is newer.
pub type Revision = u64;

/// How often the store has come back from a copy; 0 if it does not say.
pub type StoreEra = u64;

/// How often an upstream has written its registration since its process started.
pub type WriteCount = u64;

/// Millisecond since 1970 at which an upstream's process started; tells restarts apart.
pub type BornMillis = u64;

/// Short form of a service's name in what hosts send each other.
pub type ServiceTag = u32;

/// Short form of a flow's hash in what hosts send each other; flows that share one are counted as one.
pub type FlowDigest = u32;

/// Milliseconds that a flow may wait for room, on the wire.
pub type HoldMillis = u16;

/// Rank of a class of requests among those of its service: 0 is the most urgent.
pub type ClassRank = u8;
