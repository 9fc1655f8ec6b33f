//! Versions of published keys across the eras of the platform.
//!
//! A platform that comes back from a copy loses its last changes and gives out their revisions again. A version is the
//! revision with the era above it, so that the later era's is the larger one in every comparison.

use snafu::OptionExt;
use snafu::Snafu;

use crate::ids::PlatformEra;
use crate::ids::Version;

/// Bits of a version that hold the revision.
const REVISION_BITS: u32 = 40;

/// Why a text is no version.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is no version: a revision, or an era and a revision such as 1.105"))]
pub struct VersionFault {
    text: String,
}

/// The version of a revision in an era; `None` if either is too large.
pub fn compose_version(era: PlatformEra, revision: u64) -> Option<Version> {
    let fits = revision >> REVISION_BITS == 0 && era >> (Version::BITS - REVISION_BITS) == 0;
    fits.then_some(era << REVISION_BITS | revision)
}

/// The era and the revision of a version.
pub fn split_version(version: Version) -> (PlatformEra, u64) {
    (
        version >> REVISION_BITS,
        version & ((1 << REVISION_BITS) - 1),
    )
}

/// A version for operators: the revision, with its era and a full stop before it from the second era on.
pub fn format_version(version: Version) -> String {
    match split_version(version) {
        (0, revision) => revision.to_string(),
        (era, revision) => format!("{era}.{revision}"),
    }
}

/// Reads what [`format_version`] writes.
pub fn parse_version(text: &str) -> Result<Version, VersionFault> {
    let (era, revision) = text.split_once('.').unwrap_or(("0", text));
    let parsed = era.parse().ok().zip(revision.parse().ok());
    let version = parsed.and_then(|(era, revision)| compose_version(era, revision));
    version.context(VersionFaultSnafu { text })
}
