//! Answer on its way to the caller.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures_util::Stream;
use hawthornquay_decisions::{LoadOutcome, MonotonicTime, OrganisationId, RequestId};
use hawthornquay_http::Body;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use slog::info;

use crate::{
    AnswerStream, Decision, DrainGuard, LimitGuard, LoadGuard, Node, RoutedAnswer, TokenUse, clock,
};

/// How the tokens of an answer are settled.
#[derive(Clone, Copy, Debug)]
pub enum Settlement {
    /// By the use that the engine reports, with this estimate of the prompt.
    ByUse {
        /// Estimate of the prompt's tokens.
        prompt_tokens: u64,
    },
    /// In full.
    InFull,
}

/// What has to be done when an answer ends.
pub struct AnswerEnd {
    /// Shared tables.
    pub node: Arc<Node>,
    /// Request.
    pub id: RequestId,
    /// Organisation.
    pub organisation: OrganisationId,
    /// When the request arrived.
    pub arrived: MonotonicTime,
    /// Reserved tokens.
    pub limit: LimitGuard,
    /// How they are settled.
    pub settlement: Settlement,
    /// Keeps the process from ending.
    pub drain: DrainGuard,
}

struct MeteredAnswer {
    body: AnswerStream,
    used: TokenUse,
    crosses_regions: bool,
    status: StatusCode,
    open: Option<(AnswerEnd, LoadGuard)>,
}

/// Builds the caller's response; its end, also by the caller leaving, settles the reservation.
pub fn metered_response(answer: RoutedAnswer, end: AnswerEnd) -> Response<Body> {
    let RoutedAnswer {
        status,
        headers,
        body,
        load,
        crosses_regions,
    } = answer;
    end.node
        .metrics
        .observe_first_token(&end.organisation, clock::now().since(end.arrived));
    let used = TokenUse::default();
    let metered = MeteredAnswer {
        body,
        used,
        crosses_regions,
        status,
        open: Some((end, load)),
    };
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
        let this = self.get_mut();
        match ready!(this.body.as_mut().poll_next(cx)) {
            Some(Ok(data)) => {
                this.add(&data);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Err(error)) => {
                if let Some((end, _)) = &this.open {
                    info!(end.node.log.requests, "answer broke off"; "request" => %end.id, "error" => %error);
                }
                this.end(LoadOutcome::Failed);
                Poll::Ready(Some(Err(error)))
            }
            None => {
                this.end(LoadOutcome::Answered);
                Poll::Ready(None)
            }
        }
    }
}

impl MeteredAnswer {
    fn add(&mut self, data: &Bytes) {
        self.used.add(data);
        if self.crosses_regions
            && let Some((end, _)) = &self.open
        {
            end.node.metrics.count_sent_away_bytes(data.len() as u64);
        }
    }

    fn end(&mut self, outcome: LoadOutcome) {
        let Some((end, load)) = self.open.take() else {
            return;
        };
        load.finish(outcome);
        let tokens = match end.settlement {
            Settlement::ByUse { prompt_tokens } => self.used.total(prompt_tokens),
            Settlement::InFull => end.limit.tokens(),
        };
        end.limit.settle(tokens);
        let AnswerEnd {
            node,
            id,
            arrived,
            drain,
            ..
        } = end;
        node.requests.record(&id, Decision::Settled { tokens });
        node.requests.close(&id, self.status.as_u16());
        node.metrics
            .observe_end(clock::now().since(arrived), tokens);
        node.metrics.count_answer();
        drop(drain);
    }
}

impl Drop for MeteredAnswer {
    fn drop(&mut self) {
        self.end(LoadOutcome::Cancelled);
    }
}
