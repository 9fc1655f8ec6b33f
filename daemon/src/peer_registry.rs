//! The links of a control daemon that are in use, one a peer.

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
    /// Takes a new link; `false` if another one to the same peer stays in use.
    ///
    /// Two hosts that connect to each other at the same moment have two links. If each kept the
    /// one that it saw last, each might close the one that the other kept; both keep the one that
    /// the host with the smaller number opened.
    pub fn insert(&mut self, open: OpenLink) -> bool {
        let held = self.links.get(&open.host);
        if held.is_some_and(|held| held.opener < open.opener) {
            return false;
        }
        self.links.insert(open.host, open);
        true
    }

    /// Whether a message of this link is to be read.
    pub fn is_current(&self, host: HostId, link: LinkId) -> bool {
        self.links.get(&host).is_some_and(|held| held.link == link)
    }

    /// Forgets a link; `false` if it was not in use.
    pub fn remove(&mut self, host: HostId, link: LinkId) -> bool {
        let current = self.is_current(host, link);
        if current {
            self.links.remove(&host);
        }
        current
    }

    /// Ends the link to a peer.
    pub fn disconnect(&mut self, host: HostId) {
        self.links.remove(&host);
    }

    /// Sends a message; `false` if there is no link, or its peer does not take messages fast enough.
    pub fn send(&self, host: HostId, bytes: Bytes) -> bool {
        let held = self.links.get(&host);
        held.is_some_and(|held| held.sender.try_send(bytes).is_ok())
    }
}
