//! Hashes that every host of one user computes alike, whatever its build or start.

use std::hash::Hasher;
use std::net::IpAddr;
use std::net::SocketAddr;

use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::FlowDigest;
use crate::ids::FlowId;
use crate::ids::ServiceAddress;

/// Digests flows under a key that callers do not know.
///
/// Tables hold the digest in place of a flow's identity. With a public hash, a caller could choose
/// flow numbers that collide with another caller's flow and receive its answers; the key prevents
/// that.
#[derive(Clone)]
pub struct FlowHasher {
    key: [u8; 16],
}

impl FlowHasher {
    /// Makes a hasher with the key that the user's hosts share.
    pub fn new(key: [u8; 16]) -> Self {
        Self { key }
    }

    /// Digests the identity of a flow.
    pub fn digest(&self, service: ServiceAddress, caller: SocketAddr, flow: FlowId) -> FlowDigest {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        write_address(&mut hasher, service);
        write_address(&mut hasher, caller);
        hasher.write(&flow.to_le_bytes());
        hasher.finish128().as_u128()
    }
}

/// Weight of `member` for `key`; the member with the largest weight wins (rendezvous hashing).
pub fn rendezvous_weight(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// The half of a digest that rendezvous weights are computed from.
pub fn rendezvous_key(digest: FlowDigest) -> u64 {
    digest as u64
}

fn write_address(hasher: &mut SipHasher24, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => hasher.write(&ip.octets()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write(&address.port().to_le_bytes());
}
