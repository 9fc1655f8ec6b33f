//! Keyed and unkeyed hashes that give the same result on every host, in every build and after every
//! restart.

use std::hash::Hasher;
use std::net::IpAddr;
use std::net::SocketAddr;

use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::FlowDigest;
use crate::ids::FlowId;
use crate::ids::ServiceAddress;

/// Computes flow digests with a secret key.
///
/// Tables hold the digest in place of a flow's identity. With an unkeyed hash, a caller could
/// choose flow numbers that collide with another caller's flow and receive its responses.
#[derive(Clone)]
pub struct FlowHasher {
    key: [u8; 16],
}

impl FlowHasher {
    /// Creates a hasher with the key that all hosts of one deployment share.
    pub fn new(key: [u8; 16]) -> Self {
        Self { key }
    }

    /// Returns the digest of a flow's service address, caller address and flow number.
    pub fn digest(&self, service: ServiceAddress, caller: SocketAddr, flow: FlowId) -> FlowDigest {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        write_address(&mut hasher, service);
        write_address(&mut hasher, caller);
        hasher.write(&flow.to_le_bytes());
        hasher.finish128().as_u128()
    }
}

/// Returns the rendezvous weight of `member` for `key`; the member with the largest weight wins.
pub fn rendezvous_weight(key: u64, member: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Returns the half of a digest that rendezvous weights are computed from.
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
