//! The Unix socket at which the next process of this gateway finds this one.

use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// How long connecting to the process that owns the path may take. A process that is alive accepts at once, and a
/// socket without a process refuses at once; a connection that does neither in this time counts as a process that
/// is alive.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The device and inode of a file, which identify it whatever its path.
type FileId = (u64, u64);

/// Returns the identity of the file at `path`, without following a symbolic link.
fn file_id(path: &Path) -> io::Result<FileId> {
    std::fs::symlink_metadata(path).map(|file| (file.dev(), file.ino()))
}

/// A Unix listener at a path that a newer process may take over.
pub(super) struct HandoverListener {
    path: PathBuf,
    bound: Option<(UnixListener, FileId)>,
    /// Whether a failure to listen has been logged since the last success.
    failure_logged: bool,
}

impl HandoverListener {
    /// Listens at the path in place of the predecessor, if there is one; this process has tried to connect to it
    /// before.
    pub fn claim(path: PathBuf) -> Self {
        let mut listener = HandoverListener { path, bound: None, failure_logged: false };
        listener.bind();
        listener
    }

    /// Listens at a new socket and moves it over the path. The rename is atomic, so a process that connects at
    /// this moment finds either the old or the new socket.
    fn bind(&mut self) {
        let new_path = self.path.with_extension(format!("{}", std::process::id()));
        let _ = std::fs::remove_file(&new_path);
        let bound = UnixListener::bind(&new_path).and_then(|listener| {
            let id = file_id(&new_path)?;
            std::fs::rename(&new_path, &self.path)?;
            Ok((listener, id))
        });
        match bound {
            Ok(bound) => (self.bound, self.failure_logged) = (Some(bound), false),
            Err(error) if !self.failure_logged => {
                log::warn!("handover: {}: {error}; no other process can take over yet", self.path.display());
                self.failure_logged = true;
            }
            Err(_) => {}
        }
    }

    /// Listens again if there is no socket at the path: it could not be created, or the folder was cleaned up.
    pub fn restore_missing(&mut self) {
        let missing = file_id(&self.path).is_err_and(|e| e.kind() == io::ErrorKind::NotFound);
        if missing || self.bound.is_none() {
            self.bind();
        }
    }

    /// Listens again if a newer process that had taken over the path is gone. If that process is alive, it keeps
    /// the path and hands over to whichever process comes next.
    pub async fn restore_after_departure(&mut self) {
        let own_id = self.bound.as_ref().map(|(_, id)| *id);
        if file_id(&self.path).ok() == own_id && own_id.is_some() {
            return;
        }
        let connect = timeout(CONNECT_TIMEOUT, UnixStream::connect(&self.path)).await;
        if let Ok(Err(_)) = connect {
            self.bind();
        }
    }

    /// Waits for the next process that connects; never returns while there is no socket.
    pub async fn accept(&self) -> io::Result<UnixStream> {
        match &self.bound {
            Some((listener, _)) => listener.accept().await.map(|(stream, _)| stream),
            None => std::future::pending().await,
        }
    }
}
