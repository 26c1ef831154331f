//! Gateway processes: started, told, killed, watched, their logs read.

use crate::shim::{ShimControl, CONTROL_VARIABLE};
use crate::trace::{Event, GatewayIndex, Trace};
use anyhow::Context;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, PipeReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// An operator's call is answered by then.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a new process is asked whether it is ready.
const READY_INTERVAL: Duration = Duration::from_millis(15);
/// A process that is not ready by then never will be.
const READY_TIMEOUT: Duration = Duration::from_secs(12);
/// The pipe that the log goes through is as short as the kernel makes one.
const LOG_PIPE_BYTES: i32 = 4096;
/// Lines of the log that are kept.
const MAX_LOG_LINES: usize = 200_000;

/// Where programs and files are.
pub struct Places {
    /// The gateway's program.
    pub program: PathBuf,
    /// The library that is preloaded.
    pub shim: PathBuf,
    /// A folder for this run.
    pub folder: PathBuf,
}

/// What a process is started with.
pub struct Launch<'a> {
    /// Its gateway.
    pub gateway: GatewayIndex,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The clients' socket, where the platform holds it.
    pub inherited: Option<&'a TcpListener>,
    /// Where operators call.
    pub ops: SocketAddr,
    /// Its agent of discovery.
    pub discovery: SocketAddr,
    /// Its configuration.
    pub config: &'a Path,
    /// The folder that outlives it.
    pub folder: &'a Path,
}

/// The reader of a process's log.
#[derive(Default)]
pub struct LogReader {
    /// It reads nothing.
    pub stalled: AtomicBool,
    /// It closes its end.
    pub closed: AtomicBool,
    lines: Mutex<Vec<String>>,
}

impl LogReader {
    fn read(self: Arc<Self>, pipe: PipeReader, trace: Arc<Trace>, gateway: GatewayIndex, pid: u32) {
        let mut pipe = BufReader::with_capacity(512, pipe);
        let mut line = String::new();
        loop {
            while self.stalled.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(10));
            }
            line.clear();
            match pipe.read_line(&mut line) {
                Ok(n) if n > 0 => {}
                _ => return,
            }
            if self.closed.load(Ordering::Relaxed) {
                return;
            }
            let text = format!("{:.3} g{gateway} {pid} {}", trace.now().as_secs_f64(), line.trim_end());
            if line.contains("panicked at") || line.contains("guard:") {
                trace.record(Event::LogAlarm { line: text.clone() });
            }
            let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
            if lines.len() < MAX_LOG_LINES {
                lines.push(text);
            }
        }
    }

    /// What has been read.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A process of a gateway.
pub struct Process {
    /// Its gateway.
    pub gateway: GatewayIndex,
    /// Its number.
    pub pid: u32,
    /// Where operators call.
    pub ops: SocketAddr,
    /// Which of its calls fail.
    pub shim: ShimControl,
    /// Its log.
    pub log: Arc<LogReader>,
    /// It has been told to end, or was killed.
    expected: Arc<AtomicBool>,
    terminated: AtomicBool,
    exited: watch::Receiver<bool>,
    descriptors_ready: AtomicUsize,
    memory_ready_kb: AtomicUsize,
    trace: Arc<Trace>,
}

impl Process {
    /// Starts one. `prepare` may make its calls fail from the beginning.
    pub fn start(
        places: &Places,
        launch: &Launch<'_>,
        trace: Arc<Trace>,
        prepare: impl FnOnce(&ShimControl),
    ) -> anyhow::Result<Arc<Self>> {
        let control = places.folder.join(format!("{}.shim", launch.ops.to_string().replace(':', "-")));
        let shim = ShimControl::create(&control)?;
        prepare(&shim);
        let (reader, writer) = std::io::pipe()?;
        nix::fcntl::fcntl(&writer, nix::fcntl::FcntlArg::F_SETPIPE_SZ(LOG_PIPE_BYTES))?;
        let mut command = Command::new(&places.program);
        command
            .env("NODE_CONFIG", launch.config)
            .env("NODE_NAME", format!("n{}", launch.gateway))
            .env("NODE_LISTEN", launch.listen.to_string())
            .env("NODE_DISCOVERY", launch.discovery.to_string())
            .env("NODE_OPS", launch.ops.to_string())
            .env("NODE_LOG", "debug")
            .env("TMPDIR", launch.folder)
            .env("LD_PRELOAD", &places.shim)
            .env(CONTROL_VARIABLE, &control)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(OwnedFd::from(writer)))
            .kill_on_drop(true);
        if let Some(listener) = launch.inherited {
            // Without unsafe code, the one descriptor that can be handed down is the standard input.
            command.stdin(Stdio::from(OwnedFd::from(listener.try_clone()?))).env("NODE_FD", "0");
        }
        let child = command.spawn().context("the gateway's program does not start")?;
        drop(command);
        let pid = child.id().context("no process")?;
        trace.record(Event::ProcessStarted { gateway: launch.gateway });
        let log = Arc::new(LogReader::default());
        let (reads, seen, gateway) = (log.clone(), trace.clone(), launch.gateway);
        std::thread::spawn(move || reads.read(reader, seen, gateway, pid));
        let expected = Arc::new(AtomicBool::new(false));
        let (exit, exited) = watch::channel(false);
        tokio::spawn(watch_exit(child, gateway, pid, expected.clone(), exit, trace.clone()));
        Ok(Arc::new(Process {
            gateway,
            pid,
            ops: launch.ops,
            shim,
            log,
            expected,
            terminated: AtomicBool::new(false),
            exited,
            descriptors_ready: AtomicUsize::new(0),
            memory_ready_kb: AtomicUsize::new(0),
            trace,
        }))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if !self.has_exited() {
            let _ = kill(Pid::from_raw(self.pid as i32), signal);
        }
    }

    /// Tells it to end.
    pub fn terminate(&self) {
        self.expected.store(true, Ordering::Relaxed);
        self.terminated.store(true, Ordering::Relaxed);
        self.signal(Signal::SIGTERM);
    }

    /// Kills it.
    pub fn kill(&self) {
        self.expected.store(true, Ordering::Relaxed);
        if !self.has_exited() {
            let planned = self.terminated.load(Ordering::Relaxed);
            self.trace.record(Event::ProcessKilled { gateway: self.gateway, planned });
        }
        self.signal(Signal::SIGKILL);
    }

    /// Whether it has ended.
    pub fn has_exited(&self) -> bool {
        *self.exited.borrow()
    }

    /// Waits for its end, up to a time.
    pub async fn exit_within(&self, limit: Duration) {
        let mut exited = self.exited.clone();
        let _ = timeout(limit, exited.wait_for(|exited| *exited)).await;
    }

    /// Waits until it says that it is ready.
    pub async fn ready(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < READY_TIMEOUT && !self.has_exited() {
            if self.call("GET", "/ready").await.is_some_and(|(status, _)| status == 200) {
                self.trace.record(Event::ProcessReady { pid: self.pid, after: Some(began.elapsed()) });
                self.descriptors_ready.store(self.descriptors(), Ordering::Relaxed);
                self.memory_ready_kb.store(self.memory_kb() as usize, Ordering::Relaxed);
                return true;
            }
            sleep(READY_INTERVAL).await;
        }
        if !self.expected.load(Ordering::Relaxed) {
            self.trace.record(Event::ProcessReady { pid: self.pid, after: None });
        }
        false
    }

    /// One call of an operator: the status and what came with it.
    pub async fn call(&self, method: &str, target: &str) -> Option<(u16, String)> {
        let request = format!("{method} {target} HTTP/1.1\r\nhost: ops\r\ncontent-length: 0\r\n\r\n");
        let call = async {
            let mut stream = TcpStream::connect(self.ops).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await.ok()?;
            let status = text.split(' ').nth(1)?.parse().ok()?;
            let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default();
            Some((status, body))
        };
        timeout(CALL_TIMEOUT, call).await.ok().flatten()
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count)
    }

    fn memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
    }

    /// Records what it holds and says of itself.
    pub async fn record_figures(&self) {
        let gateway = self.gateway;
        let figures = self
            .call("GET", "/metrics")
            .await
            .and_then(|(_, text)| serde_json::from_str::<serde_json::Value>(&text).ok());
        let Some(figures) = figures else {
            return self.trace.record(Event::FinalMetricsMissing { gateway });
        };
        let guards = figures.get("guard_violations").and_then(|v| v.as_object());
        let violations = guards.into_iter().flat_map(|m| m.values()).filter_map(|v| v.as_u64()).sum();
        let healthy = self.call("GET", "/ready").await.is_some_and(|(status, _)| status == 200);
        self.trace.record(Event::FinalMetrics {
            gateway,
            violations,
            descriptors: self.descriptors(),
            descriptors_when_ready: self.descriptors_ready.load(Ordering::Relaxed),
            memory_kb: (self.memory_kb(), self.memory_ready_kb.load(Ordering::Relaxed) as u64),
            tasks: figures.get("tasks").and_then(|v| v.as_u64()),
            healthy,
        });
    }
}

async fn watch_exit(
    mut child: Child,
    gateway: GatewayIndex,
    pid: u32,
    expected: Arc<AtomicBool>,
    exit: watch::Sender<bool>,
    trace: Arc<Trace>,
) {
    let how = child.wait().await.map_or_else(|e| e.to_string(), |status| status.to_string());
    let expected = expected.load(Ordering::Relaxed);
    trace.record(Event::ProcessExited { gateway, pid, exit_status: how, expected });
    exit.send_replace(true);
}
