//! What the members of a rank group tell one another.

use serde::{Deserialize, Serialize};

/// A message between the agents of one rank group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Placeholder until the grants are written.
    Ping,
}
