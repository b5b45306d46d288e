//! Body of an answer, whose tokens are counted while it is sent to the caller.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Instant,
};

use bytes::Bytes;
use futures_util::Stream;
use hawthornquay_decisions::{LoadOutcome, MonotonicTime, OrganisationId, RequestId, RouteTarget};
use hawthornquay_http::Body;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use parking_lot::Mutex;
use slog::info;

use crate::{
    AnswerStream, Decision, DrainGuard, LimitGuard, LoadGuard, Node, RoutedAnswer, RunningRequest,
    TokenUse, clock,
};

/// Rule for the tokens that an answer is charged.
#[derive(Clone, Copy, Debug)]
pub enum Settlement {
    /// Charge the use that the engine reports, or an estimate if it reports none.
    ByUse {
        /// Estimated length of the prompt, in tokens.
        prompt_tokens: u64,
    },
    /// Charge all reserved tokens.
    InFull,
}

/// State that is needed to settle and record an answer when it ends.
pub struct AnswerContext {
    /// State of the instance.
    pub node: Arc<Node>,
    /// Identifier of the request.
    pub id: RequestId,
    /// Model or service that the request is for.
    pub target: RouteTarget,
    /// Organisation that the request runs for.
    pub organisation: OrganisationId,
    /// Time at which the request arrived.
    pub arrived: MonotonicTime,
    /// Reserved tokens.
    pub limit: LimitGuard,
    /// Rule for the tokens that are charged.
    pub settlement: Settlement,
    /// Makes a shutdown wait for the end of the answer.
    pub drain: DrainGuard,
    /// Place of the request among those that run.
    pub running: RunningRequest,
}

/// Stream of an answer's body that counts tokens and settles the reservation at the end.
struct MeteredAnswer(Arc<Mutex<OpenAnswer>>);

/// Answer that is being sent to the caller.
///
/// Its lock is taken before all locks of the instance.
pub(crate) struct OpenAnswer {
    /// Body; `None` after the answer was ended because it was not read.
    body: Option<AnswerStream>,
    /// Time at which the connection took the last part; `None` while it waits for the next one.
    taken_at: Option<Instant>,
    used: TokenUse,
    crosses_regions: bool,
    status: StatusCode,
    /// Unsettled state of the answer; `None` after its end.
    unsettled: Option<(AnswerContext, LoadGuard)>,
}

/// Returns the response to the caller.
///
/// The reservation is settled when the body ends or is dropped, for example on a disconnect of the
/// caller.
pub fn metered_response(answer: RoutedAnswer, context: AnswerContext) -> Response<Body> {
    let RoutedAnswer {
        status,
        headers,
        body,
        load,
        crosses_regions,
    } = answer;
    context
        .node
        .metrics
        .observe_first_token(&context.organisation, clock::now().since(context.arrived));
    let used = TokenUse::default();
    let node = Arc::clone(&context.node);
    let open = Arc::new(Mutex::new(OpenAnswer {
        body: Some(body),
        taken_at: None,
        used,
        crosses_regions,
        status,
        unsettled: Some((context, load)),
    }));
    node.unread_answers.add(&open);
    let metered = MeteredAnswer(open);
    let mut res = Response::new(Body::new(BodyExt::map_err(
        StreamBody::new(metered),
        io::Error::other,
    )));
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

impl Stream for MeteredAnswer {
    type Item = Result<Frame<Bytes>, crate::AnswerFailure>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let mut this = self.0.lock();
        this.taken_at = None;
        let Some(body) = &mut this.body else {
            return Poll::Ready(Some(Err(crate::AnswerFailure::Unread)));
        };
        match ready!(body.as_mut().poll_next(cx)) {
            Some(Ok(data)) => {
                this.taken_at = Some(Instant::now());
                this.add(&data);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Err(error)) => {
                if let Some((context, _)) = &this.unsettled {
                    info!(context.node.log.requests, "answer failed before its end"; "request" => %context.id, "error" => %error);
                }
                this.finish(LoadOutcome::Failed);
                Poll::Ready(Some(Err(error)))
            }
            None => {
                this.finish(LoadOutcome::Answered);
                Poll::Ready(None)
            }
        }
    }
}

impl OpenAnswer {
    /// Returns the time since which the caller has not read what its connection took; `None` while
    /// the connection waits for the backend server or after the end.
    pub(crate) const fn unread_since(&self) -> Option<Instant> {
        self.taken_at
    }

    /// Returns the model or service of a request whose answer has not ended.
    pub(crate) fn target(&self) -> Option<&RouteTarget> {
        let (context, _) = self.unsettled.as_ref()?;
        Some(&context.target)
    }

    /// Ends the answer, whose connection is closed before the end when the caller reads on.
    pub(crate) fn end_unread(&mut self) {
        if let Some((context, _)) = &self.unsettled {
            info!(context.node.log.requests, "unread answer ended, because requests wait"; "request" => %context.id);
            context.node.metrics.count_unread_answer();
        }
        self.body = None;
        self.taken_at = None;
        self.finish(LoadOutcome::Cancelled);
    }

    fn add(&mut self, data: &Bytes) {
        self.used.add(data);
        if self.crosses_regions
            && let Some((context, _)) = &self.unsettled
        {
            context
                .node
                .metrics
                .count_cross_region_bytes(data.len() as u64);
        }
    }

    fn finish(&mut self, outcome: LoadOutcome) {
        let Some((context, load)) = self.unsettled.take() else {
            return;
        };
        load.finish(outcome);
        let tokens = match context.settlement {
            Settlement::ByUse { prompt_tokens } => self.used.total(prompt_tokens),
            Settlement::InFull => context.limit.tokens(),
        };
        context.limit.settle(tokens);
        let AnswerContext {
            node,
            id,
            arrived,
            drain,
            ..
        } = context;
        node.requests.record(&id, Decision::Settled { tokens });
        node.requests.close(&id, self.status.as_u16());
        node.metrics
            .observe_answer(clock::now().since(arrived), tokens);
        node.metrics.count_answer();
        drop(drain);
    }
}

impl Drop for MeteredAnswer {
    fn drop(&mut self) {
        self.0.lock().finish(LoadOutcome::Cancelled);
    }
}
