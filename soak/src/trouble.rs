//! The troubles that a run can have.

use serde::Serialize;
use std::time::Duration;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// SIGTERM to a gateway, and a new process behind it.
    Terminate,
    /// SIGKILL to a gateway, and a new process behind it.
    Kill,
    /// Three SIGHUPs in a row; discovery and the counter move each time.
    Reload,
    /// SIGHUP and SIGTERM within 30 ms, in either order.
    ReloadAndTerminate,
    /// SIGSTOP for up to 0.15 s, several times.
    Pause,
    /// A new process takes over the listener.
    Upgrade,
    /// A new process is killed while it takes over; then another one does.
    FailedUpgrade,
    /// An operator takes a backend out at a gateway, and back in at the end.
    Ban,
    /// An operator drains a gateway for a while.
    OperatorDrain,
    /// A gateway is killed and starts under a wall clock that is off.
    WallClock,
    /// `accept` fails for a moment.
    AcceptFails,
    /// `socket` fails for a moment.
    SocketFails,
    /// A process starts while `socket` and `bind` fail.
    StartFails,
    /// `connect` fails for reasons of this machine.
    ConnectFails,
    /// Calls return EINTR.
    Interrupted,
    /// Reads come short.
    ShortReads,
    /// Writes come short.
    ShortWrites,
    /// Reads fail as on a path that broke.
    PathBreaks,
    /// Nobody reads the log.
    LogStalls,
    /// The reader of the log has gone.
    LogCloses,
    /// The log's disk is full.
    LogFull,
    /// A gateway's links to some backends fall silent.
    LinkSilent,
    /// A gateway's connections to some backends are reset.
    LinkResets,
    /// Answers of some backends come late.
    LinkDelays,
    /// Requests get to some backends, and nothing comes back.
    LinkOneWay,
    /// Discovery answers nothing.
    DiscoverySilent,
    /// Discovery refuses connections.
    DiscoveryDown,
    /// Discovery answers late.
    DiscoverySlow,
    /// Discovery turns most calls away.
    DiscoveryCrowded,
    /// Discovery tells whole lists, without the backends that drain.
    DiscoveryWholeLists,
    /// The counter refuses connections.
    CounterAway,
    /// The counter takes most of a call's time.
    CounterSlow,
    /// The counter answers after a call's time.
    CounterLate,
    /// The counter answers nothing.
    CounterSilent,
    /// A backend takes requests and answers none.
    BackendHangs,
    /// A backend closes idle connections after some milliseconds.
    BackendClosesIdle,
    /// A backend resets connections under requests.
    BackendResets,
    /// A backend answers errors.
    BackendErrs,
    /// A backend drains, and goes.
    BackendDrains,
    /// A backend dies, and comes back cold.
    BackendRestarts,
    /// Connections to a backend do not come up, or come up late.
    BackendConnectsLate,
    /// Clients close their connections while they wait.
    ClientsLeave,
    /// Clients stop in the middle of a request and stay.
    ClientsStop,
    /// Clients send much at once and go.
    ClientsFlood,
    /// Clients have very little time.
    ClientsHurry,
    /// Clients send and ask for long bodies.
    ClientsLongBodies,
}

impl TroubleKind {
    /// All kinds.
    pub const ALL: [Self; 46] = [
        Self::Terminate,
        Self::Kill,
        Self::Reload,
        Self::ReloadAndTerminate,
        Self::Pause,
        Self::Upgrade,
        Self::FailedUpgrade,
        Self::Ban,
        Self::OperatorDrain,
        Self::WallClock,
        Self::AcceptFails,
        Self::SocketFails,
        Self::StartFails,
        Self::ConnectFails,
        Self::Interrupted,
        Self::ShortReads,
        Self::ShortWrites,
        Self::PathBreaks,
        Self::LogStalls,
        Self::LogCloses,
        Self::LogFull,
        Self::LinkSilent,
        Self::LinkResets,
        Self::LinkDelays,
        Self::LinkOneWay,
        Self::DiscoverySilent,
        Self::DiscoveryDown,
        Self::DiscoverySlow,
        Self::DiscoveryCrowded,
        Self::DiscoveryWholeLists,
        Self::CounterAway,
        Self::CounterSlow,
        Self::CounterLate,
        Self::CounterSilent,
        Self::BackendHangs,
        Self::BackendClosesIdle,
        Self::BackendResets,
        Self::BackendErrs,
        Self::BackendDrains,
        Self::BackendRestarts,
        Self::BackendConnectsLate,
        Self::ClientsLeave,
        Self::ClientsStop,
        Self::ClientsFlood,
        Self::ClientsHurry,
        Self::ClientsLongBodies,
    ];

    /// Troubles whose faults are filed and not mended: they are drawn only where that is asked for.
    pub fn filed(self) -> bool {
        self == Self::WallClock
    }

    /// Its name in reports.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// The kind of that name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// One trouble of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Trouble {
    /// What happens.
    pub kind: TroubleKind,
    /// The gateway that it happens to, where it happens to one.
    pub gateway: usize,
    /// The backend, likewise.
    pub backend: usize,
    /// It happens to all gateways, or to half of the backends.
    pub wide: bool,
    /// When it begins, from the start of the traffic.
    pub begins: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// A number that it draws its particulars from.
    pub lot: u64,
}

impl Trouble {
    /// When it is over.
    pub fn ends(&self) -> Duration {
        self.begins + self.lasts
    }

    /// Whether two troubles are there at the same time, or their edges are close.
    pub fn overlaps(&self, other: &Trouble, slack: Duration) -> bool {
        self.begins < other.ends() + slack && other.begins < self.ends() + slack
    }
}
