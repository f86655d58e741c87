//! Positions in the history of the platform's store.

use serde::{Deserialize, Serialize};

/// A position in the history of the platform's store.
///
/// Revisions increase within an era. A store that is restored from an older copy
/// assigns some revisions a second time; each restore increments the era, so that
/// positions remain ordered.
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
    /// Number of the era, incremented by each restore of the store.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
