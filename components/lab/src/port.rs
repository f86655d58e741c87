//! Loopback ports for daemons that must know their address before they start.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port that is given out: below the system's own range for outgoing
/// connections, so that none takes a port between its choice and its use.
const FIRST: u32 = 10_000;
/// Number of ports that are given out.
const COUNT: u32 = 20_000;
/// Ports between the starts of two processes.
const STRIDE: u32 = 97;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A loopback address that nobody listens on.
///
/// ```
/// assert_ne!(lab::port::free(), lab::port::free());
/// ```
pub fn free() -> SocketAddr {
    let start = std::process::id().wrapping_mul(STRIDE);
    loop {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST + offset) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
