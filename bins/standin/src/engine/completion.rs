//! Chat completions, as a single response or as server-sent events.

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

/// Number of tokens when the request doesn't set `max_tokens`.
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

/// A completion that is being generated.
struct Generation {
    engine: Rc<Engine>,
    weights: Digest,
    prompt: String,
    /// Number of tokens to send, half of those requested if the response is to be cut.
    tokens: u32,
    sent: u32,
    /// Whether the connection is reset after `tokens` tokens.
    cut: bool,
    _slot: Slot,
}

impl Engine {
    /// Responds with the prompt as every token, so that a caller can recognize the response to its own request.
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
        let cut = self.control.update(consume_cut_answer);
        let generation = Generation {
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
        let mut response = match completion.stream {
            true => generation.streamed_response(),
            false => generation.whole_response().await,
        };
        let weights = header::HeaderValue::try_from(weights.to_string())
            .expect("a digest is a valid header value");
        response.headers_mut().insert(ENGINE_WEIGHTS, weights);
        response
    }
}

impl Generation {
    async fn whole_response(mut self) -> Response<Body> {
        let mut text = String::new();
        while let Some(token) = self.next_token().await {
            text.push_str(&token);
        }
        let choice = serde_json::json!({"message": {"role": "assistant", "content": text}});
        let mut response = json(StatusCode::OK, &serde_json::json!({"choices": [choice]}));
        if self.cut {
            let error = Err(io::ErrorKind::ConnectionReset.into());
            let start = Ok(Bytes::from_static(b"{\"choices\":["));
            *response.body_mut() = Body::stream(futures::stream::iter([start, error]));
        }
        response
    }

    fn streamed_response(self) -> Response<Body> {
        let events = futures::stream::unfold(Some(self), |generation| async {
            let mut generation = generation?;
            match generation.next_token().await {
                Some(token) => {
                    let delta = serde_json::json!({"choices": [{"delta": {"content": token}}]});
                    Some((
                        Ok(Bytes::from(format!("data: {delta}\n\n"))),
                        Some(generation),
                    ))
                }
                None if generation.cut => Some((Err(io::ErrorKind::ConnectionReset.into()), None)),
                None => Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None)),
            }
        });
        let mut response = response(StatusCode::OK, Body::stream(events));
        let content_type = header::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
    }

    /// Returns the next token after its configured delay, or `None` after the last one.
    async fn next_token(&mut self) -> Option<String> {
        if self.sent >= self.tokens {
            return None;
        }
        let delay_ms = {
            let switches = self.engine.control.switches();
            match self.sent {
                0 => switches.first_token_ms,
                _ => switches.token_ms,
            }
        };
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
        self.sent += 1;
        if self.engine.weights() != Some(self.weights) {
            self.engine.control.count("mixed_tokens", 1);
            // Marks the response as generated from more than one version, so that callers can detect it.
            return Some(format!("{}-mixed ", self.prompt));
        }
        Some(format!("{} ", self.prompt))
    }
}

/// Decrements `cut_answers` unless it is 0, and returns whether it did.
fn consume_cut_answer(switches: &mut Switches) -> bool {
    let cut = switches.cut_answers > 0;
    switches.cut_answers -= u32::from(cut);
    cut
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}
