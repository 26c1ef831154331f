//! Links between a gateway and a stand-in, and what can go wrong on them.

use crate::http::Buffered;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// How a link carries bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkMode {
    /// As it should.
    Open,
    /// Nothing gets through either way, and nobody is told.
    Silent,
    /// What the stand-in says does not get through.
    AnswersHeld,
    /// What the stand-in says gets through so much later.
    Delayed(Duration),
}

/// One gateway's link to one stand-in.
pub struct Link {
    mode: watch::Sender<LinkMode>,
    /// Counts the times at which all connections over it were reset.
    resets: watch::Sender<u64>,
}

impl Default for Link {
    fn default() -> Self {
        Link { mode: watch::channel(LinkMode::Open).0, resets: watch::channel(0).0 }
    }
}

impl Link {
    /// Carries bytes in this way from now on. Connections that were silent are reset then, as those of a machine
    /// that was cut off are once it is back.
    pub fn set(&self, mode: LinkMode) {
        let before = self.mode.send_replace(mode);
        if before == LinkMode::Silent && mode != LinkMode::Silent {
            self.reset();
        }
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }
}

/// A stand-in's end of a connection over a link.
pub struct LinkStream {
    stream: TcpStream,
    mode: watch::Receiver<LinkMode>,
    resets: watch::Receiver<u64>,
    /// What has been read and not been used.
    pub buffer: Vec<u8>,
}

fn broken() -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

impl LinkStream {
    /// A connection that has just come over a link.
    pub fn new(stream: TcpStream, link: &Arc<Link>) -> Self {
        let _ = stream.set_nodelay(true);
        let (mode, mut resets) = (link.mode.subscribe(), link.resets.subscribe());
        resets.mark_unchanged();
        LinkStream { stream, mode, resets, buffer: Vec::new() }
    }

    /// Writes all of it, as far as the link lets it.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mode = *self.mode.borrow();
        if let LinkMode::Delayed(by) = mode {
            sleep(by).await;
        }
        loop {
            let held = matches!(*self.mode.borrow_and_update(), LinkMode::Silent | LinkMode::AnswersHeld);
            tokio::select! {
                biased;
                _ = self.resets.changed() => return Err(broken()),
                _ = self.mode.changed(), if held => {}
                done = self.stream.write_all(bytes), if !held => return done,
            }
        }
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }

    /// Waits until the other side has ended the connection.
    pub async fn wait_closed(&mut self) {
        while self.fill().await.is_ok_and(|n| n > 0) {}
    }
}

impl Buffered for LinkStream {
    fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    async fn fill(&mut self) -> io::Result<usize> {
        loop {
            let silent = *self.mode.borrow_and_update() == LinkMode::Silent;
            tokio::select! {
                biased;
                _ = self.resets.changed() => return Err(broken()),
                _ = self.mode.changed() => {}
                read = self.stream.read_buf(&mut self.buffer), if !silent => return read,
            }
        }
    }
}
