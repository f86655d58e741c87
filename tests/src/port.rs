//! Allocates ports below the ephemeral range of the operating system, so that no
//! outgoing connection takes a port between its allocation and its use.
//!
//! Each test process locks blocks of ports, so that concurrent test processes
//! never allocate the same port. The demonstration of `lab` and the samples in
//! `examples/` use higher ports.

use std::fs::{File, OpenOptions};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

/// First allocated port.
const FIRST_PORT: u16 = 2_000;
/// Ports per block.
const BLOCK_SIZE: u16 = 50;
/// Number of blocks.
const BLOCK_COUNT: u16 = 160;

/// The port blocks of this process; the locks are released when it exits.
static ALLOCATOR: Mutex<Allocator> = Mutex::new(Allocator { locks: Vec::new(), next: 0, end: 0 });

struct Allocator {
    locks: Vec<File>,
    next: u16,
    end: u16,
}

/// A loopback address without a listener.
pub fn free() -> SocketAddr {
    let mut allocator = ALLOCATOR.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if allocator.next == allocator.end {
            allocator.lock_block();
        }
        let address = SocketAddr::from(([127, 0, 0, 1], allocator.next));
        allocator.next += 1;
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Waits for a lock shared by all test processes of the machine.
pub fn lock(name: &str) -> File {
    let file = open_lock_file(name);
    file.lock().expect("a lock");
    file
}

impl Allocator {
    fn lock_block(&mut self) {
        for block in 0..BLOCK_COUNT {
            let file = open_lock_file(&format!("ports-{block}"));
            // Blocks that this process has already locked are refused, too.
            if file.try_lock().is_ok() {
                self.locks.push(file);
                self.next = FIRST_PORT + block * BLOCK_SIZE;
                self.end = self.next + BLOCK_SIZE;
                return;
            }
        }
        panic!("all blocks of ports are in use");
    }
}

fn open_lock_file(name: &str) -> File {
    let path = std::env::temp_dir().join(format!("wisteria-tests-{name}.lock"));
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(path);
    file.expect("a lock file")
}
