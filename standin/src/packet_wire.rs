//! Packets of the users' platform, read and written apart from the adapter that is tested.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a head.
pub const HEAD: usize = 31;
/// Bytes in front of a packet for an upstream.
pub const FRONT: usize = 8;
/// Flag of an opening packet.
pub const SYN: u8 = 8;
/// Flag of an acknowledgement.
pub const ACK: u8 = 16;
/// Flag of the end of a stream.
pub const FIN: u8 = 4;
/// Flag of the end of a flow.
pub const RST: u8 = 1;

/// Key of the sum, which only the two ends know.
const SUM_KEY: u64 = 0x7a69_6775_696e_6368;

/// One packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WirePacket {
    /// The sender's end of the flow.
    pub source: SocketAddrV4,
    /// The receiver's end.
    pub target: SocketAddrV4,
    /// Flags.
    pub flags: u8,
    /// What the sender last received there, or what the system wrote.
    pub echo: u32,
    /// Position of the data.
    pub seq: u32,
    /// Position up to which the sender has received.
    pub ack: u32,
    /// The data.
    pub data: Vec<u8>,
    /// Whether the sum is right; packets are written with a right one.
    pub genuine: bool,
}

impl WirePacket {
    /// A packet without data.
    pub fn bare(source: SocketAddrV4, target: SocketAddrV4, flags: u8) -> Self {
        Self {
            source,
            target,
            flags,
            echo: 0,
            seq: 0,
            ack: 0,
            data: Vec::new(),
            genuine: true,
        }
    }

    /// The packet as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
        bytes.extend(self.source.port().to_le_bytes());
        bytes.extend(u32::from(*self.source.ip()).to_le_bytes());
        bytes.extend(u32::from(*self.target.ip()).to_le_bytes());
        bytes.extend(self.target.port().to_le_bytes());
        bytes.extend(self.sum().to_le_bytes());
        bytes.extend(self.echo.to_le_bytes());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.push(self.flags);
        bytes.extend(&self.data);
        bytes
    }

    /// Reads a packet; `None` if it is cut short.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let head = bytes.get(..HEAD)?;
        let word =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let half = |at: usize| u16::from_le_bytes([head[at], head[at + 1]]);
        let data = bytes.get(HEAD..HEAD + usize::from(half(28)))?;
        let mut packet = Self {
            source: SocketAddrV4::new(Ipv4Addr::from(word(2)), half(0)),
            target: SocketAddrV4::new(Ipv4Addr::from(word(6)), half(10)),
            flags: head[30],
            echo: word(16),
            seq: word(20),
            ack: word(24),
            data: data.to_vec(),
            genuine: true,
        };
        packet.genuine = packet.sum() == word(12);
        Some(packet)
    }

    /// Covers everything but the echo.
    fn sum(&self) -> u32 {
        let mut text = Vec::new();
        for end in [self.source, self.target] {
            text.extend(end.ip().octets());
            text.extend(end.port().to_le_bytes());
        }
        text.push(self.flags);
        text.extend(self.seq.to_le_bytes());
        text.extend(self.ack.to_le_bytes());
        text.extend(&self.data);
        xxh3_64_with_seed(&text, SUM_KEY) as u32
    }
}
