//! Names of stage kinds on the command line.

use savoryvane_core::objects::StageKind;

const KINDS: [StageKind; 5] = [
    StageKind::Encode,
    StageKind::Retrieve,
    StageKind::Rerank,
    StageKind::Generate,
    StageKind::Call,
];

/// Returns the kind of that name.
pub(crate) fn parse(name: &str) -> Option<StageKind> {
    KINDS.into_iter().find(|kind| kind.as_str() == name)
}
