//! The record of a run, put in order for the checks.

use crate::scenario::Scenario;
use crate::trace::{
    AttemptOutcome, BackendIndex, ClientOutcome, Entry, Event, GatewayIndex, Moment, RequestId, SentRequest,
};
use crate::trouble::TroubleKind;
use std::collections::HashMap;
use std::time::Duration;

/// What the protocol adds to each time limit on sockets.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// What a busy machine may add to what the soak sees.
pub const TOLERANCE: Duration = Duration::from_millis(40);

/// An attempt as its backend saw it.
pub struct AttemptSeen {
    /// The request.
    pub id: RequestId,
    /// Where.
    pub backend: BackendIndex,
    /// From where.
    pub gateway: GatewayIndex,
    /// When its first byte came.
    pub first_byte: Moment,
    /// When its last byte came.
    pub began: Moment,
    /// The time that it was told to have.
    pub told: Option<Duration>,
    /// When and how it ended.
    pub end: Option<(Moment, AttemptOutcome)>,
}

/// The record by request, by attempt and by process.
pub struct View<'a> {
    /// All of it.
    pub entries: &'a [Entry],
    /// What was drawn.
    pub scenario: &'a Scenario,
    /// Requests and when their last byte was written.
    pub sent: HashMap<RequestId, (Moment, &'a SentRequest)>,
    /// How they ended.
    pub ended: HashMap<RequestId, (Moment, &'a ClientOutcome)>,
    /// When their clients left.
    pub left: HashMap<RequestId, Moment>,
    /// Attempts in the order in which they began.
    pub attempts: Vec<AttemptSeen>,
    /// The same by request.
    pub by_request: HashMap<RequestId, Vec<usize>>,
    /// Processes killed without being told to end: by gateway.
    kills: Vec<(GatewayIndex, Moment)>,
    /// Ends of moments in which a gateway was stopped, and their lengths.
    pauses: Vec<(GatewayIndex, Moment, Duration)>,
    /// The time in which all is to be well again.
    pub measure: Option<(Moment, Moment)>,
}

impl<'a> View<'a> {
    /// Puts a record in order.
    pub fn of(entries: &'a [Entry], scenario: &'a Scenario) -> Self {
        let mut view = View {
            entries,
            scenario,
            sent: HashMap::new(),
            ended: HashMap::new(),
            left: HashMap::new(),
            attempts: Vec::new(),
            by_request: HashMap::new(),
            kills: Vec::new(),
            pauses: Vec::new(),
            measure: None,
        };
        let mut numbers = HashMap::new();
        let mut measure = (None, None);
        for Entry { at, event } in entries {
            match event {
                Event::RequestSent(request) => drop(view.sent.insert(request.id, (*at, request))),
                Event::RequestEnded { id, end } => drop(view.ended.insert(*id, (*at, end))),
                Event::ClientLeft { id } => drop(view.left.insert(*id, *at)),
                Event::AttemptBegan { id, backend, gateway, first_byte, stated_time_left: told, attempt } => {
                    numbers.insert(*attempt, view.attempts.len());
                    view.by_request.entry(*id).or_default().push(view.attempts.len());
                    view.attempts.push(AttemptSeen {
                        id: *id,
                        backend: *backend,
                        gateway: *gateway,
                        first_byte: *first_byte,
                        began: *at,
                        told: *told,
                        end: None,
                    });
                }
                Event::AttemptEnded { attempt, end } => {
                    if let Some(place) = numbers.get(attempt) {
                        view.attempts[*place].end = Some((*at, *end));
                    }
                }
                Event::ProcessKilled { gateway, planned: false, .. } => view.kills.push((*gateway, *at)),
                // One that ends by itself is a break of its own; what it held is lost with it.
                Event::ProcessExited { gateway, expected: false, .. } => view.kills.push((*gateway, *at)),
                Event::ProcessPaused { gateway, duration: lasted } => {
                    view.pauses.push((*gateway, *at, *lasted))
                }
                Event::MeasureBegan => measure.0 = Some(*at),
                Event::MeasureEnded => measure.1 = Some(*at),
                _ => {}
            }
        }
        view.measure = measure.0.zip(measure.1);
        view
    }

    /// Whether a process of a gateway was killed in this time.
    pub fn killed(&self, gateway: GatewayIndex, from: Moment, to: Moment) -> bool {
        self.kills.iter().any(|(g, at)| *g == gateway && *at + TOLERANCE >= from && *at <= to + TOLERANCE)
    }

    /// The longest time for which a gateway was stopped within this time.
    pub fn paused(&self, gateway: GatewayIndex, from: Moment, to: Moment) -> Duration {
        let there = |(g, end, lasted): &&(GatewayIndex, Moment, Duration)| {
            *g == gateway && *end + TOLERANCE >= from && end.saturating_sub(*lasted) <= to + TOLERANCE
        };
        self.pauses.iter().filter(there).map(|(_, _, lasted)| *lasted).max().unwrap_or_default()
    }

    /// Whether any such trouble is part of the run.
    pub fn has_any(&self, kinds: &[TroubleKind]) -> bool {
        self.scenario.troubles.iter().any(|trouble| kinds.contains(&trouble.kind))
    }

    /// Whether connections between gateways and backends break or fall silent in this run.
    pub fn has_link_trouble(&self) -> bool {
        self.has_any(&[TroubleKind::LinkSilent, TroubleKind::LinkResets, TroubleKind::LinkOneWay])
            || self.has_any(&[TroubleKind::BackendRestarts, TroubleKind::BackendDrains])
            || self.has_any(&[TroubleKind::LinkDelays, TroubleKind::PathBreaks])
    }
}
