//! Settings of the system's allocator, and giving freed memory back to the system. Without them what a crowd of clients
//! took would stay resident after the crowd has left, in gaps between what is still in use.

use std::time::Duration;

#[cfg(all(target_os = "linux", target_env = "gnu"))]
use crate::transport::memory::MAPPED_FROM_BYTES;
use crate::transport::memory::MemoryBudget;

/// The allocator's pools: the runtime has one thread, and few others run beside it.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAX_POOLS: libc::c_int = 1;
/// How often the program checks whether there is something to give back.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Freed memory is given back at once if the use has fallen by this much, in bytes.
const MIN_FALL_BYTES: usize = 512 * 1024;
/// After so many checks it is given back if the use has fallen at all.
const MAX_CHECKS: u32 = 5;

/// Sets the allocator up. This has to happen before other threads are started.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
#[allow(unsafe_code, reason = "the settings of the C library's allocator")]
pub fn configure() {
    // SAFETY: both calls only set parameters, and no other thread runs yet.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_FROM_BYTES as libc::c_int);
        libc::mallopt(libc::M_ARENA_MAX, MAX_POOLS);
    }
}

/// Gives freed memory back to the system.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
#[allow(unsafe_code, reason = "a call of the C library's allocator")]
fn trim() {
    // SAFETY: the call has no preconditions, and moves nothing that is in use.
    unsafe { libc::malloc_trim(0) };
}

/// Other allocators have no such settings.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn configure() {}

/// Other allocators decide on their own.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
fn trim() {}

/// Gives memory back whenever a load has ended. Never returns.
pub async fn trim_after_loads(memory: MemoryBudget) {
    let (mut peak, mut checks) = (0, 0);
    let mut follows_load = false;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        peak = peak.max(memory.take_peak());
        checks += 1;
        let used = memory.used();
        let fall = peak.saturating_sub(used);
        let load_ended = fall >= MIN_FALL_BYTES || fall > 0 && checks >= MAX_CHECKS;
        // What is not charged, such as tasks that end with the load, is freed a little later.
        if load_ended || follows_load {
            trim();
            tracing::debug!(target: "birchspur::memory", peak, used, "gave freed memory back");
            (peak, checks) = (used, 0);
        }
        follows_load = load_ended;
    }
}
