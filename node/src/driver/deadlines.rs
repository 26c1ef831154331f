//! The deadlines of open requests: where a body's arrival or the shutdown moves them.

use super::timers::TimerKind;
use super::{Driver, DriverState, PendingReply, DEADLINE_MARGIN};
use caperwind::{Event, Micros, Outcome};

impl Driver {
    /// Starts the shutdown: every request, open or new, must be finished within `time_limit` microseconds from now.
    pub fn begin_shutdown(&self, time_limit: Micros) {
        let shutdown_deadline = self.0.clock.now() + time_limit;
        self.0.shutdown_deadline.set(Some(shutdown_deadline));
        let (mut state, mut moved) = (self.0.state.borrow_mut(), Vec::new());
        // The deadline of each request moves together with its timer: no attempt may begin after the deadline, so an
        // attempt that is ended by the shutdown is not repeated.
        for (id, request) in &mut state.requests {
            if request.deadline > shutdown_deadline {
                moved.push((std::mem::replace(&mut request.deadline, shutdown_deadline), *id));
                request.shared_deadline.set(self.0.clock.instant(shutdown_deadline));
            }
        }
        for (old_deadline, id) in moved {
            state.timers.remove(&(old_deadline, TimerKind::Deadline(id)));
            state.timers.insert((shutdown_deadline, TimerKind::Deadline(id)));
        }
        self.0.wake.notify_one();
    }

    /// Records that the last byte of a request body has arrived at this machine, although a part of the body is still
    /// to be read: its backend does not take it yet. The client waits `time_left` microseconds from now.
    pub fn body_arrived(&self, pending: &PendingReply, time_left: Micros) {
        let mut state = self.0.state.borrow_mut();
        let now = self.0.clock.now();
        if let Some(deadline) = self.advance_deadline(&mut state, now, pending, time_left) {
            state.events.push_back(Event::BodyArrived { id: pending.id, deadline });
            self.run(&mut state, now);
        }
    }

    /// Records that a request body has stalled: no backend takes what has arrived of it. No backend can have begun to
    /// work on the request, as its last byte has not been sent.
    pub fn upload_stalled(&self, pending: &PendingReply) {
        let mut state = self.0.state.borrow_mut();
        let now = self.0.clock.now();
        self.end_all_attempts(&mut state, now, pending.id, Outcome::ConnectFailed);
        self.run(&mut state, now);
    }

    /// Records that a request body has been read to its end. The client waits `time_left` microseconds from now.
    pub fn body_received(&self, pending: &PendingReply, time_left: Micros) {
        let mut state = self.0.state.borrow_mut();
        let (id, now) = (pending.id, self.0.clock.now());
        if let Some(deadline) = self.advance_deadline(&mut state, now, pending, time_left) {
            if let Some(request) = state.requests.get_mut(&id) {
                request.received_at = now;
            }
            state.events.push_back(Event::Uploaded { id, deadline });
            self.run(&mut state, now);
        }
    }

    /// Brings forward the deadline of a request whose body was still being received, as its client waits `time_left`
    /// microseconds from now. Returns the deadline, unless the request has ended.
    fn advance_deadline(
        &self,
        state: &mut DriverState,
        now: Micros,
        pending: &PendingReply,
        time_left: Micros,
    ) -> Option<Micros> {
        let deadline = now + time_left.saturating_sub(DEADLINE_MARGIN);
        // An early response may still be in transfer although the request has its final result.
        pending.deadline.set(pending.deadline.get().min(self.0.clock.instant(deadline)));
        let request = state.requests.get_mut(&pending.id)?;
        let deadline = deadline.min(request.deadline);
        let old_deadline = std::mem::replace(&mut request.deadline, deadline);
        state.timers.remove(&(old_deadline, TimerKind::Deadline(pending.id)));
        state.timers.insert((deadline, TimerKind::Deadline(pending.id)));
        self.0.wake.notify_one();
        Some(deadline)
    }
}
