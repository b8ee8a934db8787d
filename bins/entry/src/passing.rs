//! The body of an answer on its way to the caller.

use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures::stream;
use node::event;
use node::http::{Body, ResponseBody};
use route::{Answering, Request};

use crate::answer;
use crate::gateway::Gateway;
use crate::in_progress::InProgress;
use crate::metrics::Labels;

/// An answer that is being passed on.
///
/// Dropping it before its end, because the caller closed its connection, ends the request and the agent's connection.
pub(crate) struct Passing {
    gateway: Rc<Gateway>,
    request: Option<Request<Answering>>,
    answer: ResponseBody,
    labels: Labels,
    _guard: InProgress,
}

impl Passing {
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        request: Request<Answering>,
        answer: ResponseBody,
        labels: Labels,
        guard: InProgress,
    ) -> Self {
        let mut passing = Self {
            gateway: Rc::clone(gateway),
            request: Some(request),
            answer,
            labels,
            _guard: guard,
        };
        passing.check_end();
        passing
    }

    /// Returns the body that the caller gets; one that is cut ends the caller's connection.
    pub(crate) fn into_body(self) -> Body {
        Body::stream(stream::unfold(Some(self), |passing| async {
            let mut passing = passing?;
            match passing.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(passing))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        self.answer
            .set_deadline(Instant::now() + self.gateway.settings.stall);
        match self.answer.next().await {
            Ok(Some(piece)) => {
                self.check_end();
                Ok(Some(piece))
            }
            Ok(None) => {
                self.end(true, answer::ANSWERED);
                Ok(None)
            }
            Err(error) => {
                if let Some(request) = &self.request {
                    node::event!(event::ANSWER_CUT, target = request.target(), error = error);
                }
                self.end(false, "cut");
                Err(io::Error::other(error))
            }
        }
    }

    /// Ends the request with the last piece: a body of known length isn't asked for more.
    fn check_end(&mut self) {
        if self.answer.is_end() {
            self.end(true, answer::ANSWERED);
        }
    }

    fn end(&mut self, whole: bool, outcome: &'static str) {
        if let Some(request) = self.request.take() {
            self.gateway.metrics.ended(&self.labels, outcome, "");
            self.gateway.finished(request, whole);
        }
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        self.end(false, "gone");
    }
}
