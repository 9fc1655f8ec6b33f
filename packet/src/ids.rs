//! Type aliases for the identifiers of the packet path.

use smol_str::SmolStr;

/// Name of an upstream, unique among the registered ones. It may survive a restart.
pub type UpstreamName = SmolStr;

/// Number of an upstream, derived from its name. It precedes each packet that is forwarded to the
/// upstream.
pub type UpstreamNumber = u64;

/// Name of a service.
pub type ServiceName = SmolStr;

/// Hash of an upstream's name that callers return in each packet of a flow; 0 means none.
pub type FlowTag = u32;

/// Index of an upstream in the upstream table; reused once the record of its upstream is removed.
pub type UpstreamIndex = u32;

/// Index of a service in the upstream table; never reused for another service.
pub type ServiceIndex = u32;

/// Revision of the store, which counts its changes. Comparable only within an era.
pub type Revision = u64;

/// Era of the store: how often it was restored from a backup; 0 if it does not say.
pub type StoreEra = u64;

/// How often an upstream has written its registration since its process started.
pub type WriteCount = u64;

/// Start time of an upstream's process, in milliseconds since 1970. Distinguishes restarts.
pub type BornMillis = u64;

/// Hash of a service's name in messages between hosts.
pub type ServiceTag = u32;

/// Shortened hash of a flow in messages between hosts. Flows with the same digest are counted as
/// one.
pub type FlowDigest = u32;

/// Milliseconds that a flow may wait for free capacity at its dispatcher.
pub type HoldMillis = u16;

/// Rank of a priority class within its service; 0 is the most urgent.
pub type ClassRank = u8;
