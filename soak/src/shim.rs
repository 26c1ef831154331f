//! The soak's side of the preloaded library: writes the page that tells a gateway process which system calls fail.

#[path = "../shim/src/control.rs"]
mod control;

pub use control::{FaultPoint, CONTROL_VARIABLE};

use control::{ControlPage, CONTROL_BYTES};
use memmap2::MmapRaw;
use std::fs::File;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;

/// The control page of one process.
pub struct ShimControl(MmapRaw);

impl ShimControl {
    /// Creates the file with a page on which no call fails. Fails if the file cannot be created or mapped.
    pub fn create(path: &Path) -> anyhow::Result<Self> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(ShimControl(MmapRaw::map_raw(&file)?))
    }

    fn page(&self) -> &ControlPage {
        // SAFETY: the mapping is at least as long as `ControlPage`, aligned for it, and lives as long as `self`. All
        // its fields are atomic, and the other side only reads them.
        #[allow(unsafe_code)]
        unsafe {
            &*self.0.as_ptr().cast::<ControlPage>()
        }
    }

    /// Makes `per_mille` in a thousand calls fail with `errno`, or return less than asked for at the points for short
    /// calls; 0 lets all calls succeed.
    pub fn set_fault(&self, point: FaultPoint, per_mille: u32, errno: i32) {
        let fault = &self.page().faults[point as usize];
        fault.errno.store(errno, Relaxed);
        fault.per_mille.store(per_mille, Relaxed);
    }

    /// Sets the offset of the process's wall clock in microseconds.
    pub fn set_wall_clock_offset(&self, offset_us: i64) {
        self.page().wall_clock_offset_us.store(offset_us, Relaxed);
    }
}
