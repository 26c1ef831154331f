//! Gateway processes: starts, signals and watches them, calls their operators' server and reads their logs.

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

/// The time limit of a call to the operators' server.
const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval at which a new process is asked whether it is ready.
const READY_INTERVAL: Duration = Duration::from_millis(15);
/// A process that is not ready after this time is not waited for any longer.
const READY_TIMEOUT: Duration = Duration::from_secs(12);
/// The capacity of the pipe for the log: the smallest that the kernel allows, so that a reader that stalls soon blocks
/// the writer.
const LOG_PIPE_CAPACITY_BYTES: i32 = 4096;
/// The maximum number of log lines that are kept.
const MAX_LOG_LINES: usize = 200_000;

/// The programs and the folder of a run.
pub struct ProcessPaths {
    /// The gateway's program.
    pub program: PathBuf,
    /// The library to preload.
    pub shim: PathBuf,
    /// The folder of this run.
    pub folder: PathBuf,
}

/// The parameters of a new process.
pub struct Launch<'a> {
    /// The gateway that it belongs to.
    pub gateway: GatewayIndex,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The listening socket for clients, if the platform holds it.
    pub inherited_listener: Option<&'a TcpListener>,
    /// The address of its operators' server.
    pub ops: SocketAddr,
    /// The address of its discovery agent.
    pub discovery: SocketAddr,
    /// The path of its configuration file.
    pub config: &'a Path,
    /// A folder whose content is kept from one process of the gateway to the next.
    pub folder: &'a Path,
}

/// Reads the log of a process.
#[derive(Default)]
pub struct LogReader {
    /// Set while nothing is read.
    pub stalled: AtomicBool,
    /// Set to close the reading end.
    pub closed: AtomicBool,
    lines: Mutex<Vec<String>>,
}

impl LogReader {
    /// Reads lines until the process closes the log or `closed` is set. Records lines about panics and guard
    /// violations.
    fn read_lines(self: Arc<Self>, pipe: PipeReader, trace: Arc<Trace>, gateway: GatewayIndex, pid: u32) {
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

    /// The lines read so far, each with the time in seconds, the gateway and the process id.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// One process of a gateway.
pub struct Process {
    /// The gateway that it belongs to.
    pub gateway: GatewayIndex,
    /// The process id.
    pub pid: u32,
    /// The address of its operators' server.
    pub ops: SocketAddr,
    /// Controls which of its system calls fail.
    pub shim: ShimControl,
    /// The reader of its log.
    pub log: Arc<LogReader>,
    /// Set once it was told to terminate or was killed.
    exit_expected: Arc<AtomicBool>,
    /// Set once SIGTERM was sent.
    terminated: AtomicBool,
    exited: watch::Receiver<bool>,
    /// The number of open descriptors when it became ready.
    descriptors_when_ready: AtomicUsize,
    /// The resident memory in kB when it became ready.
    memory_when_ready_kb: AtomicUsize,
    trace: Arc<Trace>,
}

impl Process {
    /// Starts a process; `prepare` can make its system calls fail from the start.
    ///
    /// Fails if the control page, the pipe for the log or the process cannot be created.
    pub fn start(
        paths: &ProcessPaths,
        launch: &Launch<'_>,
        trace: Arc<Trace>,
        prepare: impl FnOnce(&ShimControl),
    ) -> anyhow::Result<Arc<Self>> {
        let control = paths.folder.join(format!("{}.shim", launch.ops.to_string().replace(':', "-")));
        let shim = ShimControl::create(&control)?;
        prepare(&shim);
        let (reader, writer) = std::io::pipe()?;
        nix::fcntl::fcntl(&writer, nix::fcntl::FcntlArg::F_SETPIPE_SZ(LOG_PIPE_CAPACITY_BYTES))?;
        let mut command = Command::new(&paths.program);
        command
            .env("NODE_CONFIG", launch.config)
            .env("NODE_NAME", format!("n{}", launch.gateway))
            .env("NODE_LISTEN", launch.listen.to_string())
            .env("NODE_DISCOVERY", launch.discovery.to_string())
            .env("NODE_OPS", launch.ops.to_string())
            .env("NODE_LOG", "debug")
            .env("TMPDIR", launch.folder)
            .env("LD_PRELOAD", &paths.shim)
            .env(CONTROL_VARIABLE, &control)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(OwnedFd::from(writer)))
            .kill_on_drop(true);
        if let Some(listener) = launch.inherited_listener {
            // The standard input is the only descriptor that can be passed on without unsafe code.
            command.stdin(Stdio::from(OwnedFd::from(listener.try_clone()?))).env("NODE_FD", "0");
        }
        let child = command.spawn().context("cannot start the gateway's program")?;
        drop(command);
        let pid = child.id().context("the gateway's process has no id")?;
        trace.record(Event::ProcessStarted { gateway: launch.gateway });
        let log = Arc::new(LogReader::default());
        let (log_reader, log_trace, gateway) = (log.clone(), trace.clone(), launch.gateway);
        std::thread::spawn(move || log_reader.read_lines(reader, log_trace, gateway, pid));
        let exit_expected = Arc::new(AtomicBool::new(false));
        let (exit, exited) = watch::channel(false);
        tokio::spawn(watch_exit(child, gateway, pid, exit_expected.clone(), exit, trace.clone()));
        Ok(Arc::new(Process {
            gateway,
            pid,
            ops: launch.ops,
            shim,
            log,
            exit_expected,
            terminated: AtomicBool::new(false),
            exited,
            descriptors_when_ready: AtomicUsize::new(0),
            memory_when_ready_kb: AtomicUsize::new(0),
            trace,
        }))
    }

    /// Sends a signal, unless the process has exited.
    pub fn signal(&self, signal: Signal) {
        if !self.has_exited() {
            let _ = kill(Pid::from_raw(self.pid as i32), signal);
        }
    }

    /// Sends SIGTERM; the exit is expected from now on.
    pub fn terminate(&self) {
        self.exit_expected.store(true, Ordering::Relaxed);
        self.terminated.store(true, Ordering::Relaxed);
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGKILL and records that, unless the process has exited.
    pub fn kill(&self) {
        self.exit_expected.store(true, Ordering::Relaxed);
        if !self.has_exited() {
            let planned = self.terminated.load(Ordering::Relaxed);
            self.trace.record(Event::ProcessKilled { gateway: self.gateway, planned });
        }
        self.signal(Signal::SIGKILL);
    }

    /// Whether the process has exited.
    pub fn has_exited(&self) -> bool {
        *self.exited.borrow()
    }

    /// Waits for the exit, for `limit` at most.
    pub async fn wait_for_exit(&self, limit: Duration) {
        let mut exited = self.exited.clone();
        let _ = timeout(limit, exited.wait_for(|exited| *exited)).await;
    }

    /// Waits until the process is ready and records the time that it took. Returns false if the process exits or is not
    /// ready in time.
    pub async fn wait_until_ready(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < READY_TIMEOUT && !self.has_exited() {
            if self.call_operator_api("GET", "/ready").await.is_some_and(|(status, _)| status == 200) {
                self.trace.record(Event::ProcessReady { pid: self.pid, after: Some(began.elapsed()) });
                self.descriptors_when_ready.store(self.open_descriptors(), Ordering::Relaxed);
                self.memory_when_ready_kb.store(self.resident_memory_kb() as usize, Ordering::Relaxed);
                return true;
            }
            sleep(READY_INTERVAL).await;
        }
        if !self.exit_expected.load(Ordering::Relaxed) {
            self.trace.record(Event::ProcessReady { pid: self.pid, after: None });
        }
        false
    }

    /// Calls the operators' server and returns the status and the body; `None` on an error and after the time limit.
    pub async fn call_operator_api(&self, method: &str, target: &str) -> Option<(u16, String)> {
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
        timeout(OPERATOR_CALL_TIMEOUT, call).await.ok().flatten()
    }

    /// The number of open descriptors; 0 if the process has exited.
    fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count)
    }

    /// The resident memory in kB; 0 if the process has exited.
    fn resident_memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
    }

    /// Records the resources that the process holds, the violations that its guard counted, and whether it is ready.
    pub async fn record_final_state(&self) {
        let gateway = self.gateway;
        let metrics = self
            .call_operator_api("GET", "/metrics")
            .await
            .and_then(|(_, text)| serde_json::from_str::<serde_json::Value>(&text).ok());
        let Some(metrics) = metrics else {
            return self.trace.record(Event::FinalMetricsMissing { gateway });
        };
        let guards = metrics.get("guard_violations").and_then(|v| v.as_object());
        let violations = guards.into_iter().flat_map(|m| m.values()).filter_map(|v| v.as_u64()).sum();
        let healthy = self.call_operator_api("GET", "/ready").await.is_some_and(|(status, _)| status == 200);
        self.trace.record(Event::FinalMetrics {
            gateway,
            violations,
            descriptors: self.open_descriptors(),
            descriptors_when_ready: self.descriptors_when_ready.load(Ordering::Relaxed),
            memory_kb: (self.resident_memory_kb(), self.memory_when_ready_kb.load(Ordering::Relaxed) as u64),
            tasks: metrics.get("tasks").and_then(|v| v.as_u64()),
            healthy,
        });
    }
}

/// Waits for the exit of a process and records it.
async fn watch_exit(
    mut child: Child,
    gateway: GatewayIndex,
    pid: u32,
    expected: Arc<AtomicBool>,
    exit: watch::Sender<bool>,
    trace: Arc<Trace>,
) {
    let exit_status = child.wait().await.map_or_else(|e| e.to_string(), |status| status.to_string());
    let expected = expected.load(Ordering::Relaxed);
    trace.record(Event::ProcessExited { gateway, pid, exit_status, expected });
    exit.send_replace(true);
}
