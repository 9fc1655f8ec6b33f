//! Positions in the history of the store.
//!
//! The store numbers its changes by revision. When it is restored from a backup, it loses the
//! changes made since, assigns their revisions again, and increments its era. Revisions are
//! therefore comparable within one era only.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Revision;
use crate::ids::StoreEra;

/// A position in the history of the store, ordered by era first.
///
/// A state at a larger position supersedes one at a smaller position, even if it contains fewer
/// changes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Number of times the store was restored from a backup; 0 if it does not say.
    pub era: StoreEra,
    /// The revision within the era.
    pub revision: Revision,
}

impl StorePosition {
    /// The position of an empty state, before the first read.
    pub const UNREAD: Self = Self {
        era: 0,
        revision: 0,
    };

    /// Whether nothing has been read.
    pub fn is_unread(self) -> bool {
        self == Self::UNREAD
    }

    /// Whether this position was read in an earlier era than that of `other`; false if nothing has
    /// been read.
    pub fn is_before_era_of(self, other: Self) -> bool {
        !self.is_unread() && self.era < other.era
    }
}

impl Display for StorePosition {
    /// Formats the position as `era.revision`.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}
