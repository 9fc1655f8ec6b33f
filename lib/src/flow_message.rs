//! Messages about flows between the entry hosts of one ownership group.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationSeconds;
use serde_with::serde_as;

use crate::flow_binding::FlowBinding;
use crate::flow_table::FlowRecord;
use crate::ids::FlowDigest;
use crate::ids::Generation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::placement_table::TableId;
use crate::placement_table::TableMember;

/// Maximum number of records in one message, which keeps the message within one datagram.
pub const MAX_RECORD_ENTRIES: usize = 32;
/// Maximum number of services in one message of baselines.
pub const MAX_SERVICE_TABLES: usize = 40;

/// Maximum number of members of a table that is sent to a host which does not have it.
pub const MAX_TABLE_MEMBERS: usize = 200;

/// The generations of the processes that a message is sent between. A message to an earlier
/// generation is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowParties {
    /// Generation of the sender.
    pub from: Generation,
    /// Generation of the receiver, if the sender knows it.
    pub to: Option<Generation>,
}

/// Sequence number of a message that requires confirmation, per sender and receiver.
pub type FlowSequence = u64;

/// A message about flows. It may be lost, duplicated or delayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// Records of flows that the receiver could not derive if it took them over.
    Records {
        /// Sequence number that the receiver confirms.
        sequence: FlowSequence,
        /// The records, at most [`MAX_RECORD_ENTRIES`].
        #[serde(rename = "notes")]
        entries: Vec<FlowRecordEntry>,
    },
    /// The sender's baselines. From now on, a flow that the receiver takes over from the sender is
    /// bound as one of these tables says, unless a record of it was copied.
    Baselines {
        /// Sequence number that the receiver confirms.
        sequence: FlowSequence,
        /// The tables by service, at most [`MAX_SERVICE_TABLES`].
        tables: Vec<ServiceTables>,
    },
    /// Confirms that a message was received and applied.
    Confirm {
        /// Sequence number of the confirmed message.
        sequence: FlowSequence,
        /// Whether the sender has tables to announce to the receiver that its flows may follow, or
        /// lacks a table itself. A leaving host waits until this is false.
        #[serde(rename = "unsaid")]
        tables_pending: bool,
    },
    /// Queries whether the receiver holds a flow.
    Ask {
        /// The flow.
        digest: DigestBytes,
        /// The service that the flow's frame addressed.
        service: ServiceId,
        /// Whether the flow was opened. Only then may the receiver derive its binding.
        established: bool,
    },
    /// Reply to [`FlowMessage::Ask`].
    Tell {
        /// The flow.
        digest: DigestBytes,
        /// What the sender knows of the flow.
        #[serde(rename = "answer")]
        reply: FlowReply,
    },
    /// Requests the members of a table that the sender does not have.
    WantTable {
        /// The table's service.
        service: ServiceId,
        /// The table.
        table: TableId,
    },
    /// Reply to [`FlowMessage::WantTable`].
    Table {
        /// The table's service.
        service: ServiceId,
        /// The members in ascending order of upstream id, at most [`MAX_TABLE_MEMBERS`].
        members: Vec<TableMember>,
    },
    /// Announces that the sender has started and has no state from earlier messages.
    Hello,
    /// Reply to [`FlowMessage::Hello`]: the sender knows the receiver's generation.
    HelloBack {
        /// Whether the sender holds flows, or answers for idle ones, that the receiver may take
        /// over by joining.
        holds: bool,
    },
}

/// Reply of a host to a query about a flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowReply {
    /// The host has this record.
    Holds(FlowRecordEntry),
    /// The host has no record. If no other host has one, the flow has this binding, derived from
    /// the baselines of hosts that are gone.
    Derives(FlowRecordEntry),
    /// The host knows nothing of the flow.
    Unknown,
}

/// A flow digest as 16 bytes; encoded as an integer, it would take up to 19.
pub type DigestBytes = [u8; 16];

/// A flow record as sent in messages.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRecordEntry {
    /// Digest of the flow.
    pub digest: DigestBytes,
    /// Service of the flow.
    pub service: ServiceId,
    /// Upstream of the flow.
    pub upstream: UpstreamId,
    /// Generation of the upstream.
    pub incarnation: Generation,
    /// Last address of the upstream, if the configuration no longer contains it.
    pub former_address: Option<SocketAddr>,
    /// Time until the flow's idle deadline, in whole seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub remaining: Duration,
}

/// The placement tables that the flows of a service follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTables {
    /// The service.
    pub service: ServiceId,
    /// The tables, the sender's current one first. Each of the sender's flows follows one of them.
    pub tables: Vec<TableId>,
}

impl FlowRecordEntry {
    /// Creates an entry from a record, with the time remaining at `now`.
    pub fn new(now: Instant, digest: FlowDigest, record: &FlowRecord) -> Self {
        Self {
            digest: digest.to_le_bytes(),
            service: record.binding.service,
            upstream: record.binding.upstream,
            incarnation: record.binding.incarnation,
            former_address: None,
            remaining: record.idle_deadline.saturating_duration_since(now),
        }
    }

    /// Returns the flow's digest.
    pub fn flow(&self) -> FlowDigest {
        FlowDigest::from_le_bytes(self.digest)
    }

    /// Returns the flow's binding.
    pub fn binding(&self) -> FlowBinding {
        FlowBinding {
            service: self.service,
            upstream: self.upstream,
            incarnation: self.incarnation,
        }
    }

    /// Returns the record with a deadline counted from `now`, at most `idle` later.
    pub fn record(&self, now: Instant, idle: Duration) -> FlowRecord {
        FlowRecord {
            binding: self.binding(),
            idle_deadline: now + self.remaining.min(idle),
        }
    }
}
