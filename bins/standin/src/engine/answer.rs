//! Answers of tokens, whole or as server-sent events.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use node::http::{Body, Request, Response, StatusCode, header, json, response};
use serde::Deserialize;
use weights::Digest;
use wire::header::ENGINE_WEIGHTS;

use super::{Engine, Switches};
use crate::slots::Slot;

/// Tokens of an answer whose request names no number.
const DEFAULT_TOKENS: u32 = 16;

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

/// An answer in progress.
struct Run {
    engine: Rc<Engine>,
    weights: Digest,
    prompt: String,
    /// Tokens that are sent, fewer than asked when the answer is cut.
    tokens: u32,
    sent: u32,
    cut: bool,
    _slot: Slot,
}

impl Engine {
    /// Answers with the prompt, repeated once a token, so that a caller recognises its own answer.
    pub(super) async fn complete(self: Rc<Self>, request: &Request<Bytes>) -> Response<Body> {
        let completion: Completion = match serde_json::from_slice(request.body()) {
            Ok(completion) => completion,
            Err(error) => return response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let slot = self.slots.acquire().await;
        let Some(weights) = self.weights() else {
            return response(StatusCode::SERVICE_UNAVAILABLE, "no weights are active");
        };
        self.control.count("completions", 1);
        let prompt = completion.messages.last();
        let prompt = prompt.map_or_else(String::new, |message| message.content.clone());
        self.journal.append(&prompt);
        let cut = self.control.change(cut_answer);
        let run = Run {
            weights,
            prompt,
            tokens: if cut {
                completion.max_tokens / 2
            } else {
                completion.max_tokens
            },
            sent: 0,
            cut,
            _slot: slot,
            engine: self,
        };
        let mut answer = match completion.stream {
            true => run.stream(),
            false => run.whole().await,
        };
        let weights = header::HeaderValue::try_from(weights.to_string()).expect("hex digits");
        answer.headers_mut().insert(ENGINE_WEIGHTS, weights);
        answer
    }
}

impl Run {
    async fn whole(mut self) -> Response<Body> {
        let mut text = String::new();
        while let Some(token) = self.token().await {
            text.push_str(&token);
        }
        let choice = serde_json::json!({"message": {"role": "assistant", "content": text}});
        let mut answer = json(StatusCode::OK, &serde_json::json!({"choices": [choice]}));
        if self.cut {
            let error = Err(io::ErrorKind::ConnectionReset.into());
            let start = Ok(Bytes::from_static(b"{\"choices\":["));
            *answer.body_mut() = Body::stream(futures::stream::iter([start, error]));
        }
        answer
    }

    fn stream(self) -> Response<Body> {
        let events = futures::stream::unfold(Some(self), |run| async {
            let mut run = run?;
            match run.token().await {
                Some(token) => {
                    let delta = serde_json::json!({"choices": [{"delta": {"content": token}}]});
                    Some((Ok(Bytes::from(format!("data: {delta}\n\n"))), Some(run)))
                }
                None if run.cut => Some((Err(io::ErrorKind::ConnectionReset.into()), None)),
                None => Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None)),
            }
        });
        let mut answer = response(StatusCode::OK, Body::stream(events));
        let kind = header::HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(header::CONTENT_TYPE, kind);
        answer
    }

    /// Returns the next token at its time, or `None` after the last.
    async fn token(&mut self) -> Option<String> {
        if self.sent >= self.tokens {
            return None;
        }
        let wait = {
            let switches = self.engine.control.switches();
            match self.sent {
                0 => switches.first_token_ms,
                _ => switches.token_ms,
            }
        };
        compio::time::sleep(Duration::from_millis(wait)).await;
        self.sent += 1;
        if self.engine.weights() != Some(self.weights) {
            self.engine.control.count("mixed_tokens", 1);
            // A caller sees from this token that the answer was not made from one version.
            return Some(format!("{}-mixed ", self.prompt));
        }
        Some(format!("{} ", self.prompt))
    }
}

fn cut_answer(switches: &mut Switches) -> bool {
    let cut = switches.cut_answers > 0;
    switches.cut_answers -= u32::from(cut);
    cut
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}
