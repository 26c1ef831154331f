//! The kinds of trouble, which are the faults that a run can inject.

use serde::Serialize;
use std::time::Duration;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// A gateway gets SIGTERM and is replaced by a new process.
    Terminate,
    /// A gateway gets SIGKILL and is replaced by a new process.
    Kill,
    /// A gateway gets SIGHUP three times in a row; discovery and the counter change their addresses each time.
    Reload,
    /// A gateway gets SIGHUP and SIGTERM within 30 ms, in either order.
    ReloadAndTerminate,
    /// A gateway is stopped with SIGSTOP for up to 0.15 s, several times.
    Pause,
    /// A new process takes over a gateway's listening socket.
    Upgrade,
    /// A new process is killed while it takes over; afterwards another one takes over.
    FailedUpgrade,
    /// An operator disables a backend at a gateway and enables it again at the end.
    Ban,
    /// An operator drains a gateway for a while.
    OperatorDrain,
    /// A gateway is killed and starts with a wall clock that is wrong.
    WallClock,
    /// `accept` fails for a moment.
    AcceptFails,
    /// `socket` fails for a moment.
    SocketFails,
    /// A process starts while `socket` and `bind` fail.
    StartFails,
    /// `connect` fails with errors of the local machine.
    ConnectFails,
    /// System calls are interrupted (EINTR).
    Interrupted,
    /// Reads from sockets return fewer bytes than have arrived.
    ShortReads,
    /// Writes to sockets take fewer bytes than given.
    ShortWrites,
    /// Reads from sockets fail as if the network path were broken.
    PathBreaks,
    /// The log is not read.
    LogStalls,
    /// The reader of the log closes the pipe.
    LogCloses,
    /// The log's disk is full.
    LogFull,
    /// A gateway's links to some backends pass nothing, without an error.
    LinkSilent,
    /// A gateway's connections to some backends are reset.
    LinkResets,
    /// Answers of some backends are delayed.
    LinkDelays,
    /// Requests reach some backends, but no answer comes back.
    LinkOneWay,
    /// Discovery does not answer.
    DiscoverySilent,
    /// Discovery refuses connections.
    DiscoveryDown,
    /// Discovery answers late.
    DiscoverySlow,
    /// Discovery rejects most calls.
    DiscoveryCrowded,
    /// Discovery sends full snapshots, which leave out the backends that drain.
    DiscoveryWholeLists,
    /// The counter refuses connections.
    CounterAway,
    /// The counter takes half of the time limit of a call to answer.
    CounterSlow,
    /// The counter answers after the time limit of a call.
    CounterLate,
    /// The counter does not answer.
    CounterSilent,
    /// A backend accepts requests and does not answer.
    BackendHangs,
    /// A backend closes connections that were idle for some milliseconds.
    BackendClosesIdle,
    /// A backend resets connections with requests in progress.
    BackendResets,
    /// A backend answers with errors.
    BackendErrs,
    /// A backend drains and stops.
    BackendDrains,
    /// A backend stops without a drain and starts again, cold.
    BackendRestarts,
    /// Connections to a backend are established late or not at all.
    BackendConnectsLate,
    /// Clients close their connections while they wait for an answer.
    ClientsLeave,
    /// Clients stop in the middle of a request and keep the connection open.
    ClientsStop,
    /// Clients send many requests at once and close the connection.
    ClientsFlood,
    /// Clients state very short time limits.
    ClientsHurry,
    /// Clients send long bodies or ask for long answers.
    ClientsLongBodies,
}

impl TroubleKind {
    /// All kinds. The order determines what a seed draws.
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

    /// Whether the kind exposes a fault that is filed and not yet fixed. Such kinds are drawn only on request.
    pub fn is_filed(self) -> bool {
        self == Self::WallClock
    }

    /// Returns the name of the kind in reports and options.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// Returns the kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// One trouble (injected fault) of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Trouble {
    /// The kind of trouble.
    pub kind: TroubleKind,
    /// The index of the affected gateway, for kinds that affect one.
    pub gateway: usize,
    /// The index of the affected backend, for kinds that affect one.
    pub backend: usize,
    /// It affects all gateways, or a third of the backends, for kinds that can affect several.
    pub wide: bool,
    /// The time from the start of the traffic to the start of the trouble.
    #[serde(rename = "begins")]
    pub start: Duration,
    /// How long the trouble lasts.
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// The seed that the details of the trouble are drawn from.
    #[serde(rename = "lot")]
    pub seed: u64,
}

impl Trouble {
    /// Returns the end of the trouble, from the start of the traffic.
    pub fn end(&self) -> Duration {
        self.start + self.duration
    }

    /// Whether two troubles overlap, or the gap between them is shorter than `slack`.
    pub fn overlaps(&self, other: &Trouble, slack: Duration) -> bool {
        self.start < other.end() + slack && other.start < self.end() + slack
    }
}
