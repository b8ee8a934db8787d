//! The body of a response that is relayed to the caller.

use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures::stream;
use node::event;
use node::http::{Body, ResponseBody};
use route::{Answering, Request};

use crate::gateway::Gateway;
use crate::in_progress::InProgress;
use crate::metrics::RequestLabels;
use crate::response;

/// A response body that is streamed from the agent to the caller.
///
/// Dropping it before its end, for example because the caller closed its connection, ends the request and closes the
/// connection to the agent.
pub(crate) struct RelayedBody {
    gateway: Rc<Gateway>,
    request: Option<Request<Answering>>,
    body: ResponseBody,
    labels: RequestLabels,
    _guard: InProgress,
}

impl RelayedBody {
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        request: Request<Answering>,
        body: ResponseBody,
        labels: RequestLabels,
        guard: InProgress,
    ) -> Self {
        let mut relayed = Self {
            gateway: Rc::clone(gateway),
            request: Some(request),
            body,
            labels,
            _guard: guard,
        };
        relayed.finish_at_end();
        relayed
    }

    /// Converts this value to the body for the caller; an error while streaming closes the caller's connection.
    pub(crate) fn into_body(self) -> Body {
        Body::stream(stream::unfold(Some(self), |relayed| async {
            let mut relayed = relayed?;
            match relayed.next().await {
                Ok(Some(data)) => Some((Ok(data), Some(relayed))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        self.body
            .set_deadline(Instant::now() + self.gateway.settings.stall_timeout);
        match self.body.next().await {
            Ok(Some(data)) => {
                self.finish_at_end();
                Ok(Some(data))
            }
            Ok(None) => {
                self.finish(true, response::ANSWERED);
                Ok(None)
            }
            Err(error) => {
                if let Some(request) = &self.request {
                    node::event!(event::ANSWER_CUT, target = request.target(), error = error);
                }
                self.finish(false, "cut");
                Err(io::Error::other(error))
            }
        }
    }

    /// Finishes the request if the body is at its end.
    ///
    /// A body of known length isn't polled again after its last data, so its end must be detected here.
    fn finish_at_end(&mut self) {
        if self.body.is_end() {
            self.finish(true, response::ANSWERED);
        }
    }

    fn finish(&mut self, complete: bool, outcome: &'static str) {
        if let Some(request) = self.request.take() {
            self.gateway
                .metrics
                .record_outcome(&self.labels, outcome, "");
            self.gateway.response_finished(request, complete);
        }
    }
}

impl Drop for RelayedBody {
    fn drop(&mut self) {
        self.finish(false, "gone");
    }
}
