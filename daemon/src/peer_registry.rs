//! The links of a control daemon that are in use, one per peer.

use std::collections::BTreeMap;

use bytes::Bytes;
use lagoonproxy::ids::HostId;

use crate::peer_link::LinkId;
use crate::peer_link::OpenLink;

/// The links in use, by peer.
#[derive(Default)]
pub struct PeerRegistry {
    links: BTreeMap<HostId, OpenLink>,
}

impl PeerRegistry {
    /// Adds a new link. Returns `false` if another link to the same peer stays in use instead.
    ///
    /// Two hosts that connect to each other at the same time have two links. If each kept its
    /// newest link, each could close the link that the other keeps. Both therefore keep the link
    /// that the host with the smaller number opened.
    pub fn insert(&mut self, open: OpenLink) -> bool {
        let held = self.links.get(&open.host);
        if held.is_some_and(|held| held.opener < open.opener) {
            return false;
        }
        self.links.insert(open.host, open);
        true
    }

    /// Whether this link is the one in use to the peer.
    pub fn is_current(&self, host: HostId, link: LinkId) -> bool {
        self.links.get(&host).is_some_and(|held| held.link == link)
    }

    /// Removes a link. Returns `false` if it was not in use.
    pub fn remove(&mut self, host: HostId, link: LinkId) -> bool {
        let current = self.is_current(host, link);
        if current {
            self.links.remove(&host);
        }
        current
    }

    /// Closes the link to a peer.
    pub fn disconnect(&mut self, host: HostId) {
        self.links.remove(&host);
    }

    /// Queues a message to a peer. Returns `false` if there is no link or its queue is full.
    pub fn send(&self, host: HostId, bytes: Bytes) -> bool {
        let held = self.links.get(&host);
        held.is_some_and(|held| held.sender.try_send(bytes).is_ok())
    }
}
