//! How two control daemons prove to each other that they know the key that the user's hosts share.
//!
//! Each sends a random number, and the other answers with a keyed hash over both numbers, so that
//! a recorded exchange is worth nothing later. The messages that follow are not authenticated one
//! by one: whoever can change bytes inside an open TCP connection is not kept out.

use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

use crate::ids::HostId;
use crate::shared_key::SharedKey;

/// Sets these hashes apart from every other use of the key.
const DOMAIN: &[u8] = b"lagoon control link";

/// Random number that one side of a link chooses.
pub type LinkNonce = u128;

/// Which side of a link a proof is from; the sides must differ, or an echo would be a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkSide {
    /// The side that opened it.
    Opener,
    /// The side that accepted it.
    Acceptor,
}

/// One side's number and host, sent in the clear.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkGreeting {
    /// The host.
    pub host: HostId,
    /// Its number.
    pub nonce: LinkNonce,
}

/// The proof that `side` knows the key.
pub fn link_proof(
    key: SharedKey,
    side: LinkSide,
    opener: LinkGreeting,
    acceptor: LinkGreeting,
) -> u128 {
    let mut hasher = SipHasher24::new_with_key(&key.bytes());
    hasher.write(DOMAIN);
    hasher.write_u8(match side {
        LinkSide::Opener => 1,
        LinkSide::Acceptor => 2,
    });
    for greeting in [opener, acceptor] {
        hasher.write(&greeting.host.to_le_bytes());
        hasher.write(&greeting.nonce.to_le_bytes());
    }
    hasher.finish128().as_u128()
}
