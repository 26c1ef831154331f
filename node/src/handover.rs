//! Hand-over between the processes of one gateway: the clients' listening socket, which the platform may pass on,
//! and the messages that the processes exchange while both run, as lines of JSON over a Unix socket in `$TMPDIR`.

mod meeting_point;

use crate::config::ProcessUsage;
use crate::driver::Driver;
use crate::endpoints::EndpointList;
use caperwind::{HandoverState, UnsyncedUnits};
use meeting_point::HandoverListener;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};
use std::os::unix::fs::FileTypeExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{sleep, timeout};

/// How long a new process waits for its predecessor's state. It has to be ready within 6 s, with or without that
/// state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a process that ends waits for its last messages to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The maximum size of a message; a longer one fails to parse, which ends the connection.
const MAX_MESSAGE_BYTES: u64 = 8 << 20;
/// How long a successor may take to send its first message. It has to be ready within 6 s, and then sends
/// [`Message::Serving`].
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The wait after accepting a connection has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// How often the process checks that other processes can still find its socket.
const LISTENER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of processes that this one is connected to: its predecessor and its successor.
const MAX_PEERS: usize = 2;

/// The messages between two processes of a gateway.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The first message to a successor: the state that it takes over.
    State(Box<State>),
    /// The first message from a successor: it serves clients from now on.
    Serving,
    /// An operator has disabled or enabled a backend.
    Bar {
        /// The backend's name in discovery's list.
        name: String,
        /// Whether the backend is disabled (rather than enabled) from now on.
        out: bool,
    },
    /// An operator has switched draining on or off.
    Drain {
        /// Whether the gateway drains from now on.
        on: bool,
    },
    /// Requests that the sender has sent to a backend, by the hashes of their correlation ids. Sent only to a process that is
    /// known to understand it; a successor sends an empty one first to say so.
    Begun {
        /// The hashes.
        requests: Vec<u64>,
    },
    /// What the sender holds, which counts towards the limits of both processes together.
    Held(ProcessUsage),
    /// The last message of a process that ends: units that it has not added to the counter.
    Spent(Vec<UnsyncedUnits>),
}

/// The state that a successor takes over.
#[derive(Serialize, Deserialize)]
pub struct State {
    list: EndpointList,
    #[serde(rename = "barred")]
    disabled_backends: Vec<String>,
    draining: bool,
    #[serde(rename = "module")]
    decision_state: HandoverState,
    /// The requests that the sender has sent to a backend; `None` if its version does not tell them.
    #[serde(default)]
    begun: Option<Vec<u64>>,
}

/// Takes over the clients' listening socket that the platform holds for every process of this gateway. Fails if
/// `fd` is not an open socket. May be called only once.
pub fn inherited_listener(fd: RawFd) -> Result<TcpListener, String> {
    let is_socket = std::fs::metadata(format!("/proc/self/fd/{fd}")).is_ok_and(|m| m.file_type().is_socket());
    if !is_socket {
        return Err(format!("NODE_FD {fd}: not an open socket"));
    }
    let listener = listener_from_fd(fd);
    listener.set_nonblocking(true).map_err(|e| format!("NODE_FD {fd}: {e}"))?;
    Ok(listener)
}

#[allow(unsafe_code)]
fn listener_from_fd(fd: RawFd) -> TcpListener {
    // SAFETY: the caller has found a socket open at this descriptor. It was inherited, so no part of this process
    // owns it, and this function is called once, at the start: from here on the listener is its only owner.
    unsafe { TcpListener::from_raw_fd(fd) }
}

/// The connection to another process.
struct Peer {
    outgoing: mpsc::UnboundedSender<String>,
    /// Whether this process has received a message from the other.
    has_sent_message: bool,
    /// Whether the other process understands [`Message::Begun`].
    takes_begun: bool,
    reader: AbortHandle,
    writer: JoinHandle<()>,
}

/// The connections to the other processes of this gateway.
pub struct Handover {
    driver: Driver,
    path: Option<PathBuf>,
    peers: RefCell<BTreeMap<u64, Peer>>,
    next_peer_id: Cell<u64>,
    /// What the other process holds; `None` while no other process is connected.
    peer_usage: watch::Sender<Option<ProcessUsage>>,
    /// The id of the peer that serves as this process's successor.
    successor: Cell<Option<u64>>,
    /// Notified when the connection to a peer has ended.
    peer_left: Notify,
}

impl Handover {
    /// Takes over the state of a process that already runs, if any, then accepts connections from successors.
    /// Without `path`, there is no hand-over.
    pub async fn join(driver: Driver, path: Option<PathBuf>) -> Rc<Self> {
        let (peers, next_peer_id, successor) = (RefCell::default(), Cell::new(0), Cell::new(None));
        let peer_usage = watch::channel(None).0;
        let peer_left = Notify::new();
        let this = Rc::new(Handover { driver, path, peers, next_peer_id, peer_usage, successor, peer_left });
        let Some(path) = this.path.clone() else { return this };
        let observer = Rc::downgrade(&this);
        this.driver.observe_begun_requests(move |hash| {
            observer.upgrade().iter().for_each(|handover| handover.tell_begun(None, vec![hash]));
        });
        // If the predecessor is absent or its socket stale, or it does not answer or breaks off, this process
        // starts from its own configuration.
        match timeout(STATE_TIMEOUT, this.receive_state(&path)).await {
            Ok(Ok(())) => log::info!("handover: another process of this gateway serves"),
            Ok(Err(reason)) => log::info!("handover: started without the state of a predecessor ({reason})"),
            Err(_) => log::info!("handover: the other process does not answer; started without its state"),
        }
        tokio::task::spawn_local(this.clone().accept_peers(HandoverListener::claim(path)));
        this
    }

    /// Returns a receiver of what the other process holds; `None` while no other process is connected.
    pub fn peer_usage(&self) -> watch::Receiver<Option<ProcessUsage>> {
        self.peer_usage.subscribe()
    }

    /// Returns whether a successor serves that will go on after this process.
    pub fn has_successor(&self) -> bool {
        self.successor.get().is_some()
    }

    /// Returns whether any other process of this gateway is connected.
    pub fn has_peers(&self) -> bool {
        !self.peers.borrow().is_empty()
    }

    /// Sends a message to every connected process.
    pub fn broadcast(&self, message: &Message) {
        self.broadcast_except(None, message);
    }

    /// Forwards a message from one peer to the others. Processes are connected in a chain (each to its
    /// predecessor and its successor), never in a ring, so a message that is not sent back reaches each process
    /// once.
    fn relay(&self, from: u64, message: &Message) {
        self.broadcast_except(Some(from), message);
    }

    fn broadcast_except(&self, excluded: Option<u64>, message: &Message) {
        self.send_where(|id, _| Some(id) != excluded, message);
    }

    /// Tells the other processes, except `excluded`, of requests that have been sent to a backend.
    fn tell_begun(&self, excluded: Option<u64>, requests: Vec<u64>) {
        let understands = |id, peer: &Peer| peer.takes_begun && Some(id) != excluded;
        self.send_where(understands, &Message::Begun { requests });
    }

    /// Sends a message to the peers that `is_recipient` accepts.
    fn send_where(&self, is_recipient: impl Fn(u64, &Peer) -> bool, message: &Message) {
        let peers = self.peers.borrow();
        let mut recipients = peers.iter().filter(|(id, peer)| is_recipient(**id, peer)).peekable();
        if recipients.peek().is_some() {
            let line = encode_line(message);
            recipients.for_each(|(_, peer)| drop(peer.outgoing.send(line.clone())));
        }
    }

    /// Sends the units that this process has not added to the counter to exactly one other process, since two
    /// recipients would both add them: the successor that serves, or else the last connected of those that have
    /// sent a message, or else the last connected.
    pub fn send_unsynced_units(&self) {
        let peers = self.peers.borrow();
        let successor = self.successor.get();
        let recipient =
            peers.iter().max_by_key(|(id, peer)| (successor == Some(**id), peer.has_sent_message, **id));
        if let Some((_, recipient)) = recipient {
            drop(recipient.outgoing.send(encode_line(&Message::Spent(self.driver.take_unsynced_units()))));
        }
    }

    /// Closes all connections once everything queued has been written, or after `FLUSH_TIMEOUT` for each.
    pub async fn close(&self) {
        let peers = std::mem::take(&mut *self.peers.borrow_mut());
        // Each writer ends when it has written its queue, since its sender has been dropped.
        let writers: Vec<_> = peers.into_values().map(|peer| peer.writer).collect();
        for writer in writers {
            let _ = timeout(FLUSH_TIMEOUT, writer).await;
        }
    }

    /// Connects to the process at `path` and takes over its state.
    async fn receive_state(self: &Rc<Self>, path: &Path) -> Result<(), String> {
        let stream = UnixStream::connect(path).await.map_err(|e| e.to_string())?;
        let (from, to) = stream.into_split();
        let mut from = BufReader::new(from);
        let Message::State(state) =
            receive(&mut from).await.ok_or("the other process sent no readable message")?
        else {
            return Err("the first message of the other process is not its state".to_owned());
        };
        let State { list, disabled_backends, draining, decision_state, begun } = *state;
        self.driver.apply_cached_list(list);
        self.driver.receive_handover(decision_state);
        disabled_backends.iter().for_each(|name| self.driver.set_backend_disabled(name, true));
        self.driver.set_draining(draining);
        let predecessor = self.add_peer(from, to, true);
        if let Some(begun) = begun {
            self.driver.add_begun_requests(&begun);
            drop(predecessor.send(encode_line(&Message::Begun { requests: Vec::new() })));
            self.peers.borrow_mut().values_mut().for_each(|peer| peer.takes_begun = true);
        }
        Ok(())
    }

    /// Sends the state to each successor that connects, and keeps the listening socket in place.
    async fn accept_peers(self: Rc<Self>, mut listener: HandoverListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(stream) => self.send_state(stream),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                () = self.peer_left.notified() => listener.restore_after_departure().await,
                () = sleep(LISTENER_CHECK_INTERVAL) => listener.restore_missing(),
            }
        }
    }

    /// Sends this process's state to a successor that has connected.
    fn send_state(self: &Rc<Self>, stream: UnixStream) {
        if self.peers.borrow().len() >= MAX_PEERS && !self.drop_silent_peer() {
            return;
        }
        let (list, disabled_backends) = self.driver.backend_snapshot();
        let (draining, decision_state) = (self.driver.draining(), self.driver.handover_state());
        let begun = Some(self.driver.begun_requests());
        let state =
            Message::State(Box::new(State { list, disabled_backends, draining, decision_state, begun }));
        let (from, to) = stream.into_split();
        let outgoing = self.add_peer(BufReader::new(from), to, false);
        drop(outgoing.send(encode_line(&state)));
    }

    /// Disconnects the first peer that has sent no message, so that a process that hangs does not keep another
    /// one out. Returns whether there was one.
    fn drop_silent_peer(&self) -> bool {
        let silent = self.peers.borrow().iter().find(|(_, peer)| !peer.has_sent_message).map(|(id, _)| *id);
        silent.inspect(|id| self.remove_peer(*id)).is_some()
    }

    /// Adds a peer and starts to read from and write to it, until either side ends the connection.
    fn add_peer(
        self: &Rc<Self>,
        mut from: BufReader<OwnedReadHalf>,
        mut to: OwnedWriteHalf,
        has_sent_message: bool,
    ) -> mpsc::UnboundedSender<String> {
        let id = self.next_peer_id.replace(self.next_peer_id.get() + 1);
        let (outgoing, mut lines) = mpsc::unbounded_channel::<String>();
        let writer = tokio::task::spawn_local(async move {
            while let Some(line) = lines.recv().await {
                if to.write_all(line.as_bytes()).await.is_err() {
                    break;
                }
            }
        });
        let this = self.clone();
        let reader = tokio::task::spawn_local(async move {
            let mut message_timeout = if has_sent_message { Duration::MAX } else { FIRST_MESSAGE_TIMEOUT };
            while let Ok(Some(message)) = timeout(message_timeout, receive(&mut from)).await {
                message_timeout = Duration::MAX;
                this.handle(id, message);
            }
            this.remove_peer(id);
        });
        let peer = Peer {
            outgoing: outgoing.clone(),
            has_sent_message,
            takes_begun: false,
            reader: reader.abort_handle(),
            writer,
        };
        self.peers.borrow_mut().insert(id, peer);
        self.peers_changed();
        outgoing
    }

    /// Disconnects a peer.
    fn remove_peer(&self, id: u64) {
        let Some(peer) = self.peers.borrow_mut().remove(&id) else { return };
        peer.reader.abort();
        peer.writer.abort();
        self.successor.set(self.successor.get().filter(|s| *s != id));
        self.peers_changed();
        self.peer_left.notify_one();
        log::info!("handover: the other process is gone");
    }

    /// Reports to the driver and to the followers of `peer_usage` whether any peer is connected.
    fn peers_changed(&self) {
        let has_peers = self.has_peers();
        self.peer_usage.send_modify(|usage| *usage = has_peers.then(|| usage.unwrap_or_default()));
        self.driver.set_other_process_serving(has_peers);
    }

    /// Records requests that a peer has sent to a backend, and tells the others. A first message of this kind shows that
    /// the peer understands it: it is told then what has been begun since it got the state.
    fn learn_begun(&self, id: u64, requests: Vec<u64>) {
        let understood = |peer: &mut Peer| !std::mem::replace(&mut peer.takes_begun, true);
        let first = self.peers.borrow_mut().get_mut(&id).is_some_and(understood);
        self.driver.add_begun_requests(&requests);
        if !requests.is_empty() {
            self.tell_begun(Some(id), requests);
        }
        if let (true, Some(peer)) = (first, self.peers.borrow().get(&id)) {
            let line = encode_line(&Message::Begun { requests: self.driver.begun_requests() });
            drop(peer.outgoing.send(line));
        }
    }

    fn handle(&self, id: u64, message: Message) {
        self.peers.borrow_mut().entry(id).and_modify(|peer| peer.has_sent_message = true);
        if let Message::Bar { .. } | Message::Drain { .. } = &message {
            self.relay(id, &message);
        }
        match message {
            Message::Serving => self.successor.set(Some(id)),
            Message::Bar { name, out } => self.driver.set_backend_disabled(&name, out),
            Message::Drain { on } => self.driver.set_draining(on),
            Message::Begun { requests } => self.learn_begun(id, requests),
            Message::Held(usage) => drop(self.peer_usage.send_replace(Some(usage))),
            Message::Spent(units) => self.driver.add_unsynced_units(units),
            // A process takes over state only from the first message of its predecessor.
            Message::State(_) => {}
        }
    }
}

fn encode_line(message: &Message) -> String {
    // If a message can't be serialised, the empty line ends the connection at the other side.
    serde_json::to_string(message).unwrap_or_default() + "\n"
}

/// Reads the next message; `None` if the connection has ended or the line is not a valid message.
async fn receive(from: &mut BufReader<OwnedReadHalf>) -> Option<Message> {
    let mut line = Vec::new();
    from.take(MAX_MESSAGE_BYTES).read_until(b'\n', &mut line).await.ok()?;
    serde_json::from_slice(&line).ok()
}
