//! The header fields of a caller's packet that are used to place and track its flow.

use std::net::SocketAddrV4;

use crate::ids::FlowTag;

/// The effect of a packet on its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// A SYN, which opens a flow.
    Open,
    /// A packet of an established flow: data, an acknowledgement or the end of the caller's stream.
    Established,
    /// A reset by the caller.
    Abort,
    /// A packet that callers do not send to services. It is dropped.
    Foreign,
}

/// The header fields of one packet from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHead {
    /// The effect of the packet.
    pub kind: PacketKind,
    /// The caller's end of the flow.
    pub caller: SocketAddrV4,
    /// The service's end, a virtual address that no host binds.
    pub service: SocketAddrV4,
    /// The tag that the flow's upstream last sent to the caller. Meaningless in a SYN.
    pub tag: FlowTag,
    /// Sequence number of the first data byte in the caller's stream; wraps around.
    pub seq: u32,
    /// Sequence number up to which the caller has received the upstream's stream; wraps around.
    /// In a SYN, the number of its retransmission; 0 for the first SYN.
    pub ack: u32,
    /// Number of data bytes.
    pub data_len: u16,
    /// Whether the caller's stream ends with this packet.
    pub last: bool,
}

impl PacketHead {
    /// Returns the sequence number after this packet in the caller's stream.
    pub fn seq_end(&self) -> u32 {
        let end = self.seq.wrapping_add(u32::from(self.data_len));
        end.wrapping_add(u32::from(self.last))
    }
}

/// Whether the sequence number `left` comes after `right`, with wrap-around.
pub fn is_after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right) as i32 > 0
}
