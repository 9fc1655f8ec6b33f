//! Positions in the history of the store.
//!
//! The store counts its changes by revision. When it comes back from a copy, it loses the changes since, gives
//! out their revisions again, and counts its era up. Revisions are therefore comparable within an era only.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Revision;
use crate::ids::StoreEra;

/// A position in the history of the store, ordered by era first.
///
/// A state at a larger position supersedes one at a smaller position, also if it contains fewer changes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision within the era.
    pub revision: Revision,
}

impl StorePosition {
    /// The position before the first change, at which nothing has been read.
    pub const UNREAD: Self = Self {
        era: 0,
        revision: 0,
    };

    /// Whether nothing has been read.
    pub fn is_unread(self) -> bool {
        self == Self::UNREAD
    }

    /// Whether something has been read, in an earlier era than that of the other position.
    pub fn is_before_era_of(self, other: Self) -> bool {
        !self.is_unread() && self.era < other.era
    }
}

impl Display for StorePosition {
    /// The era and the revision, separated by a full stop.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}
