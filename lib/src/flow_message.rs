//! What entry hosts of one cell tell each other of flows.

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
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::placement_table::TableId;
use crate::placement_table::TableMember;

/// Most records in one message; keeps it within one datagram.
pub const MAX_NOTES: usize = 32;
/// Most tables in one message.
pub const MAX_TABLES: usize = 40;

/// Most members of a table that is sent to a host that has never seen it.
pub const MAX_MEMBERS: usize = 200;

/// Which processes a message is between; one meant for a former process is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowParties {
    /// The sender's process.
    pub from: Incarnation,
    /// The receiver's process, if the sender has met it.
    pub to: Option<Incarnation>,
}

/// Numbers the messages of one sender to one receiver that are to be confirmed.
pub type FlowSequence = u64;

/// A message on flows; it may be lost, repeated or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// Records that the receiver could not derive if it took the flows over.
    Records {
        /// To be confirmed.
        sequence: FlowSequence,
        /// The records, at most [`MAX_NOTES`].
        notes: Vec<FlowNote>,
    },
    /// From now on, a flow that the receiver takes over from the sender lives where one of these
    /// tables says, unless a record of it was copied.
    Baselines {
        /// To be confirmed.
        sequence: FlowSequence,
        /// The tables, at most [`MAX_TABLES`].
        tables: Vec<TableNote>,
    },
    /// The message with this number has been taken in.
    Confirm {
        /// The number.
        sequence: FlowSequence,
        /// Whether the sender has yet to tell the receiver of tables that its flows may follow, or
        /// to learn one; a leaving host waits for that.
        unsaid: bool,
    },
    /// Do you hold this flow?
    Ask {
        /// The flow.
        digest: DigestBytes,
        /// The service its frame was for.
        service: ServiceId,
        /// Whether it was opened, so that an answer may be derived; a new one is not derived.
        established: bool,
    },
    /// The answer to [`FlowMessage::Ask`].
    Tell {
        /// The flow.
        digest: DigestBytes,
        /// What the sender knows of it.
        answer: FlowAnswer,
    },
    /// Send the members of this table, which the sender has never seen.
    WantTable {
        /// Its service.
        service: ServiceId,
        /// The table.
        table: TableId,
    },
    /// The answer to [`FlowMessage::WantTable`].
    Table {
        /// Its service.
        service: ServiceId,
        /// The members, at most [`MAX_MEMBERS`], in ascending order of number.
        members: Vec<TableMember>,
    },
    /// The sender has started; what it was told before is lost.
    Hello,
    /// The sender knows the receiver's process.
    HelloBack {
        /// Whether it holds flows, or answers for silent ones, that the receiver may take over by
        /// joining.
        holds: bool,
    },
}

/// What a host knows of a flow that it is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FlowAnswer {
    /// It has this record.
    Holds(FlowNote),
    /// It has none, but if nobody has, the flow lives here, by what hosts that are gone have said.
    Derives(FlowNote),
    /// It knows nothing of it.
    Unknown,
}

/// A flow's digest as 16 bytes; as a number it would take up to 19.
pub type DigestBytes = [u8; 16];

/// A record under way.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowNote {
    /// The flow.
    pub digest: DigestBytes,
    /// Its service.
    pub service: ServiceId,
    /// Its upstream.
    pub upstream: UpstreamId,
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
    /// The upstream's last address, if it is not published any more.
    pub former_address: Option<SocketAddr>,
    /// Time in seconds until it is idle.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub remaining: Duration,
}

/// The table that a service's flows follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableNote {
    /// The service.
    pub service: ServiceId,
    /// The tables, the sender's present one first; each of its flows follows one of them.
    pub tables: Vec<TableId>,
}

impl FlowNote {
    /// Describes a record as of `now`.
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

    /// The flow.
    pub fn flow(&self) -> FlowDigest {
        FlowDigest::from_le_bytes(self.digest)
    }

    /// Where it lives.
    pub fn binding(&self) -> FlowBinding {
        FlowBinding {
            service: self.service,
            upstream: self.upstream,
            incarnation: self.incarnation,
        }
    }

    /// The record as of `now`, kept for `idle` at most.
    pub fn record(&self, now: Instant, idle: Duration) -> FlowRecord {
        FlowRecord {
            binding: self.binding(),
            idle_deadline: now + self.remaining.min(idle),
        }
    }
}
