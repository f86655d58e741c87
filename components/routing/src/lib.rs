//! Routing logic of an entry: from a caller's request to its complete answer.

pub mod baseline;
pub mod choice;
pub mod experiment;
pub mod hedge;
pub mod matching;
pub mod members;
pub mod prefix;
pub mod problem;
pub mod report;
pub mod request;
pub mod router;
pub mod subset;
pub mod trace;

pub use balance::budget;
pub use request::Submission;
pub use router::{Input, Options, Output, Part, Router, class};
