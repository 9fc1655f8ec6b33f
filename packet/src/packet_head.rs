//! What one packet of a caller says, as far as placing and following its flow needs it.

use std::net::SocketAddrV4;

use crate::ids::FlowTag;

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// Asks to open a flow.
    Open,
    /// Carries data, an acknowledgement or the end of one direction of a flow.
    Carry,
    /// The caller gives its flow up.
    Abort,
    /// Nothing that a caller sends to a service; it is dropped.
    Foreign,
}

/// The head of one packet from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHead {
    /// What the packet does.
    pub kind: PacketKind,
    /// The caller's end of the flow.
    pub caller: SocketAddrV4,
    /// The service's end: an address that no host binds.
    pub service: SocketAddrV4,
    /// The tag that the flow's upstream last sent to the caller; meaningless when a flow opens.
    pub tag: FlowTag,
    /// Position of the first byte of data in the caller's stream; wraps around.
    pub seq: u32,
    /// Position up to which the caller has received the upstream's stream; wraps around. When a
    /// flow opens, which copy of the opening packet this is, from 0.
    pub ack: u32,
    /// Bytes of data.
    pub data_len: u16,
    /// Whether the caller's stream ends with this packet.
    pub last: bool,
}

impl PacketHead {
    /// Position in the caller's stream after this packet.
    pub fn seq_end(&self) -> u32 {
        let end = self.seq.wrapping_add(u32::from(self.data_len));
        end.wrapping_add(u32::from(self.last))
    }
}

/// Whether position `left` of a wrapping stream comes after `right`.
pub fn is_after(left: u32, right: u32) -> bool {
    left.wrapping_sub(right) as i32 > 0
}
