//! Decides at which software version a stream may be resumed.

use super::ledger::Recorded;
use crate::serving::servers::Fingerprint;

/// What one box knows of the start of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Knowledge {
    /// Its record of the stream.
    pub recorded: Recorded,
    /// Versions of the service that it has seen within the time that a stream may last.
    pub versions: Vec<Fingerprint>,
    /// Whether no other version can have begun a stream in that time.
    pub is_complete: bool,
}

/// The version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A box has recorded it.
    Recorded(Fingerprint),
    /// No other version has served.
    Sole(Fingerprint),
    /// It is not known, so the stream must not be resumed.
    Unknown(UnknownOrigin),
}

/// Why the version that began a stream is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// Records name different versions.
    Conflicting,
    /// Several versions have served, and no box has a record.
    SeveralVersions,
    /// No box that was reached can rule out that other versions have served.
    Uncertain,
}

impl UnknownOrigin {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            UnknownOrigin::Conflicting => "conflicting",
            UnknownOrigin::SeveralVersions => "several_versions",
            UnknownOrigin::Uncertain => "uncertain",
        }
    }
}

/// Decides by what this box and those that it asked know. A version without a record is accepted
/// only if no box has seen another one and one of them has seen all that served.
pub fn decide<'a>(known: impl IntoIterator<Item = &'a Knowledge> + Clone) -> Origin {
    let recorded = known.clone().into_iter().map(|known| known.recorded);
    match merge(recorded) {
        Recorded::Version(version) => return Origin::Recorded(version),
        Recorded::Conflicting => return Origin::Unknown(UnknownOrigin::Conflicting),
        Recorded::Nothing => {}
    }
    let versions = known.clone().into_iter().flat_map(|known| &known.versions);
    let mut sole = None;
    for version in versions {
        if *sole.get_or_insert(*version) != *version {
            return Origin::Unknown(UnknownOrigin::SeveralVersions);
        }
    }
    let is_certain = |known: &Knowledge| known.is_complete && !known.versions.is_empty();
    match sole {
        Some(version) if known.into_iter().any(is_certain) => Origin::Sole(version),
        _ => Origin::Unknown(UnknownOrigin::Uncertain),
    }
}

fn merge(records: impl Iterator<Item = Recorded>) -> Recorded {
    records.fold(Recorded::Nothing, |merged, recorded| {
        match (merged, recorded) {
            (merged, Recorded::Nothing) => merged,
            (Recorded::Nothing, recorded) => recorded,
            (merged, recorded) if merged == recorded => merged,
            _ => Recorded::Conflicting,
        }
    })
}
