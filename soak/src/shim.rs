//! The soak's side of the preloaded library.

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
    /// A page in which nothing fails, in a new file.
    pub fn create(path: &Path) -> anyhow::Result<Self> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(ShimControl(MmapRaw::map_raw(&file)?))
    }

    fn page(&self) -> &ControlPage {
        // SAFETY: the mapping is as long as the page at the least, aligned to it, and lives as long as this; all of
        // it is atomic words, and the other side only reads.
        #[allow(unsafe_code)]
        unsafe {
            &*self.0.as_ptr().cast::<ControlPage>()
        }
    }

    /// Makes a call fail so often in a thousand with this error.
    pub fn set(&self, point: FaultPoint, per_mille: u32, errno: i32) {
        let fault = &self.page().faults[point as usize];
        fault.errno.store(errno, Relaxed);
        fault.per_mille.store(per_mille, Relaxed);
    }

    /// Steps the wall clock, in microseconds.
    pub fn step_wall_clock(&self, by: i64) {
        self.page().wall_clock_offset_us.store(by, Relaxed);
    }
}
