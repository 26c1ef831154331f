//! Makes the troubles happen.

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

/// Part of the calls, in a thousand, that fail for a moment.
const SOME_CALLS: u32 = 200;
/// The same where a machine has run out of something.
const MANY_CALLS: u32 = 500;
/// A backend that dies is gone for so long at the least.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}

/// Plays one trouble from its beginning to its end, both of which are recorded.
pub async fn play(world: Arc<World>, place: usize, trouble: Trouble) {
    sleep(trouble.begins).await;
    world.trace.record(Event::TroubleBegan(place));
    let ends = Instant::now() + trouble.lasts;
    let mut scene = Scene { world: &world, trouble: &trouble, ends, random: Rng::with_seed(trouble.lot) };
    if let Err(e) = scene.play().await {
        eprintln!("trouble {}: {e:#}", trouble.kind.name());
    }
    world.trace.record(Event::TroubleEnded(place));
}

struct Scene<'a> {
    world: &'a World,
    trouble: &'a Trouble,
    ends: Instant,
    random: Rng,
}

impl Scene<'_> {
    fn gateway(&self) -> &GatewayHost {
        &self.world.gateways[self.trouble.gateway]
    }

    /// The gateway that it happens to, or the next one that the platform holds the socket of.
    fn platform_gateway(&self) -> &GatewayHost {
        let count = self.world.gateways.len();
        let places = (0..count).map(|n| &self.world.gateways[(self.trouble.gateway + n) % count]);
        places.into_iter().find(|gateway| gateway.on_platform()).unwrap_or(self.gateway())
    }

    fn gateways(&self) -> Vec<usize> {
        match self.trouble.wide {
            true => (0..self.world.gateways.len()).collect(),
            false => vec![self.trouble.gateway],
        }
    }

    fn backends(&self) -> Vec<usize> {
        let count = self.world.backends.len();
        let wide = if self.trouble.wide { count / 3 } else { 1 };
        (0..wide.max(1)).map(|n| (self.trouble.backend + n) % count).collect()
    }

    fn processes(&self) -> Vec<Arc<Process>> {
        self.gateways().into_iter().flat_map(|gateway| self.world.gateways[gateway].running()).collect()
    }

    async fn until_end(&self) {
        tokio::time::sleep_until(self.ends).await;
    }

    fn some_ms(&mut self, most: u64) -> Duration {
        Duration::from_millis(self.random.u64(..=most))
    }

    async fn play(&mut self) -> anyhow::Result<()> {
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
            TroubleKind::AcceptFails => self.calls_fail(FaultPoint::Accept, SOME_CALLS).await,
            TroubleKind::SocketFails => self.calls_fail(FaultPoint::Socket, MANY_CALLS).await,
            TroubleKind::ConnectFails => self.calls_fail(FaultPoint::Connect, MANY_CALLS).await,
            TroubleKind::Interrupted => self.interrupted().await,
            TroubleKind::ShortReads => self.calls_fail(FaultPoint::ShortReceive, SOME_CALLS).await,
            TroubleKind::ShortWrites => self.calls_fail(FaultPoint::ShortSend, SOME_CALLS).await,
            TroubleKind::PathBreaks => self.calls_fail(FaultPoint::Receive, SOME_CALLS / 10).await,
            TroubleKind::LogFull => self.calls_fail(FaultPoint::LogWrite, 1000).await,
            TroubleKind::LogStalls | TroubleKind::LogCloses => self.log().await,
            TroubleKind::LinkSilent => self.links(LinkMode::Silent).await,
            TroubleKind::LinkOneWay => self.links(LinkMode::AnswersHeld).await,
            TroubleKind::LinkDelays => {
                let by = Duration::from_millis(20) + self.some_ms(300);
                self.links(LinkMode::Delayed(by)).await;
            }
            TroubleKind::LinkResets => self.link_resets().await,
            TroubleKind::DiscoverySilent => self.discovery(DiscoveryMode::Silent).await,
            TroubleKind::DiscoveryCrowded => self.discovery(DiscoveryMode::Overloaded).await,
            TroubleKind::DiscoveryWholeLists => self.discovery(DiscoveryMode::FullSnapshots).await,
            TroubleKind::DiscoverySlow => {
                let by = if self.world.scenario.settings.pushed { 60 } else { 700 };
                let by = self.some_ms(by);
                self.discovery(DiscoveryMode::Slow(by)).await;
            }
            TroubleKind::DiscoveryDown => self.discovery_down().await,
            TroubleKind::CounterAway => self.counter_away().await,
            TroubleKind::CounterSlow => {
                let by = Duration::from_millis(self.world.scenario.settings.counter_timeout_ms) / 2;
                self.counter(CounterMode::Slow(by)).await;
            }
            TroubleKind::CounterLate => {
                let by = Duration::from_millis(self.world.scenario.settings.counter_timeout_ms)
                    + self.some_ms(200);
                self.counter(CounterMode::Slow(by)).await;
            }
            TroubleKind::CounterSilent => self.counter(CounterMode::Silent).await,
            TroubleKind::BackendHangs => self.backend_mode(BackendMode::Hangs).await,
            TroubleKind::BackendResets => self.backend_mode(BackendMode::Resets).await,
            TroubleKind::BackendErrs => self.backend_mode(BackendMode::Errs).await,
            TroubleKind::BackendClosesIdle => self.backend_closes_idle().await,
            TroubleKind::BackendConnectsLate => self.backend_connects_late().await,
            TroubleKind::BackendDrains => self.backend_drains().await,
            TroubleKind::BackendRestarts => self.backend_restarts().await,
            TroubleKind::ClientsLeave => self.mood(&self.world.clients.moods.leave, 250).await,
            TroubleKind::ClientsStop => self.mood(&self.world.clients.moods.stop, 700).await,
            TroubleKind::ClientsFlood => self.mood(&self.world.clients.moods.flood, 700).await,
            TroubleKind::ClientsHurry => self.mood(&self.world.clients.moods.hurry, 300).await,
            TroubleKind::ClientsLongBodies => self.mood(&self.world.clients.moods.long, 150).await,
        }
        Ok(())
    }

    async fn kill(&mut self, prepare: impl FnOnce(&crate::shim::ShimControl)) -> anyhow::Result<()> {
        let pause = self.some_ms(400);
        let Ok(_held) = self.gateway().lifecycle.try_lock() else { return Ok(()) };
        self.gateway().running().iter().for_each(|process| process.kill());
        sleep(pause).await;
        self.gateway().come_back(self.world, prepare).await
    }

    async fn reload(&mut self) -> anyhow::Result<()> {
        for _ in 0..3 {
            for gateway in self.gateways() {
                self.world.gateways[gateway].reload(self.world).await?;
            }
            sleep(self.some_ms(120)).await;
        }
        Ok(())
    }

    async fn reload_and_terminate(&mut self) -> anyhow::Result<()> {
        let (first, pause) = (self.random.bool(), self.some_ms(30));
        let reload = async {
            if !first {
                sleep(pause).await;
            }
            self.gateway().reload(self.world).await
        };
        let restart = async {
            if first {
                sleep(pause).await;
            }
            self.gateway().restart(self.world).await
        };
        let (reloaded, restarted) = tokio::join!(reload, restart);
        reloaded.and(restarted)
    }

    async fn pause(&mut self) {
        while Instant::now() < self.ends {
            let lasted = Duration::from_millis(50) + self.some_ms(90);
            let processes = self.processes();
            processes.iter().for_each(|process| process.signal(Signal::SIGSTOP));
            sleep(lasted).await;
            processes.iter().for_each(|process| process.signal(Signal::SIGCONT));
            for gateway in self.gateways() {
                self.world.trace.record(Event::ProcessPaused { gateway, duration: lasted });
            }
            sleep(Duration::from_millis(100) + self.some_ms(200)).await;
        }
    }

    async fn upgrade(&mut self) -> anyhow::Result<()> {
        let gateway = self.platform_gateway();
        let Ok(_held) = gateway.lifecycle.try_lock() else { return Ok(()) };
        gateway.upgrade(self.world).await
    }

    async fn failed_upgrade(&mut self) -> anyhow::Result<()> {
        let (lives, pause) = (self.some_ms(1_500), self.some_ms(300));
        let gateway = self.platform_gateway();
        let Ok(_held) = gateway.lifecycle.try_lock() else { return Ok(()) };
        let new = gateway.start(self.world, |_| {})?;
        sleep(lives).await;
        new.kill();
        new.exit_within(Duration::from_secs(1)).await;
        sleep(pause).await;
        gateway.upgrade(self.world).await
    }

    async fn ban(&mut self) {
        let pause = self.some_ms(500);
        let (gateway, backend) = (self.gateway(), self.trouble.backend);
        self.tell_ban(gateway, backend, true).await;
        self.until_end().await;
        // An upgrade goes on with it; the call back goes to whoever serves then.
        let _held = gateway.lifecycle.lock().await;
        sleep(pause).await;
        self.tell_ban(gateway, backend, false).await;
    }

    async fn tell_ban(&self, gateway: &GatewayHost, backend: usize, out: bool) {
        let Some(process) = gateway.current() else { return };
        let call = if out { "disable" } else { "enable" };
        let target = format!("/backends/{call}?id={}", backend_name(backend));
        let before = Event::BackendDisabled { gateway: gateway.index, backend, disabled: out };
        if !out {
            // From the call on it may be used again.
            self.world.trace.record(before.clone());
        }
        let answer = process.call("PUT", &target).await;
        if out && answer.is_some_and(|(status, _)| status == 200) {
            self.world.trace.record(before);
        }
    }

    async fn operator_drain(&mut self) {
        let gateway = self.gateway();
        let Ok(_held) = gateway.lifecycle.try_lock() else { return };
        let Some(process) = gateway.current() else { return };
        process.call("PUT", "/drain").await;
        sleep(Duration::from_millis(200)).await;
        self.world.clients.admit(gateway.index, Admission::KeptConnections);
        self.until_end().await;
        process.call("PUT", "/undrain").await;
        if process.ready().await {
            self.world.clients.admit(gateway.index, Admission::Open);
        }
    }

    async fn wall_clock(&mut self) -> anyhow::Result<()> {
        const SECOND: i64 = 1_000_000;
        let steps = [-3600 * SECOND, -7 * SECOND, 7 * SECOND, 3600 * SECOND];
        let step = steps[self.random.usize(..steps.len())];
        self.kill(|shim| shim.step_wall_clock(step)).await
    }

    async fn start_fails(&mut self) -> anyhow::Result<()> {
        let pause = self.some_ms(300);
        let gateway = self.gateway();
        let Ok(_held) = gateway.lifecycle.try_lock() else { return Ok(()) };
        gateway.running().iter().for_each(|process| process.kill());
        sleep(pause).await;
        let fail = |shim: &crate::shim::ShimControl| {
            shim.set(FaultPoint::Socket, MANY_CALLS, libc::ENFILE);
            shim.set(FaultPoint::Bind, MANY_CALLS, libc::EADDRINUSE);
        };
        let heal = async {
            self.until_end().await;
            for process in gateway.running() {
                process.shim.set(FaultPoint::Socket, 0, 0);
                process.shim.set(FaultPoint::Bind, 0, 0);
            }
        };
        let (came, ()) = tokio::join!(gateway.come_back(self.world, fail), heal);
        came
    }

    async fn calls_fail(&mut self, point: FaultPoint, per_mille: u32) {
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
        processes.iter().for_each(|process| process.shim.set(point, per_mille, errno));
        self.until_end().await;
        processes.iter().for_each(|process| process.shim.set(point, 0, 0));
    }

    async fn interrupted(&mut self) {
        let points = [FaultPoint::Receive, FaultPoint::Send, FaultPoint::EpollWait];
        let processes = self.processes();
        for process in &processes {
            points.iter().for_each(|point| process.shim.set(*point, SOME_CALLS, libc::EINTR));
        }
        self.until_end().await;
        for process in &processes {
            points.iter().for_each(|point| process.shim.set(*point, 0, 0));
        }
    }

    async fn log(&mut self) {
        let processes = self.processes();
        let closes = self.trouble.kind == TroubleKind::LogCloses;
        for process in &processes {
            let flag = if closes { &process.log.closed } else { &process.log.stalled };
            flag.store(true, Ordering::Relaxed);
        }
        self.until_end().await;
        processes.iter().for_each(|process| process.log.stalled.store(false, Ordering::Relaxed));
    }

    async fn links(&mut self, mode: LinkMode) {
        let set = |mode| {
            for backend in self.backends() {
                let links =
                    self.gateways().into_iter().map(|gateway| self.world.backends[backend].link(gateway));
                links.for_each(|link| link.set(mode));
            }
        };
        set(mode);
        self.until_end().await;
        set(LinkMode::Open);
    }

    async fn link_resets(&mut self) {
        while Instant::now() < self.ends {
            for backend in self.backends() {
                for gateway in self.gateways() {
                    self.world.backends[backend].link(gateway).reset();
                }
            }
            sleep(Duration::from_millis(50) + self.some_ms(200)).await;
        }
    }

    async fn discovery(&mut self, mode: DiscoveryMode) {
        let gateways = self.gateways();
        gateways.iter().for_each(|gateway| self.world.discovery.set_mode(*gateway, mode));
        self.until_end().await;
        gateways.iter().for_each(|gateway| self.world.discovery.set_mode(*gateway, DiscoveryMode::Normal));
    }

    async fn discovery_down(&mut self) {
        let gateways = self.gateways();
        gateways.iter().for_each(|gateway| self.world.discovery.set_accepting(*gateway, false));
        self.until_end().await;
        gateways.iter().for_each(|gateway| self.world.discovery.set_accepting(*gateway, true));
    }

    async fn counter(&mut self, mode: CounterMode) {
        let gateways = self.gateways();
        gateways.iter().for_each(|gateway| self.world.counter.set_mode(*gateway, mode));
        self.until_end().await;
        gateways.iter().for_each(|gateway| self.world.counter.set_mode(*gateway, CounterMode::Normal));
    }

    async fn counter_away(&mut self) {
        let gateways = self.gateways();
        gateways.iter().for_each(|gateway| self.world.counter.set_accepting(*gateway, false));
        self.until_end().await;
        gateways.iter().for_each(|gateway| self.world.counter.set_accepting(*gateway, true));
    }

    async fn backend_mode(&mut self, mode: BackendMode) {
        for backend in self.backends() {
            self.world.backends[backend].set_mode(mode);
        }
        self.until_end().await;
        for backend in self.backends() {
            self.world.backends[backend].set_mode(BackendMode::Healthy);
        }
    }

    async fn backend_closes_idle(&mut self) {
        let idle = Duration::from_millis(5) + self.some_ms(150);
        for backend in self.backends() {
            self.world.backends[backend].set_idle_close(Some(idle));
        }
        self.until_end().await;
        for backend in self.backends() {
            self.world.backends[backend].set_idle_close(None);
        }
    }

    async fn backend_connects_late(&mut self) {
        for backend in self.backends() {
            self.world.backends[backend].set_backlog_full(true);
        }
        self.until_end().await;
        for backend in self.backends() {
            self.world.backends[backend].set_backlog_full(false);
        }
    }

    async fn backend_drains(&mut self) {
        let (world, backend) = (self.world, self.trouble.backend);
        let Ok(_held) = world.backend_lifecycles[backend].try_lock() else { return };
        let since = world.discovery.registry.since_ms(backend);
        world.discovery.registry.publish(backend, BackendState::Draining, since);
        if self.random.bool() {
            world.backends[backend].set_mode(BackendMode::Rejects);
        }
        self.until_end().await;
        world.discovery.registry.publish(backend, BackendState::Deleted, since);
        world.backends[backend].crash();
        sleep(RESTART_PAUSE + self.some_ms(400)).await;
        self.start_backend(backend);
    }

    async fn backend_restarts(&mut self) {
        let (world, backend) = (self.world, self.trouble.backend);
        let Ok(_held) = world.backend_lifecycles[backend].try_lock() else { return };
        let since = world.discovery.registry.since_ms(backend);
        world.backends[backend].crash();
        if self.random.bool() {
            sleep(self.some_ms(300)).await;
            world.discovery.registry.publish(backend, BackendState::Deleted, since);
        }
        self.until_end().await;
        self.start_backend(backend);
    }

    fn start_backend(&self, backend: usize) {
        self.world.backends[backend].start_cold();
        self.world.discovery.registry.publish(backend, BackendState::Serving, unix_ms());
    }

    async fn mood(&self, mood: &AtomicU32, per_mille: u32) {
        mood.store(per_mille, Ordering::Relaxed);
        self.until_end().await;
        mood.store(0, Ordering::Relaxed);
    }
}
