//! Encodes and decodes packets of the users' platform, independently of the adapter under test.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of a packet header, in bytes.
pub const HEADER_BYTES: usize = 31;
/// Length of the upstream number that hosts write before a packet for an upstream, in bytes.
pub const UPSTREAM_NUMBER_BYTES: usize = 8;
/// Flag of a packet that opens a flow.
pub const SYN: u8 = 8;
/// Flag of an acknowledgement.
pub const ACK: u8 = 16;
/// Flag of the end of one direction of a flow.
pub const FIN: u8 = 4;
/// Flag that resets a flow.
pub const RST: u8 = 1;

/// Key of the checksum. Only the two ends of a flow know it, so that hosts cannot compute one.
const CHECKSUM_KEY: u64 = 0x7a69_6775_696e_6368;

/// A packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WirePacket {
    /// Address of the sender.
    pub source: SocketAddrV4,
    /// Address of the receiver.
    pub target: SocketAddrV4,
    /// Combination of [`SYN`], [`ACK`], [`FIN`] and [`RST`].
    pub flags: u8,
    /// The last value of this field that the sender received, or the tag that a host wrote.
    pub echo: u32,
    /// Sequence number of the first data byte.
    pub seq: u32,
    /// Sequence number of the next byte that the sender expects; in a SYN, the number of earlier
    /// transmissions.
    pub ack: u32,
    /// Payload.
    pub data: Vec<u8>,
    /// Whether the received checksum matches. `encode` always writes a matching one.
    pub checksum_valid: bool,
}

impl WirePacket {
    /// Returns a packet without data, with echo and sequence numbers of 0.
    pub fn bare(source: SocketAddrV4, target: SocketAddrV4, flags: u8) -> Self {
        Self {
            source,
            target,
            flags,
            echo: 0,
            seq: 0,
            ack: 0,
            data: Vec::new(),
            checksum_valid: true,
        }
    }

    /// Encodes the packet with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend(self.source.port().to_le_bytes());
        bytes.extend(u32::from(*self.source.ip()).to_le_bytes());
        bytes.extend(u32::from(*self.target.ip()).to_le_bytes());
        bytes.extend(self.target.port().to_le_bytes());
        bytes.extend(self.checksum().to_le_bytes());
        bytes.extend(self.echo.to_le_bytes());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.push(self.flags);
        bytes.extend(&self.data);
        bytes
    }

    /// Decodes a packet; `None` if it is truncated. A wrong checksum only clears `checksum_valid`.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let header = bytes.get(..HEADER_BYTES)?;
        let read_u32 = |at: usize| {
            u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        let read_u16 = |at: usize| u16::from_le_bytes([header[at], header[at + 1]]);
        let data = bytes.get(HEADER_BYTES..HEADER_BYTES + usize::from(read_u16(28)))?;
        let mut packet = Self {
            source: SocketAddrV4::new(Ipv4Addr::from(read_u32(2)), read_u16(0)),
            target: SocketAddrV4::new(Ipv4Addr::from(read_u32(6)), read_u16(10)),
            flags: header[30],
            echo: read_u32(16),
            seq: read_u32(20),
            ack: read_u32(24),
            data: data.to_vec(),
            checksum_valid: true,
        };
        packet.checksum_valid = packet.checksum() == read_u32(12);
        Some(packet)
    }

    /// Returns the checksum, which covers everything but the echo, since hosts change that field.
    fn checksum(&self) -> u32 {
        let mut text = Vec::new();
        for end in [self.source, self.target] {
            text.extend(end.ip().octets());
            text.extend(end.port().to_le_bytes());
        }
        text.push(self.flags);
        text.extend(self.seq.to_le_bytes());
        text.extend(self.ack.to_le_bytes());
        text.extend(&self.data);
        xxh3_64_with_seed(&text, CHECKSUM_KEY) as u32
    }
}
