//! Memory of the process: the allocator, and the bounds derived from the settings.

use listener::Bounds;
use procfs::process::{LimitValue, Process};

/// Memory for each connection that is accepted, in bytes. A debug build uses 15 KiB for one
/// that is open, 21 KiB after a request and 30 KiB with an incomplete small body.
const CONNECTION_BYTES: u64 = 40 << 10;

/// Share of the memory that bytes of incomplete heads may use. Each byte is held twice, in
/// buffers that are up to twice as large.
const HEADS_DIVISOR: u64 = 32;

/// Least number of descriptors for everything but callers, and the divisor of all for these:
/// connections to backend servers, listeners, links and calls to the store.
const OTHER_DESCRIPTORS_MIN: usize = 256;
const OTHER_DESCRIPTORS_DIVISOR: usize = 4;

/// Bounds of the callers' listener in a process that may use `memory` bytes and open
/// `descriptors`, or as many as the system allows.
pub fn bounds(memory: u64, descriptors: Option<u64>) -> Bounds {
    let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    let fit = size(memory / CONNECTION_BYTES);
    let connections = descriptors.map(size).or_else(descriptor_limit).map_or(fit, |limit| {
        let others = OTHER_DESCRIPTORS_MIN.max(limit / OTHER_DESCRIPTORS_DIVISOR).min(limit / 2);
        fit.min(limit - others)
    });
    Bounds { connections, heads: size(memory / HEADS_DIVISOR) }
}

/// Largest number of descriptors that the process may open, if the system tells.
fn descriptor_limit() -> Option<usize> {
    let limits = Process::myself().ok()?.limits().ok()?;
    match limits.max_open_files.soft_limit {
        LimitValue::Value(limit) => usize::try_from(limit).ok(),
        LimitValue::Unlimited => None,
    }
}

/// Memory that the process uses, in bytes, if the system tells.
pub fn resident() -> Option<usize> {
    let pages = Process::myself().ok()?.statm().ok()?.resident;
    usize::try_from(pages.saturating_mul(procfs::page_size())).ok()
}

/// Largest allocation that the allocator may keep after it is freed, in bytes. Larger ones,
/// such as large bodies, go back to the system at once.
pub const KEPT_ALLOCATION: usize = 64 << 10;

/// Unused bytes at the end of the heap above which they go back to the system.
#[cfg(target_env = "gnu")]
const KEPT_HEAP: usize = 1 << 20;

/// Makes the allocator give freed memory back to the system. By default, glibc raises both
/// thresholds up to 32 and 64 MiB with the sizes it has seen.
pub fn configure_allocator() {
    #[cfg(target_env = "gnu")]
    for (option, value) in
        [(libc::M_MMAP_THRESHOLD, KEPT_ALLOCATION), (libc::M_TRIM_THRESHOLD, KEPT_HEAP)]
    {
        // SAFETY: `mallopt` takes its arguments by value and may be called at any time.
        if unsafe { libc::mallopt(option, value as libc::c_int) } == 0 {
            log::warn!(target: "entry", option = option; "the allocator can't be configured");
        }
    }
}
