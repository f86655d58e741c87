//! Links over nng: one receiving socket, and one sending socket per peer.
//!
//! Each process listens on a `Pull0` socket and dials a `Push0` socket to each
//! peer it sends to. nng redials lost connections. Sending never blocks: frames
//! that a slow peer does not accept stay in a bounded outbox. When it is full, the
//! oldest frames are dropped and counted; this is safe because every message is
//! resent on request or covered by a timeout.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use tables::Name;

use crate::codec;
use crate::{Frame, Message, Sender};

/// Maximum number of frames in the outbox of a peer.
const OUTBOX_FRAME_LIMIT: usize = 4096;
/// Maximum number of bytes in the outbox of a peer; a single frame may exceed it.
const OUTBOX_BYTE_LIMIT: usize = 8 << 20;
/// Number of frames that nng buffers for one peer.
const SEND_BUFFER_FRAMES: i32 = 64;
/// Initial backoff before a lost connection is redialled.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// Maximum backoff before a lost connection is redialled.
const RECONNECT_MAX: Duration = Duration::from_millis(500);

/// Error in opening a link.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Listening on or dialling the address failed.
    #[error("link {address}: {source}")]
    Open {
        /// The address.
        address: Name,
        /// The error from nng.
        source: nng::Error,
    },
}

/// Frame counters of all links of a process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Frames received and decoded.
    pub received: AtomicU64,
    /// Frames passed to nng for sending.
    pub sent: AtomicU64,
    /// Receive errors and frames dropped because they could not be decoded.
    pub malformed: AtomicU64,
    /// Frames dropped because the outbox of a peer was full, and messages too
    /// large for a frame.
    pub dropped: AtomicU64,
}

/// All links of one process.
pub struct Link {
    sender: Sender,
    listener: Socket,
    peers: HashMap<Name, Peer>,
    // Peers with pending messages or frames, so that a flush skips the idle majority.
    active: Vec<Name>,
    counters: Arc<Counters>,
}

struct Peer {
    socket: Socket,
    pending: Vec<Message>,
    outbox: VecDeque<nng::Message>,
    outbox_bytes: usize,
}

impl Link {
    /// Listens on the sender's link address. Calls `deliver` with each received
    /// frame on a dedicated thread.
    pub fn open(
        sender: Sender,
        deliver: impl Fn(Frame) + Send + 'static,
    ) -> Result<Link, LinkError> {
        let listener = listen(&sender.link)
            .map_err(|source| LinkError::Open { address: sender.link.clone(), source })?;
        let counters = Arc::new(Counters::default());
        let socket = listener.clone();
        let shared = counters.clone();
        std::thread::spawn(move || receive(&socket, &shared, deliver));
        Ok(Link { sender, listener, peers: HashMap::new(), active: Vec::new(), counters })
    }

    /// The counters, shared by all links of the process.
    pub fn counters(&self) -> Arc<Counters> {
        self.counters.clone()
    }

    /// Adds a message to the next frame for the peer at `address`.
    pub fn push(&mut self, address: &Name, message: Message) -> Result<(), LinkError> {
        if !self.peers.contains_key(address) {
            let socket = dial(address)
                .map_err(|source| LinkError::Open { address: address.clone(), source })?;
            let peer = Peer::new(socket);
            self.peers.insert(address.clone(), peer);
        }
        if let Some(peer) = self.peers.get_mut(address) {
            if peer.is_idle() {
                self.active.push(address.clone());
            }
            peer.pending.push(message);
        }
        Ok(())
    }

    /// Sends the pushed messages, normally in one frame per peer, and retries frames
    /// that a peer has not accepted yet.
    pub fn flush(&mut self, revision: u64) {
        for address in std::mem::take(&mut self.active) {
            let Some(peer) = self.peers.get_mut(&address) else { continue };
            peer.encode(&self.sender, revision, &self.counters);
            peer.drain(&self.counters);
            if !peer.is_idle() {
                self.active.push(address);
            }
        }
    }

    /// Closes the link to the peer at `address` and drops its unsent frames.
    pub fn forget(&mut self, address: &str) {
        self.active.retain(|other| other != address);
        if let Some(peer) = self.peers.remove(address) {
            peer.socket.close();
        }
    }

    /// Number of frames in all outboxes.
    pub fn backlog(&self) -> usize {
        self.peers.values().map(|peer| peer.outbox.len()).sum()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.listener.close();
    }
}

impl Peer {
    fn new(socket: Socket) -> Peer {
        Peer { socket, pending: Vec::new(), outbox: VecDeque::new(), outbox_bytes: 0 }
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.outbox.is_empty()
    }

    /// Moves the pending messages to the outbox, in one frame unless it would be
    /// too large.
    fn encode(&mut self, sender: &Sender, revision: u64, counters: &Counters) {
        if self.pending.is_empty() {
            return;
        }
        let messages = std::mem::take(&mut self.pending);
        let (frames, dropped) = codec::encode_batch(sender, revision, messages);
        for bytes in frames {
            self.outbox_bytes += bytes.len();
            self.outbox.push_back(nng::Message::from(&bytes[..]));
        }
        counters.dropped.fetch_add(dropped as u64, Ordering::Relaxed);
    }

    fn is_full(&self) -> bool {
        let exceeds_bytes = self.outbox_bytes > OUTBOX_BYTE_LIMIT && self.outbox.len() > 1;
        exceeds_bytes || self.outbox.len() > OUTBOX_FRAME_LIMIT
    }

    fn drain(&mut self, counters: &Counters) {
        while let Some(message) = self.outbox.pop_front() {
            let size = message.len();
            match self.socket.try_send(message) {
                Ok(()) => {
                    self.outbox_bytes -= size;
                    count(&counters.sent);
                }
                Err((message, _)) => {
                    self.outbox.push_front(message);
                    break;
                }
            }
        }
        while self.is_full() {
            let oldest = self.outbox.pop_front();
            self.outbox_bytes -= oldest.map_or(0, |message| message.len());
            count(&counters.dropped);
        }
    }
}

fn listen(address: &str) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(codec::FRAME_LIMIT)?;
    socket.listen(address)?;
    Ok(socket)
}

fn dial(address: &str) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    // Some releases of the C library have no send buffer for this protocol.
    let _ = socket.set_opt::<SendBufferSize>(SEND_BUFFER_FRAMES);
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(address)?;
    Ok(socket)
}

fn receive(socket: &Socket, counters: &Counters, deliver: impl Fn(Frame)) {
    loop {
        match socket.recv() {
            Ok(message) => match codec::decode(&message) {
                Ok(frame) => {
                    count(&counters.received);
                    deliver(frame);
                }
                Err(_) => count(&counters.malformed),
            },
            Err(nng::Error::Closed) => return,
            Err(_) => count(&counters.malformed),
        }
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
