//! Links over nng: one socket that takes frames, one per peer that sends them.
//!
//! Each process listens on a `Pull0` socket and dials a `Push0` socket to every
//! peer it talks to. A link that is cut dials again by itself. Sending never
//! waits: what a slow peer does not take stays in a bounded outbox, and the
//! oldest frames beyond it are dropped and counted, since every message is
//! either repeated on request or answered by a timeout.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use tables::Name;

use crate::codec;
use crate::{Frame, Message, Sender};

/// Most frames that wait for one peer.
const OUTBOX_LIMIT: usize = 4096;
/// Most bytes that wait for one peer; one frame may be larger.
const OUTBOX_BYTES: usize = 8 << 20;
/// Frames that nng itself holds for one peer.
const SEND_BUFFER: i32 = 64;
/// First wait before a cut link is dialled again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// Longest wait before a cut link is dialled again.
const RECONNECT_MAX: Duration = Duration::from_millis(500);

/// A link could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The address can't be listened on or dialled.
    #[error("link {address}: {source}")]
    Open {
        /// The address.
        address: Name,
        /// What nng says.
        source: nng::Error,
    },
}

/// What a link counts.
#[derive(Debug, Default)]
pub struct Counters {
    /// Frames that arrived.
    pub received: AtomicU64,
    /// Frames that were handed to nng.
    pub sent: AtomicU64,
    /// Frames dropped because they could not be decoded.
    pub malformed: AtomicU64,
    /// Frames dropped because a peer did not take them, and messages that are
    /// too large for a frame.
    pub dropped: AtomicU64,
}

/// All links of one process.
pub struct Link {
    sender: Sender,
    listener: Socket,
    peers: HashMap<Name, Peer>,
    // Peers for which something waits; most of them are idle most of the time.
    busy: Vec<Name>,
    counters: Arc<Counters>,
}

struct Peer {
    socket: Socket,
    pending: Vec<Message>,
    outbox: VecDeque<nng::Message>,
    // Bytes in the outbox.
    waiting: usize,
}

impl Link {
    /// Listens on the sender's link address. Each frame that arrives goes to
    /// `deliver`, on a thread of its own.
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
        Ok(Link { sender, listener, peers: HashMap::new(), busy: Vec::new(), counters })
    }

    /// The counters of all links together.
    pub fn counters(&self) -> Arc<Counters> {
        self.counters.clone()
    }

    /// Puts a message into the next frame to the peer at `address`.
    pub fn push(&mut self, address: &Name, message: Message) -> Result<(), LinkError> {
        if !self.peers.contains_key(address) {
            let socket = dial(address)
                .map_err(|source| LinkError::Open { address: address.clone(), source })?;
            let peer = Peer::new(socket);
            self.peers.insert(address.clone(), peer);
        }
        if let Some(peer) = self.peers.get_mut(address) {
            if peer.is_idle() {
                self.busy.push(address.clone());
            }
            peer.pending.push(message);
        }
        Ok(())
    }

    /// Sends what was pushed, one frame for each peer, and retries what a peer
    /// has not taken so far.
    pub fn flush(&mut self, revision: u64) {
        for address in std::mem::take(&mut self.busy) {
            let Some(peer) = self.peers.get_mut(&address) else { continue };
            peer.encode(&self.sender, revision, &self.counters);
            peer.drain(&self.counters);
            if !peer.is_idle() {
                self.busy.push(address);
            }
        }
    }

    /// Closes the link to the peer at `address`.
    pub fn forget(&mut self, address: &str) {
        self.busy.retain(|other| other != address);
        if let Some(peer) = self.peers.remove(address) {
            peer.socket.close();
        }
    }

    /// The number of frames that wait because peers have not taken them.
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
        Peer { socket, pending: Vec::new(), outbox: VecDeque::new(), waiting: 0 }
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.outbox.is_empty()
    }

    /// Puts the pending messages into the outbox, in as few frames as fit.
    fn encode(&mut self, sender: &Sender, revision: u64, counters: &Counters) {
        if self.pending.is_empty() {
            return;
        }
        let messages = std::mem::take(&mut self.pending);
        let (frames, dropped) = codec::encode_batch(sender, revision, messages);
        for bytes in frames {
            self.waiting += bytes.len();
            self.outbox.push_back(nng::Message::from(&bytes[..]));
        }
        counters.dropped.fetch_add(dropped as u64, Ordering::Relaxed);
    }

    fn is_full(&self) -> bool {
        let large = self.waiting > OUTBOX_BYTES && self.outbox.len() > 1;
        large || self.outbox.len() > OUTBOX_LIMIT
    }

    fn drain(&mut self, counters: &Counters) {
        while let Some(message) = self.outbox.pop_front() {
            let size = message.len();
            match self.socket.try_send(message) {
                Ok(()) => {
                    self.waiting -= size;
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
            self.waiting -= oldest.map_or(0, |message| message.len());
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
    // Not every release of the C library has a send buffer for this protocol.
    let _ = socket.set_opt::<SendBufferSize>(SEND_BUFFER);
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
