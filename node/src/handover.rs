//! One gateway, two processes: the clients' socket that the platform holds, and what the processes tell
//! each other while both run, as lines of JSON on a Unix socket in `$TMPDIR`.

mod meeting_point;

use crate::config::OpenConnections;
use crate::driver::Driver;
use crate::endpoints::EndpointList;
use caperwind::{HandoverState, UnsyncedUnits};
use meeting_point::MeetingPoint;
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

/// What a predecessor knows is waited for so long: the new process must be ready in 6 s, with or without.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// The last words of a process are given so long to leave it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// A message longer than this is none of ours.
const MAX_MESSAGE_BYTES: u64 = 8 << 20;
/// Who comes must say something this soon: it is to be ready in 6 s, and says so.
const HELLO_TIMEOUT: Duration = Duration::from_secs(10);
/// After an error, the next process is let in so much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// How often it is looked whether other processes can still find this one.
const MEETING_POINT_INTERVAL: Duration = Duration::from_secs(1);
/// Processes of one gateway that are spoken to: one that came before and one that comes after.
const MAX_PEERS: usize = 2;

/// What one process tells another.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The first message to a successor: all that it is to know.
    State(Box<State>),
    /// The first message of a successor that serves.
    Serving,
    Bar {
        name: String,
        out: bool,
    },
    Drain {
        on: bool,
    },
    /// The connections that it holds, of those that all may hold together.
    Held(OpenConnections),
    /// The last message of a process that ends.
    Spent(Vec<UnsyncedUnits>),
}

#[derive(Serialize, Deserialize)]
pub struct State {
    list: EndpointList,
    barred: Vec<String>,
    draining: bool,
    module: HandoverState,
}

/// The clients' listening socket, which the platform holds for every process of this gateway.
pub fn inherited(fd: RawFd) -> Result<TcpListener, String> {
    let held = std::fs::metadata(format!("/proc/self/fd/{fd}")).is_ok_and(|m| m.file_type().is_socket());
    if !held {
        return Err(format!("NODE_FD {fd}: no socket"));
    }
    let listener = adopt(fd);
    listener.set_nonblocking(true).map_err(|e| format!("NODE_FD {fd}: {e}"))?;
    Ok(listener)
}

#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> TcpListener {
    // SAFETY: the caller has found a socket open there. It was inherited, so no part of this process owns
    // it, and this is called once, at the start: from here on this listener is its one owner.
    unsafe { TcpListener::from_raw_fd(fd) }
}

/// The talk with another process.
struct Peer {
    tell: mpsc::UnboundedSender<String>,
    /// Whether it has said a message.
    heard: bool,
    reader: AbortHandle,
    writer: JoinHandle<()>,
}

/// The other processes of this gateway, as far as they can be reached.
pub struct Handover {
    driver: Driver,
    path: Option<PathBuf>,
    peers: RefCell<BTreeMap<u64, Peer>>,
    next: Cell<u64>,
    /// What the others hold; `None` while there are none.
    held: watch::Sender<Option<OpenConnections>>,
    /// The number of a successor that serves.
    successor: Cell<Option<u64>>,
    /// Told when the talk with another process is over.
    departed: Notify,
}

impl Handover {
    /// Takes over what a process that runs already knows, and waits for the next one.
    pub async fn join(driver: Driver, path: Option<PathBuf>) -> Rc<Self> {
        let (peers, next, successor) = (RefCell::default(), Cell::new(0), Cell::new(None));
        let held = watch::channel(None).0;
        let departed = Notify::new();
        let this = Rc::new(Handover { driver, path, peers, next, held, successor, departed });
        let Some(path) = this.path.clone() else { return this };
        // Absent, stale, silent or cut off: this process begins with what it has been told at its start.
        match timeout(STATE_TIMEOUT, this.meet(&path)).await {
            Ok(Ok(())) => log::info!("handover: another process of this gateway serves"),
            Ok(Err(why)) => log::info!("handover: none before this one ({why})"),
            Err(_) => log::info!("handover: the other process does not answer"),
        }
        tokio::task::spawn_local(this.clone().wait(MeetingPoint::claim(path)));
        this
    }

    /// Told what the others hold, whenever that changes; `None` while there are none.
    pub fn held(&self) -> watch::Receiver<Option<OpenConnections>> {
        self.held.subscribe()
    }

    /// Whether another process serves that goes on after this one.
    pub fn succeeded(&self) -> bool {
        self.successor.get().is_some()
    }

    /// Whether another process runs.
    pub fn paired(&self) -> bool {
        !self.peers.borrow().is_empty()
    }

    /// Tells all others that this process speaks with.
    pub fn tell(&self, message: &Message) {
        self.tell_all_but(None, message);
    }

    /// Passes on what one of the others says. Each process speaks with the one before it and the one after it, in a
    /// row without a ring, so that what goes away from where it came from reaches each of them once.
    fn relay(&self, from: u64, message: &Message) {
        self.tell_all_but(Some(from), message);
    }

    fn tell_all_but(&self, left_out: Option<u64>, message: &Message) {
        let line = line(message);
        let peers = self.peers.borrow();
        let told = peers.iter().filter(|(id, _)| Some(**id) != left_out);
        told.for_each(|(_, peer)| drop(peer.tell.send(line.clone())));
    }

    /// Tells another process what this one leaves. Danger: where two are told, both add it: the one that goes on after
    /// this one is, or else the one that came last.
    pub fn hand_over(&self) {
        let peers = self.peers.borrow();
        let successor = self.successor.get();
        let heir = peers.iter().max_by_key(|(id, peer)| (successor == Some(**id), peer.heard, **id));
        if let Some((_, heir)) = heir {
            drop(heir.tell.send(line(&Message::Spent(self.driver.take_unsynced_units()))));
        }
    }

    /// Ends all talk once everything that was said is written.
    pub async fn end(&self) {
        let peers = std::mem::take(&mut *self.peers.borrow_mut());
        // A writer that has nothing left to write ends.
        let writers: Vec<_> = peers.into_values().map(|peer| peer.writer).collect();
        for writer in writers {
            let _ = timeout(FLUSH_TIMEOUT, writer).await;
        }
    }

    async fn meet(self: &Rc<Self>, path: &Path) -> Result<(), String> {
        let stream = UnixStream::connect(path).await.map_err(|e| e.to_string())?;
        let (from, to) = stream.into_split();
        let mut from = BufReader::new(from);
        let Message::State(state) = receive(&mut from).await.ok_or("it says nothing that can be read")?
        else {
            return Err("it does not say what it knows".to_owned());
        };
        let State { list, barred, draining, module } = *state;
        self.driver.apply_cached_list(list);
        self.driver.receive_handover(module);
        barred.iter().for_each(|name| self.driver.set_backend_disabled(name, true));
        self.driver.set_draining(draining);
        self.talk(from, to, true);
        Ok(())
    }

    /// Tells each process that comes what this one knows, and sees to it that the next one can come.
    async fn wait(self: Rc<Self>, mut point: MeetingPoint) {
        loop {
            tokio::select! {
                come = point.accept() => match come {
                    Ok(stream) => self.greet(stream),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                () = self.departed.notified() => point.restore_after_departure().await,
                () = sleep(MEETING_POINT_INTERVAL) => point.restore_missing(),
            }
        }
    }

    /// Tells a process that has come what this one knows.
    fn greet(self: &Rc<Self>, stream: UnixStream) {
        if self.peers.borrow().len() >= MAX_PEERS && !self.make_way() {
            return;
        }
        let (list, barred) = self.driver.backend_snapshot();
        let (draining, module) = (self.driver.draining(), self.driver.handover_state());
        let state = Message::State(Box::new(State { list, barred, draining, module }));
        let (from, to) = stream.into_split();
        let tell = self.talk(BufReader::new(from), to, false);
        drop(tell.send(line(&state)));
    }

    /// Lets go of the first that has said nothing: a process that hangs must not keep another one from its place.
    fn make_way(&self) -> bool {
        let silent = self.peers.borrow().iter().find(|(_, o)| !o.heard).map(|(id, _)| *id);
        silent.inspect(|id| self.leaves(*id)).is_some()
    }

    /// Keeps up the talk with another process until either ends it.
    fn talk(
        self: &Rc<Self>,
        mut from: BufReader<OwnedReadHalf>,
        mut to: OwnedWriteHalf,
        heard: bool,
    ) -> mpsc::UnboundedSender<String> {
        let id = self.next.replace(self.next.get() + 1);
        let (tell, mut lines) = mpsc::unbounded_channel::<String>();
        let writer = tokio::task::spawn_local(async move {
            while let Some(line) = lines.recv().await {
                if to.write_all(line.as_bytes()).await.is_err() {
                    break;
                }
            }
        });
        let this = self.clone();
        let reader = tokio::task::spawn_local(async move {
            let mut patience = if heard { Duration::MAX } else { HELLO_TIMEOUT };
            while let Ok(Some(message)) = timeout(patience, receive(&mut from)).await {
                patience = Duration::MAX;
                this.handle(id, message);
            }
            this.leaves(id);
        });
        let peer = Peer { tell: tell.clone(), heard, reader: reader.abort_handle(), writer };
        self.peers.borrow_mut().insert(id, peer);
        self.changed();
        tell
    }

    /// The talk with this one is over.
    fn leaves(&self, id: u64) {
        let Some(peer) = self.peers.borrow_mut().remove(&id) else { return };
        peer.reader.abort();
        peer.writer.abort();
        self.successor.set(self.successor.get().filter(|s| *s != id));
        self.changed();
        self.departed.notify_one();
        log::info!("handover: the other process is gone");
    }

    fn changed(&self) {
        let paired = self.paired();
        self.held.send_modify(|held| *held = paired.then(|| held.unwrap_or_default()));
        self.driver.set_other_process_serving(paired);
    }

    fn handle(&self, id: u64, message: Message) {
        self.peers.borrow_mut().entry(id).and_modify(|o| o.heard = true);
        if let Message::Bar { .. } | Message::Drain { .. } = &message {
            self.relay(id, &message);
        }
        match message {
            Message::Serving => self.successor.set(Some(id)),
            Message::Bar { name, out } => self.driver.set_backend_disabled(&name, out),
            Message::Drain { on } => self.driver.set_draining(on),
            Message::Held(held) => drop(self.held.send_replace(Some(held))),
            Message::Spent(spent) => self.driver.add_unsynced_units(spent),
            // Only the first message is one of these.
            Message::State(_) => {}
        }
    }
}

fn line(message: &Message) -> String {
    // What can't be said is no message to who hears it.
    serde_json::to_string(message).unwrap_or_default() + "\n"
}

/// The next message; `None` where the talk has ended, or says what is no message.
async fn receive(from: &mut BufReader<OwnedReadHalf>) -> Option<Message> {
    let mut line = Vec::new();
    from.take(MAX_MESSAGE_BYTES).read_until(b'\n', &mut line).await.ok()?;
    serde_json::from_slice(&line).ok()
}
