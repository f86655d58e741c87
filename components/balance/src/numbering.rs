//! Numbering of the events of a pool's streams.

/// How the servers of a pool number the events of their streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Numbering {
    /// No stream has shown it yet.
    #[default]
    Unknown,
    /// Each id is above the previous one by this step, the first one by this step above zero.
    Step(u64),
    /// Ids rise, by different steps.
    Irregular,
}
