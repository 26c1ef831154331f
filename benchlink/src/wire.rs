//! Decodes batches of event records and encodes replies of action records. Numbers are little-endian, and
//! records have no padding between fields. Data of variable length is in the tail, which follows the records
//! of a frame; a record refers to it by offset and length.

use crate::codes::{self, ACTION_LEN, ENTRY_LEN, EVENT_LEN};
use caperwind::{
    Action, Arrival, AttemptIndex, AttemptResult, BackendId, BackendRow, CellIndex, ClassIndex, CounterKey,
    CounterResult, CustomerId, Event, GatewayIndex, LoadReport, MachineKindIndex, PlanIndex, RequestId,
    TimerToken, ZoneIndex,
};

/// A decoded event record.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// Create a gateway with this seed and these settings (JSON).
    Create { seed: u64, settings: Vec<u8> },
    /// Remove the gateway.
    Shutdown,
    /// An event for the gateway.
    Event(Event),
}

/// Reads fields of a record by their offsets in bytes. Panics if a field is outside the record.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(&self, offset: usize) -> [u8; N] {
        std::array::from_fn(|i| self.0[offset + i])
    }
    fn u8(&self, offset: usize) -> u8 {
        self.0[offset]
    }
    fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }
    fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }
    fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }
    fn f32(&self, offset: usize) -> f32 {
        f32::from_le_bytes(self.bytes(offset))
    }
    fn backend(&self, offset: usize) -> BackendId {
        BackendId { address: self.bytes(offset), port: self.u16(offset + 4) }
    }
    fn load(&self, offset: usize) -> LoadReport {
        let values = std::array::from_fn(|i| self.f32(offset + 1 + 4 * i));
        LoadReport { len: self.u8(offset).min(4), values }
    }
    /// Returns the part of the tail that the field refers to: an offset in bytes and a count of items, each
    /// of `width` bytes. Fails if the tail does not contain all of it.
    fn tail_span<'t>(&self, offset: usize, tail: &'t [u8], width: usize) -> Result<&'t [u8], String> {
        let (start, count) = (self.u32(offset) as usize, self.u32(offset + 4) as usize);
        let len = count.checked_mul(width).ok_or("tail span overflows")?;
        let end = start.checked_add(len).ok_or("tail span overflows")?;
        tail.get(start..end)
            .ok_or_else(|| format!("tail span {start}..{end} is outside the tail of {} bytes", tail.len()))
    }
}

fn decode_row(raw: &[u8]) -> Result<BackendRow, String> {
    let fields = Fields(raw);
    let state =
        codes::state(fields.u8(12)).ok_or_else(|| format!("unknown backend state {}", fields.u8(12)))?;
    Ok(BackendRow {
        cell: CellIndex(fields.u16(0)),
        kind: MachineKindIndex(fields.u8(2)),
        zone: ZoneIndex(fields.u8(3)),
        started_at: fields.u64(4),
        state,
        backend: fields.backend(13),
        weight: f64::from(fields.f32(19)),
    })
}

fn decode_outcome(code: u16) -> Result<caperwind::Outcome, String> {
    codes::outcome(code).ok_or_else(|| format!("unknown outcome {code}"))
}

fn decode_record(raw: &[u8], tail: &[u8]) -> Result<Record, String> {
    let fields = Fields(raw);
    let id = RequestId(fields.u32(6));
    Ok(Record::Event(match fields.u16(0) {
        codes::BORN => {
            let settings = fields.tail_span(14, tail, 1)?.to_vec();
            return Ok(Record::Create { seed: fields.u64(6), settings });
        }
        codes::SHUTDOWN => return Ok(Record::Shutdown),
        codes::BACKENDS_CHANGED => Event::Backends {
            kind: codes::list_kind(fields.u8(6))
                .ok_or_else(|| format!("unknown list kind {}", fields.u8(6)))?,
            version: fields.u64(7),
            rows: fields
                .tail_span(15, tail, ENTRY_LEN)?
                .chunks_exact(ENTRY_LEN)
                .map(decode_row)
                .collect::<Result<_, _>>()?,
        },
        codes::INCOMING => Event::Request(Arrival {
            id,
            class: ClassIndex(fields.u16(10)),
            plan: PlanIndex(fields.u16(12)),
            customer: CustomerId(fields.u64(14)),
            deadline: fields.u64(22),
            units: f64::from(fields.f32(30)),
            spread: f64::from(fields.f32(34)),
            first_gateway: f64::from(fields.f32(38)),
            client_repeat: fields.u8(42) & codes::BIT_REPEAT != 0,
            write: fields.u8(42) & codes::BIT_WRITE != 0,
            body_pending: false,
        }),
        codes::FLOWING => Event::StreamStarted {
            id,
            attempt: AttemptIndex(fields.u8(10)),
            backend: fields.backend(11),
            elapsed: u64::from(fields.u32(17)),
        },
        codes::ATTEMPT_END => Event::AttemptEnded(AttemptResult {
            id,
            attempt: AttemptIndex(fields.u8(10)),
            backend: fields.backend(11),
            outcome: decode_outcome(fields.u16(17))?,
            elapsed: u64::from(fields.u32(19)),
            request_done: fields.u8(23) != 0,
            // 0 for no report, else the use in percent plus 1.
            quota_use: fields.u16(24).checked_sub(1).map(|p| f64::from(p) / 100.0),
            billed_units: Some(fields.u16(26)).filter(|&b| b > 0).map(f64::from),
            load: fields.load(28),
            body_consumed: false,
        }),
        codes::EXPIRED => Event::ClientGone { id },
        codes::DEADLINE_HIT => Event::Timer { token: TimerToken(fields.u64(6)) },
        codes::CHECK_RESULT => Event::Probed {
            backend: fields.backend(6),
            outcome: decode_outcome(fields.u16(12))?,
            elapsed: u64::from(fields.u32(14)),
            load: fields.load(18),
        },
        codes::FROM_PEER => Event::Message {
            from: GatewayIndex(u32::from(fields.u16(6))),
            payload: fields.tail_span(8, tail, 1)?.to_vec(),
        },
        codes::RECKONED => Event::CounterCallEnded {
            key: CounterKey(fields.u64(6)),
            result: match fields.u16(14) {
                0 => CounterResult::Total(f64::from(fields.f32(16))),
                254 | 252 => CounterResult::NotAdded,
                253 => CounterResult::Unanswered,
                other => return Err(format!("unknown outcome of a counter call: {other}")),
            },
            elapsed: u64::from(fields.u32(20)),
        },
        other => return Err(format!("unknown event code {other}")),
    }))
}

/// Decodes the body of a frame into its `count` records, each with its instance number. Fails if the body is
/// too short or a record is malformed.
pub fn decode(count: u32, body: &[u8]) -> Result<Vec<(u32, Record)>, String> {
    let size = (count as usize).checked_mul(EVENT_LEN).filter(|&s| s <= body.len());
    let size = size.ok_or_else(|| format!("{count} records do not fit {} bytes", body.len()))?;
    let (records, tail) = body.split_at(size);
    let decode = |raw: &[u8]| Ok((Fields(raw).u32(2), decode_record(raw, tail)?));
    records.chunks_exact(EVENT_LEN).map(decode).collect()
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

/// Converts microseconds to a `u32` field; values that do not fit become the maximum.
fn micros_u32(micros: u64) -> u32 {
    u32::try_from(micros).unwrap_or(u32::MAX)
}

impl Reply {
    /// Appends bytes to the tail; returns the field that refers to them: offset and length.
    fn append_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let offset = (self.tail.len() as u32).to_le_bytes();
        let len = (bytes.len() as u32).to_le_bytes();
        self.tail.extend_from_slice(bytes);
        std::array::from_fn(|i| if i < 4 { offset[i] } else { len[i - 4] })
    }

    /// Appends a record with these fields, padded to its full size.
    fn append_record(&mut self, code: u16, instance: u32, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_LEN;
        self.records.extend_from_slice(&code.to_le_bytes());
        self.records.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
    }

    /// Appends a report that the decision module panicked.
    pub fn bug(&mut self, instance: u32, message: &str) {
        let span = self.append_tail(message.as_bytes());
        self.append_record(codes::BUG, instance, &[&span]);
    }

    /// Appends an action of an instance.
    pub fn action(&mut self, instance: u32, action: &Action) {
        let encode_backend = |backend: &BackendId| -> [u8; 6] {
            let port = backend.port.to_le_bytes();
            std::array::from_fn(|i| if i < 4 { backend.address[i] } else { port[i - 4] })
        };
        match action {
            Action::Send { id, backend, timeout, .. } => {
                let timeout = micros_u32(timeout.unwrap_or(0)).to_le_bytes();
                self.append_record(
                    codes::TRY,
                    instance,
                    &[&id.0.to_le_bytes(), &encode_backend(backend), &timeout],
                );
            }
            Action::Refuse { id, retry_after, .. } => {
                let retry_after = micros_u32(*retry_after).to_le_bytes();
                self.append_record(codes::REJECT, instance, &[&id.0.to_le_bytes(), &retry_after]);
            }
            Action::Fail { id } => {
                self.append_record(codes::END_FAILED, instance, &[&id.0.to_le_bytes()]);
            }
            Action::Cancel { id, attempt } => {
                self.append_record(codes::RETRACT, instance, &[&id.0.to_le_bytes(), &[attempt.0]]);
            }
            Action::SetTimer { token, after } => {
                let after = micros_u32(*after).to_le_bytes();
                self.append_record(codes::REMIND, instance, &[&token.0.to_le_bytes(), &after]);
            }
            Action::Probe { backend } => {
                self.append_record(codes::PING, instance, &[&encode_backend(backend)])
            }
            Action::CloseIdle { backend } => {
                self.append_record(codes::RELEASE, instance, &[&encode_backend(backend)]);
            }
            Action::SendMessage { to, payload } => {
                let peer = to.map_or(codes::ALL_PEERS, |gateway| gateway.0).to_le_bytes();
                let span = self.append_tail(payload);
                self.append_record(codes::SIGNAL, instance, &[&peer, &span]);
            }
            Action::Log { line } => {
                let span = self.append_tail(line.as_bytes());
                self.append_record(codes::JOURNAL_LINE, instance, &[&span]);
            }
            Action::Subscribe { on } => {
                self.append_record(codes::KEEP_INFORMED, instance, &[&[u8::from(*on)]]);
            }
            Action::FetchList => self.append_record(codes::SNAPSHOT, instance, &[]),
            Action::CallCounter { key, amount, lifetime } => {
                let (amount, lifetime) =
                    ((*amount as f32).to_le_bytes(), micros_u32(*lifetime).to_le_bytes());
                self.append_record(codes::ADD_TO, instance, &[&amount, &lifetime, &key.0.to_le_bytes()]);
            }
        }
    }

    /// Returns the finished frame.
    pub fn into_frame(self) -> Vec<u8> {
        let count = (self.records.len() / ACTION_LEN) as u32;
        let len = (self.records.len() + self.tail.len() + 4) as u32;
        let mut frame = Vec::with_capacity(len as usize + 4);
        frame.extend_from_slice(&len.to_le_bytes());
        frame.extend_from_slice(&count.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}
