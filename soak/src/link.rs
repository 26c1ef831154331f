//! Simulated network links between a gateway and a stand-in, and the faults that can be injected on them.

use crate::http::Buffered;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkMode {
    /// Bytes pass in both directions.
    Open,
    /// Nothing passes in either direction, and neither side gets an error.
    Silent,
    /// Bytes pass to the stand-in; its answers are held back.
    AnswersHeld,
    /// The stand-in's answers pass after this delay.
    Delayed(Duration),
}

/// The link between one gateway and one stand-in.
pub struct Link {
    mode: watch::Sender<LinkMode>,
    /// The number of times that all connections over the link were reset.
    resets: watch::Sender<u64>,
}

impl Default for Link {
    fn default() -> Self {
        Link { mode: watch::channel(LinkMode::Open).0, resets: watch::channel(0).0 }
    }
}

impl Link {
    /// Sets the mode. Connections over a link that was silent are reset when it is no longer silent, as are those of
    /// a machine that was cut off and is reachable again.
    pub fn set(&self, mode: LinkMode) {
        let before = self.mode.send_replace(mode);
        if before == LinkMode::Silent && mode != LinkMode::Silent {
            self.reset();
        }
    }

    /// Resets all connections over the link.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }
}

/// The stand-in's end of a connection over a link.
pub struct LinkStream {
    stream: TcpStream,
    mode: watch::Receiver<LinkMode>,
    resets: watch::Receiver<u64>,
    /// The bytes that were read and are not yet consumed.
    pub buffer: Vec<u8>,
}

fn connection_reset() -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

impl LinkStream {
    /// Wraps a connection that was just accepted over a link.
    pub fn new(stream: TcpStream, link: &Arc<Link>) -> Self {
        let _ = stream.set_nodelay(true);
        let (mode, mut resets) = (link.mode.subscribe(), link.resets.subscribe());
        resets.mark_unchanged();
        LinkStream { stream, mode, resets, buffer: Vec::new() }
    }

    /// Writes all bytes. Waits for the link's delay first, and then until the link passes answers. Fails when the
    /// connection is reset.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mode = *self.mode.borrow();
        if let LinkMode::Delayed(delay) = mode {
            sleep(delay).await;
        }
        loop {
            let held = matches!(*self.mode.borrow_and_update(), LinkMode::Silent | LinkMode::AnswersHeld);
            tokio::select! {
                biased;
                _ = self.resets.changed() => return Err(connection_reset()),
                _ = self.mode.changed(), if held => {}
                result = self.stream.write_all(bytes), if !held => return result,
            }
        }
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }

    /// Waits until the peer has closed the connection or the link resets it; discards what arrives before.
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
                _ = self.resets.changed() => return Err(connection_reset()),
                _ = self.mode.changed() => {}
                read = self.stream.read_buf(&mut self.buffer), if !silent => return read,
            }
        }
    }
}
