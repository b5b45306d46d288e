//! Delivery of the events of a stream, which several attempts may produce.

use std::io;

use bytes::{Bytes, BytesMut};

use crate::{
    AttemptCause, AttemptFailure, ControlPlane, Exchange, HeaderMapping, attempt::Attempt,
    gateway::now, stream_progress::EventAction,
};

impl<C: ControlPlane, H: HeaderMapping> Exchange<C, H> {
    /// Returns the next events of a stream; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream was interrupted and could not be continued, or if the process
    /// ends first.
    pub(crate) async fn next_events(&mut self) -> Option<io::Result<Bytes>> {
        let gateway = self.gateway.clone();
        match gateway.stop.run_until_end(self.continue_stream()).await {
            Some(events) => events,
            None => {
                let refusal = self.end_with_process();
                self.finish("broken-off");
                Some(Err(io::Error::other(refusal)))
            }
        }
    }

    async fn continue_stream(&mut self) -> Option<io::Result<Bytes>> {
        if self.attempt.is_none() {
            self.finish("answered");
            return None;
        }
        loop {
            let failure = match self.read_events().await {
                Ok(Some(data)) => {
                    self.record_pause();
                    return Some(Ok(data));
                }
                Ok(None) => {
                    self.finish("answered");
                    return None;
                }
                Err(failure) => failure,
            };
            let mut retried = self.handle_failure(&failure);
            while retried.is_ok() {
                match self.open_attempt().await {
                    Ok((status, headers)) if self.progress.continues_head(status, &headers) => {
                        break;
                    }
                    Ok(_) => {
                        let failure = AttemptFailure::unknown(AttemptCause::Garbled);
                        retried = self.handle_failure(&failure);
                    }
                    Err(refusal) => retried = Err(refusal),
                }
            }
            if let Err(refusal) = retried {
                self.finish(match failure.cause {
                    AttemptCause::TimedOut => "timed-out",
                    _ => "broken-off",
                });
                return Some(Err(io::Error::other(refusal)));
            }
        }
    }

    /// Records that further events are delivered.
    fn record_pause(&mut self) {
        let time = now();
        let Some(previous) = self.last_events_at.replace(time) else {
            return;
        };
        self.longest_pause = self.longest_pause.max(time.since(previous));
        let events = std::mem::take(&mut self.new_events);
        // A caller that reads slowly delays the deliveries, but not the server.
        let waited = std::mem::take(&mut self.server_wait);
        self.run_events += events;
        if let Some(Attempt::Server(attempt)) = &self.attempt {
            let (id, tokens) = (&attempt.pick().id, self.request.work.output_tokens);
            let mut servers = self.gateway.servers.lock();
            servers.record_events(time, id, events, waited);
            if self.attempts == 1 {
                servers.record_running_stream(id, self.run_events, tokens);
            }
        }
    }

    /// Records the end of a complete stream.
    fn record_complete_stream(&mut self) {
        let events = self.run_events + std::mem::take(&mut self.new_events);
        let tokens = self.request.work.output_tokens;
        if let Some(Attempt::Server(attempt)) = &self.attempt
            && self.request.last_event.is_none()
            && self.attempts == 1
            && tokens > 0
        {
            let mut servers = self.gateway.servers.lock();
            servers.record_complete_stream(&attempt.pick().id, events, tokens);
        }
    }

    /// Reads until complete events that were not delivered before are available; `None` at the end
    /// of the stream.
    pub(crate) async fn read_events(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        loop {
            if let Some(data) = self.take_events()? {
                return Ok(Some(data));
            }
            let max_wait = self.stream_timeout();
            let Some(attempt) = &mut self.attempt else {
                return Err(AttemptFailure::unknown(AttemptCause::Broken));
            };
            let asked_at = now();
            let chunk = attempt.next_chunk(max_wait).await;
            self.server_wait += now().since(asked_at);
            match chunk {
                None if self.events.has_partial_event() || !self.progress.may_end() => {
                    return Err(AttemptFailure::unknown(AttemptCause::Broken));
                }
                None => {
                    attempt.record_whole_answer();
                    self.record_complete_stream();
                    self.attempt = None;
                    return Ok(None);
                }
                Some(Ok(part)) => {
                    self.record_bytes(max_wait, part.len())?;
                    if !self.events.push(&part) || !self.try_hold(self.events.len()) {
                        return Err(AttemptFailure::unknown(AttemptCause::Garbled));
                    }
                }
                Some(Err(failure)) => self.handle_silence(failure).await?,
            }
        }
    }

    /// Removes the buffered complete events, skipping those that the caller already has.
    ///
    /// # Errors
    ///
    /// Returns an error if the first of them does not belong to the stream.
    fn take_events(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        let mut data = BytesMut::new();
        while let Some(event) = self.events.next_event() {
            match self.progress.record(&event) {
                EventAction::Deliver => data.extend_from_slice(&event.raw),
                EventAction::Skip => {}
                // The events before it are delivered first.
                EventAction::Reject if !data.is_empty() => {
                    self.events.put_back(&event);
                    break;
                }
                EventAction::Reject => return Err(AttemptFailure::unknown(AttemptCause::Garbled)),
            }
            if event.has_data {
                self.progress_at = now();
                self.new_events += 1;
                if let Some(attempt) = &mut self.attempt {
                    attempt.record_answer_event();
                }
            }
        }
        self.try_hold(self.events.len());
        Ok((!data.is_empty()).then(|| data.freeze()))
    }
}
