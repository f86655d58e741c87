//! Heap, resident memory and CPU time for the examples that measure costs. Unlike
//! wall-clock time, CPU time is independent of other processes on the machine.
#![allow(dead_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::fs;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

/// Number of bytes currently allocated.
static HEAP: AtomicUsize = AtomicUsize::new(0);

/// The system allocator, with a counter of allocated bytes.
pub struct Counting;

// SAFETY: each call is forwarded unchanged to the system allocator; the counter
// touches no memory of the caller.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HEAP.fetch_add(layout.size(), Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        HEAP.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the block was allocated by `alloc` above with the same layout.
        unsafe { System.dealloc(block, layout) }
    }
}

/// Returns the number of allocated bytes if [`Counting`] is the global allocator.
pub fn heap() -> f64 {
    HEAP.load(Relaxed) as f64
}

/// Returns the resident memory of the process, in kilobytes.
pub fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4
}

/// Returns the CPU time of this thread.
pub fn thread_time() -> Duration {
    // The kernel updates the value only when a thread stops running.
    std::thread::sleep(Duration::from_micros(1));
    read("/proc/thread-self/schedstat")
}

/// Returns the CPU time of all running threads of this process.
pub fn process_time() -> Duration {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    tasks.map(|task| read(&format!("{}/schedstat", task.path().display()))).sum()
}

fn read(path: &str) -> Duration {
    let text = fs::read_to_string(path).unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Runs `work` and returns its CPU time divided by `count`, in microseconds.
pub fn time_each(count: usize, work: impl FnOnce()) -> f64 {
    let start = thread_time();
    work();
    (thread_time() - start).as_secs_f64() * 1e6 / count as f64
}

/// Prints a row as one JSON line with its name and values.
pub fn row(name: &str, values: &[(&str, f64)]) {
    let values: Vec<String> =
        values.iter().map(|(name, value)| format!("\"{name}\":{value:.3}")).collect();
    println!("{{\"row\":\"{name}\",{}}}", values.join(","));
}
