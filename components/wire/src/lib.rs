//! Frames exchanged between the system's processes: types, encoding, links and
//! replication of the configuration table.

mod codec;
mod frame;
mod gossip;
mod link;

pub use codec::{Error, FRAME_LIMIT, VERSION, decode, encode, encode_batch};
pub use frame::{
    Cancel, Chunk, Class, Dispatch, End, Execution, Frame, Head, Message, Outcome, Reason, Refusal,
    Report, RequestId, Resend, Sender,
};
pub use gossip::Gossip;
pub use link::{Counters, Link, LinkError};
