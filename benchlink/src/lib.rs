//! Translates between the simulator's wire format and the events and actions of caperwind.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codes;
mod settings;
mod wire;

use caperwind::{Action, Gateway};
use std::collections::BTreeMap;
use std::io::{self, BufWriter, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use wire::{Record, Reply};

pub use settings::parse as parse_settings;

/// The gateways that this process hosts, by instance number. They share no state with each other.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Gateway>,
}

impl Host {
    /// Handles a batch of `count` records at the time `now` (microseconds) and returns the reply frame.
    /// `body` is the frame without its header. Fails if a record is malformed, has invalid settings, or is
    /// for an instance that does not run. A panic of the decision module is reported in the reply.
    pub fn handle_batch(&mut self, now: u64, count: u32, body: &[u8]) -> Result<Vec<u8>, String> {
        let mut reply = Reply::default();
        let mut actions: Vec<Action> = Vec::new();
        for (instance, record) in wire::decode(count, body)? {
            let event = match record {
                Record::Create { seed, settings: text } => {
                    let config = settings::parse(&text)?;
                    let gateway = Gateway::new(config, seed).map_err(|error| error.to_string())?;
                    self.instances.insert(instance, gateway);
                    continue;
                }
                Record::Shutdown => {
                    self.instances.remove(&instance);
                    continue;
                }
                Record::Event(event) => event,
            };
            let Some(gateway) = self.instances.get_mut(&instance) else {
                return Err(format!("event for instance {instance}, which does not run"));
            };
            actions.clear();
            let handle = || gateway.handle(now, event, &mut actions);
            match catch_unwind(AssertUnwindSafe(handle)) {
                Ok(()) => actions.iter().for_each(|action| reply.action(instance, action)),
                Err(panic) => {
                    let message = panic.downcast_ref::<String>().map(String::as_str);
                    let message = message.or_else(|| panic.downcast_ref::<&str>().copied());
                    reply.bug(instance, message.unwrap_or("panic"));
                }
            }
        }
        Ok(reply.into_frame())
    }

    /// Reads frames and writes the reply to each until the input ends between two frames. The header of a
    /// frame has the time (`u64`, microseconds), the number of bytes after this length field (`u32`) and the
    /// number of records (`u32`). Fails if the input ends inside a frame, if a batch is malformed, and on I/O
    /// errors.
    pub fn serve(&mut self, mut input: impl Read, output: impl Write) -> Result<(), String> {
        let mut output = BufWriter::new(output);
        let mut header = [0u8; 16];
        let mut body = Vec::new();
        while read_header(&mut input, &mut header)? {
            let word_at = |offset: usize| -> [u8; 4] { std::array::from_fn(|i| header[offset + i]) };
            let now = u64::from_le_bytes(std::array::from_fn(|i| header[i]));
            let (len, count) = (u32::from_le_bytes(word_at(8)), u32::from_le_bytes(word_at(12)));
            let rest = len.checked_sub(4).ok_or("frame shorter than its header")?;
            body.clear();
            // `take` grows the buffer only with the bytes that arrive, so a false length in the header cannot
            // allocate memory.
            let read = (&mut input).take(u64::from(rest)).read_to_end(&mut body);
            if read.map_err(|e| e.to_string())? != rest as usize {
                return Err("input ends inside a frame".into());
            }
            let reply = self.handle_batch(now, count, &body)?;
            output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
        }
        Ok(())
    }
}

/// Reads the header of a frame. Returns false if the input ends before it.
fn read_header(input: &mut impl Read, header: &mut [u8; 16]) -> Result<bool, String> {
    let mut filled = 0;
    while filled < header.len() {
        match input.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => return Err("input ends inside a header".into()),
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    Ok(true)
}
