//! One gateway, two processes: the clients' socket that the platform holds, and what the processes tell
//! each other while both run, as lines of JSON on a Unix socket in `$TMPDIR`.

use crate::config::Held;
use crate::driver::Shared;
use crate::endpoints::List;
use caperwind::{Legacy, Spent};
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
use tokio::net::unix::OwnedReadHalf;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep, timeout};

/// What a predecessor knows is waited for so long: the new process must be ready in 6 s, with or without.
const TELL: Duration = Duration::from_secs(1);
/// The last words of a process are given so long to leave it.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// A word longer than this is none of ours.
const MOST_BYTES: u64 = 8 << 20;
/// Processes of one gateway that are spoken to: one that came before and one that comes after.
const MOST_OTHERS: usize = 2;

/// What one process tells another.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// The first word to a successor: all that it is to know.
    State(Box<State>),
    /// The first word of a successor that serves.
    Serving,
    Bar {
        name: String,
        out: bool,
    },
    Drain {
        on: bool,
    },
    /// The connections that it holds, of those that all may hold together.
    Held(Held),
    /// The last word of a process that ends.
    Spent(Vec<Spent>),
}

#[derive(Serialize, Deserialize)]
pub struct State {
    list: List,
    barred: Vec<String>,
    draining: bool,
    module: Legacy,
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

/// The other processes of this gateway, as far as they can be reached.
pub struct Handover {
    driver: Shared,
    path: Option<PathBuf>,
    others: RefCell<BTreeMap<u64, mpsc::UnboundedSender<String>>>,
    next: Cell<u64>,
    /// What the others hold; `None` while there are none.
    held: watch::Sender<Option<Held>>,
    /// The number of a successor that serves.
    successor: Cell<Option<u64>>,
    left: Notify,
}

impl Handover {
    /// Takes over what a process that runs already knows, and waits for the next one.
    pub async fn join(driver: Shared, path: Option<PathBuf>) -> Rc<Self> {
        let (others, next, successor) = (RefCell::default(), Cell::new(0), Cell::new(None));
        let (held, left) = (watch::channel(None).0, Notify::new());
        let this = Rc::new(Handover { driver, path, others, next, held, successor, left });
        let Some(path) = this.path.clone() else { return this };
        // Absent, stale, silent or cut off: this process begins with what it has been told at its start.
        match timeout(TELL, this.meet(&path)).await {
            Ok(Ok(())) => eprintln!("handover: another process of this gateway serves"),
            Ok(Err(why)) => eprintln!("handover: none before this one ({why})"),
            Err(_) => eprintln!("handover: the other process does not answer"),
        }
        match bind(&path) {
            Ok(listener) => drop(tokio::task::spawn_local(this.clone().wait(listener))),
            Err(why) => eprintln!("handover: {}: {why}; no other process can take over", path.display()),
        }
        this
    }

    /// Told what the others hold, whenever that changes; `None` while there are none.
    pub fn held(&self) -> watch::Receiver<Option<Held>> {
        self.held.subscribe()
    }

    /// Whether another process serves that goes on after this one.
    pub fn succeeded(&self) -> bool {
        self.successor.get().is_some()
    }

    /// Whether another process runs.
    pub fn paired(&self) -> bool {
        !self.others.borrow().is_empty()
    }

    pub fn tell(&self, word: &Word) {
        let Ok(mut line) = serde_json::to_string(word) else { return };
        line.push('\n');
        self.others.borrow().values().for_each(|o| drop(o.send(line.clone())));
    }

    /// Tells the others what this process leaves, and ends the talk once that is written.
    pub async fn end(&self) {
        if !self.paired() {
            return;
        }
        self.tell(&Word::Spent(self.driver.spent()));
        self.others.borrow_mut().clear();
        // The writer that has nothing left to write ends.
        let _ = timeout(LAST_WORDS, self.left.notified()).await;
    }

    async fn meet(self: &Rc<Self>, path: &Path) -> Result<(), String> {
        let stream = UnixStream::connect(path).await.map_err(|e| e.to_string())?;
        let (from, to) = stream.into_split();
        let mut from = BufReader::new(from);
        let Word::State(state) = hear(&mut from).await.ok_or("it says nothing that can be read")? else {
            return Err("it does not say what it knows".to_owned());
        };
        let State { list, barred, draining, module } = *state;
        self.driver.backends_known(list);
        self.driver.inherit(module);
        barred.iter().for_each(|name| self.driver.bar(name, true));
        self.driver.drain(draining);
        self.talk(from, to);
        Ok(())
    }

    /// Tells each process that comes what this one knows.
    async fn wait(self: Rc<Self>, listener: UnixListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            if self.others.borrow().len() >= MOST_OTHERS {
                continue;
            }
            let (list, barred) = self.driver.listed();
            let (draining, module) = (self.driver.draining(), self.driver.legacy());
            let state = Word::State(Box::new(State { list, barred, draining, module }));
            let (from, to) = stream.into_split();
            let id = self.talk(BufReader::new(from), to);
            if let (Ok(line), Some(to)) = (serde_json::to_string(&state), self.others.borrow().get(&id)) {
                drop(to.send(line + "\n"));
            }
        }
    }

    /// Keeps up the talk with another process until either ends it.
    fn talk(
        self: &Rc<Self>,
        mut from: BufReader<OwnedReadHalf>,
        mut to: tokio::net::unix::OwnedWriteHalf,
    ) -> u64 {
        let id = self.next.replace(self.next.get() + 1);
        let (tell, mut words) = mpsc::unbounded_channel::<String>();
        self.others.borrow_mut().insert(id, tell);
        self.changed();
        let this = self.clone();
        tokio::task::spawn_local(async move {
            while let Some(line) = words.recv().await {
                if to.write_all(line.as_bytes()).await.is_err() {
                    break;
                }
            }
            this.left.notify_one();
        });
        let this = self.clone();
        tokio::task::spawn_local(async move {
            while let Some(word) = hear(&mut from).await {
                this.heed(id, word);
            }
            this.others.borrow_mut().remove(&id);
            this.successor.set(this.successor.get().filter(|s| *s != id));
            this.changed();
            eprintln!("handover: the other process is gone");
        });
        id
    }

    fn changed(&self) {
        let paired = self.paired();
        self.held.send_modify(|held| *held = paired.then(|| held.unwrap_or_default()));
        self.driver.paired(paired);
    }

    fn heed(&self, id: u64, word: Word) {
        match word {
            Word::Serving => self.successor.set(Some(id)),
            Word::Bar { name, out } => self.driver.bar(&name, out),
            Word::Drain { on } => self.driver.drain(on),
            Word::Held(held) => drop(self.held.send_replace(Some(held))),
            Word::Spent(spent) => self.driver.take_over(spent),
            // Only the first word is one of these.
            Word::State(_) => {}
        }
    }
}

/// The next word; `None` where the talk has ended, or says what is no word.
async fn hear(from: &mut BufReader<OwnedReadHalf>) -> Option<Word> {
    let mut line = Vec::new();
    from.take(MOST_BYTES).read_until(b'\n', &mut line).await.ok()?;
    serde_json::from_slice(&line).ok()
}

/// Takes the place of the process before, whose successor has come. Danger: one that looks for it at this
/// moment must find either, so the new socket moves over the old name.
fn bind(path: &Path) -> std::io::Result<UnixListener> {
    let new = path.with_extension(format!("{}", std::process::id()));
    let _ = std::fs::remove_file(&new);
    let listener = UnixListener::bind(&new)?;
    std::fs::rename(&new, path)?;
    Ok(listener)
}
