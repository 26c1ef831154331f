//! The Unix socket at which the next process of this gateway finds this one.

use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// Whoever is there takes a connection at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A file, whatever its name.
type FileId = (u64, u64);

fn id_of(path: &Path) -> io::Result<FileId> {
    std::fs::symlink_metadata(path).map(|file| (file.dev(), file.ino()))
}

/// A listener under a name that a newer process may take over.
pub(super) struct MeetingPoint {
    path: PathBuf,
    bound: Option<(UnixListener, FileId)>,
    /// That it can't be had has been told.
    told: bool,
}

impl MeetingPoint {
    /// Takes the place of the process before, whose successor has come.
    pub fn claim(path: PathBuf) -> Self {
        let mut point = MeetingPoint { path, bound: None, told: false };
        point.bind();
        point
    }

    /// Danger: one that looks for it at this moment must find either, so the new socket moves over the old name.
    fn bind(&mut self) {
        let new = self.path.with_extension(format!("{}", std::process::id()));
        let _ = std::fs::remove_file(&new);
        let bound = UnixListener::bind(&new).and_then(|listener| {
            let id = id_of(&new)?;
            std::fs::rename(&new, &self.path)?;
            Ok((listener, id))
        });
        match bound {
            Ok(bound) => (self.bound, self.told) = (Some(bound), false),
            Err(why) if !self.told => {
                log::warn!("handover: {}: {why}; no other process can take over yet", self.path.display());
                self.told = true;
            }
            Err(_) => {}
        }
    }

    /// Makes it anew where it is not there: it could not be made, or the folder was cleaned up.
    pub fn restore_missing(&mut self) {
        let missing = id_of(&self.path).is_err_and(|e| e.kind() == io::ErrorKind::NotFound);
        if missing || self.bound.is_none() {
            self.bind();
        }
    }

    /// Makes it anew where a process that took its name over is gone. Danger: one that is there keeps it, and whoever
    /// comes next is told by that one.
    pub async fn restore_after_departure(&mut self) {
        let own = self.bound.as_ref().map(|(_, id)| *id);
        if id_of(&self.path).ok() == own && own.is_some() {
            return;
        }
        let connect = timeout(CONNECT_TIMEOUT, UnixStream::connect(&self.path)).await;
        if let Ok(Err(_)) = connect {
            self.bind();
        }
    }

    /// The next process that comes; none does while there is no socket.
    pub async fn accept(&self) -> io::Result<UnixStream> {
        match &self.bound {
            Some((listener, _)) => listener.accept().await.map(|(stream, _)| stream),
            None => std::future::pending().await,
        }
    }
}
