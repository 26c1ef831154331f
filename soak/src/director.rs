//! Applies the troubles of a run to the gateways, the stand-ins and the clients.

use crate::client::Admission;
use crate::gateway::GatewayHost;
use crate::link::LinkMode;
use crate::process::Process;
use crate::shim::FaultPoint;
use crate::stand_in::backend::BackendMode;
use crate::stand_in::counter::CounterMode;
use crate::stand_in::discovery::{backend_name, DiscoveryMode};
use crate::trace::{BackendState, Event};
use crate::trouble::{Trouble, TroubleKind};
use crate::world::World;
use fastrand::Rng;
use nix::libc;
use nix::sys::signal::Signal;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, Instant};

/// The rate of failing system calls, per thousand calls.
const SOME_PER_MILLE: u32 = 200;
/// The rate of failing system calls while the machine has run out of a resource, per thousand calls.
const MANY_PER_MILLE: u32 = 500;
/// The minimum time between the stop of a drained backend and its next start.
const MIN_RESTART_PAUSE: Duration = Duration::from_millis(200);

/// The Unix time in milliseconds.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}

/// Applies one trouble from its start to its end and records both. `index` is its place in the scenario. An error of
/// the trouble is written to the standard error.
pub async fn apply(world: Arc<World>, index: usize, trouble: Trouble) {
    sleep(trouble.start).await;
    world.trace.record(Event::TroubleBegan(index));
    let end = Instant::now() + trouble.duration;
    let mut run = TroubleRun { world: &world, trouble: &trouble, end, random: Rng::with_seed(trouble.seed) };
    if let Err(e) = run.execute().await {
        eprintln!("trouble {} failed: {e:#}", trouble.kind.name());
    }
    world.trace.record(Event::TroubleEnded(index));
}

/// A trouble while it is applied.
struct TroubleRun<'a> {
    world: &'a World,
    trouble: &'a Trouble,
    end: Instant,
    random: Rng,
}

impl TroubleRun<'_> {
    /// The gateway that the trouble was drawn for.
    fn gateway(&self) -> &GatewayHost {
        &self.world.gateways[self.trouble.gateway]
    }

    /// That gateway, or the next one whose listening socket is held by the platform.
    fn platform_gateway(&self) -> &GatewayHost {
        let count = self.world.gateways.len();
        let candidates = (0..count).map(|n| &self.world.gateways[(self.trouble.gateway + n) % count]);
        candidates.into_iter().find(|gateway| gateway.has_platform_listener()).unwrap_or(self.gateway())
    }

    /// The indices of the gateways that are affected.
    fn gateways(&self) -> Vec<usize> {
        match self.trouble.wide {
            true => (0..self.world.gateways.len()).collect(),
            false => vec![self.trouble.gateway],
        }
    }

    /// The indices of the backends that are affected.
    fn backends(&self) -> Vec<usize> {
        let count = self.world.backends.len();
        let affected = if self.trouble.wide { count / 3 } else { 1 };
        (0..affected.max(1)).map(|n| (self.trouble.backend + n) % count).collect()
    }

    /// The running processes of the affected gateways.
    fn processes(&self) -> Vec<Arc<Process>> {
        self.gateways().into_iter().flat_map(|gateway| self.world.gateways[gateway].running()).collect()
    }

    async fn wait_for_end(&self) {
        tokio::time::sleep_until(self.end).await;
    }

    /// Draws a time of 0 to `max` milliseconds.
    fn random_ms(&mut self, max: u64) -> Duration {
        Duration::from_millis(self.random.u64(..=max))
    }

    /// Applies the trouble according to its kind.
    async fn execute(&mut self) -> anyhow::Result<()> {
        match self.trouble.kind {
            TroubleKind::Terminate => self.gateway().restart(self.world).await?,
            TroubleKind::Kill => self.kill(|_| {}).await?,
            TroubleKind::Reload => self.reload().await?,
            TroubleKind::ReloadAndTerminate => self.reload_and_terminate().await?,
            TroubleKind::Pause => self.pause().await,
            TroubleKind::Upgrade => self.upgrade().await?,
            TroubleKind::FailedUpgrade => self.failed_upgrade().await?,
            TroubleKind::Ban => self.ban().await,
            TroubleKind::OperatorDrain => self.operator_drain().await,
            TroubleKind::WallClock => self.wall_clock().await?,
            TroubleKind::StartFails => self.start_fails().await?,
            TroubleKind::AcceptFails => self.fail_calls(FaultPoint::Accept, SOME_PER_MILLE).await,
            TroubleKind::SocketFails => self.fail_calls(FaultPoint::Socket, MANY_PER_MILLE).await,
            TroubleKind::ConnectFails => self.fail_calls(FaultPoint::Connect, MANY_PER_MILLE).await,
            TroubleKind::Interrupted => self.interrupt_calls().await,
            TroubleKind::ShortReads => self.fail_calls(FaultPoint::ShortReceive, SOME_PER_MILLE).await,
            TroubleKind::ShortWrites => self.fail_calls(FaultPoint::ShortSend, SOME_PER_MILLE).await,
            TroubleKind::PathBreaks => self.fail_calls(FaultPoint::Receive, SOME_PER_MILLE / 10).await,
            TroubleKind::LogFull => self.fail_calls(FaultPoint::LogWrite, 1000).await,
            TroubleKind::LogStalls | TroubleKind::LogCloses => self.disturb_log().await,
            TroubleKind::LinkSilent => self.set_links(LinkMode::Silent).await,
            TroubleKind::LinkOneWay => self.set_links(LinkMode::AnswersHeld).await,
            TroubleKind::LinkDelays => {
                let delay = Duration::from_millis(20) + self.random_ms(300);
                self.set_links(LinkMode::Delayed(delay)).await;
            }
            TroubleKind::LinkResets => self.reset_links().await,
            TroubleKind::DiscoverySilent => self.set_discovery(DiscoveryMode::Silent).await,
            TroubleKind::DiscoveryCrowded => self.set_discovery(DiscoveryMode::Overloaded).await,
            TroubleKind::DiscoveryWholeLists => self.set_discovery(DiscoveryMode::FullSnapshots).await,
            TroubleKind::DiscoverySlow => {
                let max_delay = if self.world.scenario.settings.pushed { 60 } else { 700 };
                let delay = self.random_ms(max_delay);
                self.set_discovery(DiscoveryMode::Slow(delay)).await;
            }
            TroubleKind::DiscoveryDown => self.discovery_down().await,
            TroubleKind::CounterAway => self.counter_away().await,
            TroubleKind::CounterSlow => {
                let delay = Duration::from_millis(self.world.scenario.settings.counter_timeout_ms) / 2;
                self.set_counter(CounterMode::Slow(delay)).await;
            }
            TroubleKind::CounterLate => {
                let delay = Duration::from_millis(self.world.scenario.settings.counter_timeout_ms)
                    + self.random_ms(200);
                self.set_counter(CounterMode::Slow(delay)).await;
            }
            TroubleKind::CounterSilent => self.set_counter(CounterMode::Silent).await,
            TroubleKind::BackendHangs => self.set_backends(BackendMode::Hangs).await,
            TroubleKind::BackendResets => self.set_backends(BackendMode::Resets).await,
            TroubleKind::BackendErrs => self.set_backends(BackendMode::Errs).await,
            TroubleKind::BackendClosesIdle => self.backend_closes_idle().await,
            TroubleKind::BackendConnectsLate => self.backend_connects_late().await,
            TroubleKind::BackendDrains => self.backend_drains().await,
            TroubleKind::BackendRestarts => self.backend_restarts().await,
            TroubleKind::ClientsLeave => {
                self.set_rate(&self.world.clients.behavior_rates.leave_per_mille, 250).await
            }
            TroubleKind::ClientsStop => {
                self.set_rate(&self.world.clients.behavior_rates.stop_per_mille, 700).await
            }
            TroubleKind::ClientsFlood => {
                self.set_rate(&self.world.clients.behavior_rates.flood_per_mille, 700).await
            }
            TroubleKind::ClientsHurry => {
                self.set_rate(&self.world.clients.behavior_rates.hurry_per_mille, 300).await
            }
            TroubleKind::ClientsLongBodies => {
                self.set_rate(&self.world.clients.behavior_rates.long_bodies_per_mille, 150).await
            }
        }
        Ok(())
    }

    /// Kills the processes of the gateway and starts a new one after a pause.
    async fn kill(&mut self, prepare: impl FnOnce(&crate::shim::ShimControl)) -> anyhow::Result<()> {
        let pause = self.random_ms(400);
        let Ok(_guard) = self.gateway().lifecycle.try_lock() else { return Ok(()) };
        self.gateway().running().iter().for_each(|process| process.kill());
        sleep(pause).await;
        self.gateway().start_and_admit(self.world, prepare).await
    }

    /// Reloads the configuration three times in a row.
    async fn reload(&mut self) -> anyhow::Result<()> {
        for _ in 0..3 {
            for gateway in self.gateways() {
                self.world.gateways[gateway].reload(self.world).await?;
            }
            sleep(self.random_ms(120)).await;
        }
        Ok(())
    }

    /// Sends SIGHUP and SIGTERM within 30 ms, in either order, and replaces the process.
    async fn reload_and_terminate(&mut self) -> anyhow::Result<()> {
        let (reload_first, pause) = (self.random.bool(), self.random_ms(30));
        let reload = async {
            if !reload_first {
                sleep(pause).await;
            }
            self.gateway().reload(self.world).await
        };
        let restart = async {
            if reload_first {
                sleep(pause).await;
            }
            self.gateway().restart(self.world).await
        };
        let (reloaded, restarted) = tokio::join!(reload, restart);
        reloaded.and(restarted)
    }

    /// Repeatedly stops the processes for 50 to 140 ms, with pauses of 100 to 300 ms.
    async fn pause(&mut self) {
        while Instant::now() < self.end {
            let duration = Duration::from_millis(50) + self.random_ms(90);
            let processes = self.processes();
            processes.iter().for_each(|process| process.signal(Signal::SIGSTOP));
            sleep(duration).await;
            processes.iter().for_each(|process| process.signal(Signal::SIGCONT));
            for gateway in self.gateways() {
                self.world.trace.record(Event::ProcessPaused { gateway, duration });
            }
            sleep(Duration::from_millis(100) + self.random_ms(200)).await;
        }
    }

    async fn upgrade(&mut self) -> anyhow::Result<()> {
        let gateway = self.platform_gateway();
        let Ok(_guard) = gateway.lifecycle.try_lock() else { return Ok(()) };
        gateway.upgrade(self.world).await
    }

    /// Kills a new process while it takes over, and then upgrades with another one.
    async fn failed_upgrade(&mut self) -> anyhow::Result<()> {
        let (lifetime, pause) = (self.random_ms(1_500), self.random_ms(300));
        let gateway = self.platform_gateway();
        let Ok(_guard) = gateway.lifecycle.try_lock() else { return Ok(()) };
        let new = gateway.start(self.world, |_| {})?;
        sleep(lifetime).await;
        new.kill();
        new.wait_for_exit(Duration::from_secs(1)).await;
        sleep(pause).await;
        gateway.upgrade(self.world).await
    }

    /// Has an operator disable a backend at the gateway and enable it again at the end.
    async fn ban(&mut self) {
        let pause = self.random_ms(500);
        let (gateway, backend) = (self.gateway(), self.trouble.backend);
        self.set_backend_disabled(gateway, backend, true).await;
        self.wait_for_end().await;
        // A process hands the disabled backends over to its successor in an upgrade, so the backend is enabled at the
        // process that serves once the upgrade is over.
        let _guard = gateway.lifecycle.lock().await;
        sleep(pause).await;
        self.set_backend_disabled(gateway, backend, false).await;
    }

    /// Calls the gateway's operators' server to disable or enable a backend, and records that.
    async fn set_backend_disabled(&self, gateway: &GatewayHost, backend: usize, disable: bool) {
        let Some(process) = gateway.current() else { return };
        let call = if disable { "disable" } else { "enable" };
        let target = format!("/backends/{call}?id={}", backend_name(backend));
        let event = Event::BackendDisabled { gateway: gateway.index, backend, disabled: disable };
        if !disable {
            // The backend may be used again as soon as the call is sent.
            self.world.trace.record(event.clone());
        }
        let answer = process.call_operator_api("PUT", &target).await;
        if disable && answer.is_some_and(|(status, _)| status == 200) {
            self.world.trace.record(event);
        }
    }

    /// Has an operator drain the gateway, and end the drain at the end of the trouble.
    async fn operator_drain(&mut self) {
        let gateway = self.gateway();
        let Ok(_guard) = gateway.lifecycle.try_lock() else { return };
        let Some(process) = gateway.current() else { return };
        process.call_operator_api("PUT", "/drain").await;
        sleep(Duration::from_millis(200)).await;
        self.world.clients.admit(gateway.index, Admission::ExistingConnections);
        self.wait_for_end().await;
        process.call_operator_api("PUT", "/undrain").await;
        if process.wait_until_ready().await {
            self.world.clients.admit(gateway.index, Admission::Open);
        }
    }

    /// Kills the gateway and starts it with a wall clock that is wrong.
    async fn wall_clock(&mut self) -> anyhow::Result<()> {
        const SECOND_US: i64 = 1_000_000;
        let offsets_us = [-3600 * SECOND_US, -7 * SECOND_US, 7 * SECOND_US, 3600 * SECOND_US];
        let offset_us = offsets_us[self.random.usize(..offsets_us.len())];
        self.kill(|shim| shim.set_wall_clock_offset(offset_us)).await
    }

    /// Kills the gateway and starts it while `socket` and `bind` fail, until the end of the trouble.
    async fn start_fails(&mut self) -> anyhow::Result<()> {
        let pause = self.random_ms(300);
        let gateway = self.gateway();
        let Ok(_guard) = gateway.lifecycle.try_lock() else { return Ok(()) };
        gateway.running().iter().for_each(|process| process.kill());
        sleep(pause).await;
        let fail = |shim: &crate::shim::ShimControl| {
            shim.set_fault(FaultPoint::Socket, MANY_PER_MILLE, libc::ENFILE);
            shim.set_fault(FaultPoint::Bind, MANY_PER_MILLE, libc::EADDRINUSE);
        };
        let restore = async {
            self.wait_for_end().await;
            for process in gateway.running() {
                process.shim.set_fault(FaultPoint::Socket, 0, 0);
                process.shim.set_fault(FaultPoint::Bind, 0, 0);
            }
        };
        let (started, ()) = tokio::join!(gateway.start_and_admit(self.world, fail), restore);
        started
    }

    /// Makes `per_mille` in a thousand calls fail with one error that is drawn from those that fit the call.
    async fn fail_calls(&mut self, point: FaultPoint, per_mille: u32) {
        let errors: &[i32] = match point {
            FaultPoint::Accept => &[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EMFILE],
            FaultPoint::Socket => &[libc::ENFILE, libc::ENOBUFS],
            FaultPoint::Connect => &[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS],
            FaultPoint::Receive => &[libc::ETIMEDOUT, libc::EHOSTUNREACH],
            FaultPoint::LogWrite => &[libc::ENOSPC, libc::EIO],
            _ => &[0],
        };
        let errno = errors[self.random.usize(..errors.len())];
        let processes = self.processes();
        processes.iter().for_each(|process| process.shim.set_fault(point, per_mille, errno));
        self.wait_for_end().await;
        processes.iter().for_each(|process| process.shim.set_fault(point, 0, 0));
    }

    /// Makes receiving, sending and waiting calls fail with EINTR.
    async fn interrupt_calls(&mut self) {
        let points = [FaultPoint::Receive, FaultPoint::Send, FaultPoint::EpollWait];
        let processes = self.processes();
        for process in &processes {
            points.iter().for_each(|point| process.shim.set_fault(*point, SOME_PER_MILLE, libc::EINTR));
        }
        self.wait_for_end().await;
        for process in &processes {
            points.iter().for_each(|point| process.shim.set_fault(*point, 0, 0));
        }
    }

    /// Stops reading the log, or closes the reading end, which stays closed.
    async fn disturb_log(&mut self) {
        let processes = self.processes();
        let closes = self.trouble.kind == TroubleKind::LogCloses;
        for process in &processes {
            let flag = if closes { &process.log.closed } else { &process.log.stalled };
            flag.store(true, Ordering::Relaxed);
        }
        self.wait_for_end().await;
        processes.iter().for_each(|process| process.log.stalled.store(false, Ordering::Relaxed));
    }

    /// Sets the mode of the affected links, and opens them at the end.
    async fn set_links(&mut self, mode: LinkMode) {
        let set = |mode| {
            for backend in self.backends() {
                let links =
                    self.gateways().into_iter().map(|gateway| self.world.backends[backend].link(gateway));
                links.for_each(|link| link.set(mode));
            }
        };
        set(mode);
        self.wait_for_end().await;
        set(LinkMode::Open);
    }

    /// Repeatedly resets the connections over the affected links.
    async fn reset_links(&mut self) {
        while Instant::now() < self.end {
            for backend in self.backends() {
                for gateway in self.gateways() {
                    self.world.backends[backend].link(gateway).reset();
                }
            }
            sleep(Duration::from_millis(50) + self.random_ms(200)).await;
        }
    }

    /// Sets how discovery answers, until the end of the trouble.
    async fn set_discovery(&mut self, mode: DiscoveryMode) {
        let gateways = self.gateways();
        gateways.iter().for_each(|gateway| self.world.discovery.set_mode(*gateway, mode));
        self.wait_for_end().await;
        gateways.iter().for_each(|gateway| self.world.discovery.set_mode(*gateway, DiscoveryMode::Normal));
    }

    async fn discovery_down(&mut self) {
        let gateways = self.gateways();
        gateways.iter().for_each(|gateway| self.world.discovery.set_accepting(*gateway, false));
        self.wait_for_end().await;
        gateways.iter().for_each(|gateway| self.world.discovery.set_accepting(*gateway, true));
    }

    /// Sets how the counter answers, until the end of the trouble.
    async fn set_counter(&mut self, mode: CounterMode) {
        let gateways = self.gateways();
        gateways.iter().for_each(|gateway| self.world.counter.set_mode(*gateway, mode));
        self.wait_for_end().await;
        gateways.iter().for_each(|gateway| self.world.counter.set_mode(*gateway, CounterMode::Normal));
    }

    async fn counter_away(&mut self) {
        let gateways = self.gateways();
        gateways.iter().for_each(|gateway| self.world.counter.set_accepting(*gateway, false));
        self.wait_for_end().await;
        gateways.iter().for_each(|gateway| self.world.counter.set_accepting(*gateway, true));
    }

    /// Sets how the affected backends work, until the end of the trouble.
    async fn set_backends(&mut self, mode: BackendMode) {
        for backend in self.backends() {
            self.world.backends[backend].set_mode(mode);
        }
        self.wait_for_end().await;
        for backend in self.backends() {
            self.world.backends[backend].set_mode(BackendMode::Healthy);
        }
    }

    async fn backend_closes_idle(&mut self) {
        let idle_timeout = Duration::from_millis(5) + self.random_ms(150);
        for backend in self.backends() {
            self.world.backends[backend].set_idle_close(Some(idle_timeout));
        }
        self.wait_for_end().await;
        for backend in self.backends() {
            self.world.backends[backend].set_idle_close(None);
        }
    }

    /// Fills the accept queues of the affected backends, so that connections are established late or not at all.
    async fn backend_connects_late(&mut self) {
        for backend in self.backends() {
            self.world.backends[backend].set_backlog_full(true);
        }
        self.wait_for_end().await;
        for backend in self.backends() {
            self.world.backends[backend].set_backlog_full(false);
        }
    }

    /// Drains a backend, removes it at the end, and starts it again after a pause.
    async fn backend_drains(&mut self) {
        let (world, backend) = (self.world, self.trouble.backend);
        let Ok(_guard) = world.backend_lifecycles[backend].try_lock() else { return };
        let since = world.discovery.registry.since_ms(backend);
        world.discovery.registry.publish(backend, BackendState::Draining, since);
        if self.random.bool() {
            world.backends[backend].set_mode(BackendMode::Rejects);
        }
        self.wait_for_end().await;
        world.discovery.registry.publish(backend, BackendState::Deleted, since);
        world.backends[backend].crash();
        sleep(MIN_RESTART_PAUSE + self.random_ms(400)).await;
        self.start_backend(backend);
    }

    /// Stops a backend and starts it again at the end. Discovery learns of the stop in half of the cases.
    async fn backend_restarts(&mut self) {
        let (world, backend) = (self.world, self.trouble.backend);
        let Ok(_guard) = world.backend_lifecycles[backend].try_lock() else { return };
        let since = world.discovery.registry.since_ms(backend);
        world.backends[backend].crash();
        if self.random.bool() {
            sleep(self.random_ms(300)).await;
            world.discovery.registry.publish(backend, BackendState::Deleted, since);
        }
        self.wait_for_end().await;
        self.start_backend(backend);
    }

    fn start_backend(&self, backend: usize) {
        self.world.backends[backend].start_cold();
        self.world.discovery.registry.publish(backend, BackendState::Serving, unix_ms());
    }

    /// Sets how often clients behave in one way, until the end of the trouble.
    async fn set_rate(&self, rate: &AtomicU32, per_mille: u32) {
        rate.store(per_mille, Ordering::Relaxed);
        self.wait_for_end().await;
        rate.store(0, Ordering::Relaxed);
    }
}
