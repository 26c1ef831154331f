//! An index of a run's record by request, attempt and process, for the checks.

use crate::scenario::Scenario;
use crate::trace::{
    AttemptOutcome, BackendIndex, ClientOutcome, Entry, Event, GatewayIndex, Moment, RequestId, SentRequest,
};
use crate::trouble::TroubleKind;
use std::collections::HashMap;
use std::time::Duration;

/// The tolerance that the protocol grants on each time limit that is measured on sockets.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// The additional tolerance for delays of the soak itself on a busy machine.
pub const TOLERANCE: Duration = Duration::from_millis(40);

/// An attempt as its backend observed it.
pub struct ObservedAttempt {
    /// The request that it belongs to.
    pub id: RequestId,
    /// The backend that received it.
    pub backend: BackendIndex,
    /// The gateway that sent it.
    pub gateway: GatewayIndex,
    /// When its first byte was received.
    pub first_byte: Moment,
    /// When its last byte was received.
    pub began: Moment,
    /// The time left until the deadline as the request's header stated it; `None` without that header.
    pub stated_time_left: Option<Duration>,
    /// When and how it ended; `None` if no end was recorded.
    pub end: Option<(Moment, AttemptOutcome)>,
}

/// A run's record, indexed by request, attempt and process.
pub struct View<'a> {
    /// The whole record in order of time.
    pub entries: &'a [Entry],
    /// The scenario that was run.
    pub scenario: &'a Scenario,
    /// When the last byte of each request was written, and the request.
    pub sent: HashMap<RequestId, (Moment, &'a SentRequest)>,
    /// When and how each request ended for its client.
    pub ended: HashMap<RequestId, (Moment, &'a ClientOutcome)>,
    /// When the client of a request closed its connection early.
    pub client_left_at: HashMap<RequestId, Moment>,
    /// All attempts in the order in which they began.
    pub attempts: Vec<ObservedAttempt>,
    /// Indices into `attempts` by request.
    pub attempts_by_request: HashMap<RequestId, Vec<usize>>,
    /// When processes were killed without a SIGTERM before, or ended by themselves, with their gateway.
    kills: Vec<(GatewayIndex, Moment)>,
    /// Pauses of a gateway's processes: gateway, end and length.
    pauses: Vec<(GatewayIndex, Moment, Duration)>,
    /// Start and end of the measurement after the recovery time; `None` if the run did not complete it.
    pub measurement: Option<(Moment, Moment)>,
}

impl<'a> View<'a> {
    /// Builds the index of a record.
    pub fn new(entries: &'a [Entry], scenario: &'a Scenario) -> Self {
        let mut view = View {
            entries,
            scenario,
            sent: HashMap::new(),
            ended: HashMap::new(),
            client_left_at: HashMap::new(),
            attempts: Vec::new(),
            attempts_by_request: HashMap::new(),
            kills: Vec::new(),
            pauses: Vec::new(),
            measurement: None,
        };
        let mut attempt_indices = HashMap::new();
        let mut measurement = (None, None);
        for Entry { at, event } in entries {
            match event {
                Event::RequestSent(request) => drop(view.sent.insert(request.id, (*at, request))),
                Event::RequestEnded { id, end } => drop(view.ended.insert(*id, (*at, end))),
                Event::ClientLeft { id } => drop(view.client_left_at.insert(*id, *at)),
                Event::AttemptBegan { id, backend, gateway, first_byte, stated_time_left, attempt } => {
                    attempt_indices.insert(*attempt, view.attempts.len());
                    view.attempts_by_request.entry(*id).or_default().push(view.attempts.len());
                    view.attempts.push(ObservedAttempt {
                        id: *id,
                        backend: *backend,
                        gateway: *gateway,
                        first_byte: *first_byte,
                        began: *at,
                        stated_time_left: *stated_time_left,
                        end: None,
                    });
                }
                Event::AttemptEnded { attempt, end } => {
                    if let Some(index) = attempt_indices.get(attempt) {
                        view.attempts[*index].end = Some((*at, *end));
                    }
                }
                Event::ProcessKilled { gateway, planned: false, .. } => view.kills.push((*gateway, *at)),
                // The requests of a process that ends by itself are lost with it. Its end is reported as a break of
                // `Invariant::Process`, so the requests are treated like those of a killed process.
                Event::ProcessExited { gateway, expected: false, .. } => view.kills.push((*gateway, *at)),
                Event::ProcessPaused { gateway, duration } => view.pauses.push((*gateway, *at, *duration)),
                Event::MeasureBegan => measurement.0 = Some(*at),
                Event::MeasureEnded => measurement.1 = Some(*at),
                _ => {}
            }
        }
        view.measurement = measurement.0.zip(measurement.1);
        view
    }

    /// Whether a process of the gateway was killed without a SIGTERM before, or ended by itself, between `from` and
    /// `to`.
    pub fn was_killed(&self, gateway: GatewayIndex, from: Moment, to: Moment) -> bool {
        self.kills.iter().any(|(g, at)| *g == gateway && *at + TOLERANCE >= from && *at <= to + TOLERANCE)
    }

    /// The length of the gateway's longest pause that overlaps the time between `from` and `to`; zero if there is none.
    pub fn longest_pause(&self, gateway: GatewayIndex, from: Moment, to: Moment) -> Duration {
        let overlaps = |(g, end, duration): &&(GatewayIndex, Moment, Duration)| {
            *g == gateway && *end + TOLERANCE >= from && end.saturating_sub(*duration) <= to + TOLERANCE
        };
        self.pauses.iter().filter(overlaps).map(|(_, _, duration)| *duration).max().unwrap_or_default()
    }

    /// Whether a trouble of any of the given kinds is part of the run.
    pub fn has_any(&self, kinds: &[TroubleKind]) -> bool {
        self.scenario.troubles.iter().any(|trouble| kinds.contains(&trouble.kind))
    }

    /// Whether connections between gateways and backends break, stall or are delayed in this run.
    pub fn has_link_trouble(&self) -> bool {
        self.has_any(&[TroubleKind::LinkSilent, TroubleKind::LinkResets, TroubleKind::LinkOneWay])
            || self.has_any(&[TroubleKind::BackendRestarts, TroubleKind::BackendDrains])
            || self.has_any(&[TroubleKind::LinkDelays, TroubleKind::PathBreaks])
    }
}
