//! Points in the history of the platform's store.

use serde::{Deserialize, Serialize};

/// A point in the history of the platform's store.
///
/// Revisions rise within an era. A store that is restored from an older copy
/// gives revisions out again; its era rises, so that positions are still
/// ordered.
///
/// ```
/// use tables::Position;
/// let before = Position { era: 1, revision: 900 };
/// let restored = Position { era: 2, revision: 850 };
/// assert!(before < restored);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the store was restored.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
