//! Mutual authentication of two control daemons by the key that the user's hosts share.
//!
//! Each side sends a nonce, and the other replies with a keyed hash over both nonces, so that a
//! recorded exchange cannot be replayed. The messages after that are not authenticated one by one,
//! so an attacker who can change bytes inside an open TCP connection is not kept out.

use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

use crate::ids::HostId;
use crate::shared_key::SharedKey;

/// Separates these hashes from every other use of the key.
const DOMAIN: &[u8] = b"lagoon control link";

/// The nonce of one side of a link.
pub type LinkNonce = u128;

/// The side of a link that a proof comes from. The proofs of the two sides differ, so that an
/// echoed proof is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkSide {
    /// The side that opened the link.
    Opener,
    /// The side that accepted the link.
    Acceptor,
}

/// The host number and nonce of one side of a link, sent in plain text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkGreeting {
    /// The host's number.
    pub host: HostId,
    /// The nonce.
    pub nonce: LinkNonce,
}

/// Returns the proof that `side` knows the key.
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
