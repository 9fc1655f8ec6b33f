//! Versions of published keys across the eras of the platform.
//!
//! A platform that is restored from a backup loses its last changes and reuses their revisions. A
//! version is therefore the era in the upper bits and the revision in the lower bits, so that
//! versions of a later era are larger.

use snafu::OptionExt;
use snafu::Snafu;

use crate::ids::PlatformEra;
use crate::ids::Version;

/// Number of bits of a version that hold the revision.
const REVISION_BITS: u32 = 40;

/// A text that is not a valid version.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is no version: a revision, or an era and a revision such as 1.105"))]
pub struct VersionParseError {
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

/// Formats a version for operators: the revision, preceded by its era and a full stop from the
/// second era on.
pub fn format_version(version: Version) -> String {
    match split_version(version) {
        (0, revision) => revision.to_string(),
        (era, revision) => format!("{era}.{revision}"),
    }
}

/// Parses the format of [`format_version`]; fails if the text is malformed or a number is too
/// large.
pub fn parse_version(text: &str) -> Result<Version, VersionParseError> {
    let (era, revision) = text.split_once('.').unwrap_or(("0", text));
    let parsed = era.parse().ok().zip(revision.parse().ok());
    let version = parsed.and_then(|(era, revision)| compose_version(era, revision));
    version.context(VersionParseSnafu { text })
}
