//! The resident memory of this process, as the kernel counts it.

use nix::unistd::{sysconf, SysconfVar};

/// Returns the bytes of memory that are resident for this process; `None` if the kernel does not tell.
pub fn resident_bytes() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = text.split(' ').nth(1)?.parse().ok()?;
    let page_bytes = sysconf(SysconfVar::PAGE_SIZE).ok().flatten()?;
    Some(pages * usize::try_from(page_bytes).ok()?)
}

/// Returns memory to the kernel that has been freed and that the allocator keeps for later.
#[allow(unsafe_code)]
pub fn release_free_memory() {
    // SAFETY: the call takes no pointers, and no memory in use is affected.
    unsafe { libc::malloc_trim(0) };
}
