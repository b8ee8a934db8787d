//! Latency model of an engine that serves requests by continuous batching.

use std::time::Duration;

use crate::config::Engine;

/// Share of the objective that the reading of the prompts at an engine may take.
const READING_OBJECTIVE_SHARE: f64 = 0.6;

/// Work that an engine holds at the time of an estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Occupancy {
    /// Requests that run or wait at the engine.
    pub requests: f64,
    /// Prompt tokens that the engine must read before those of a new request.
    pub unread_prompt_tokens: f64,
    /// Factor by which the engine is slower than the configured model.
    pub slowdown: f64,
}

impl Engine {
    /// Returns the duration of one decoding step with `running` requests of mean size, in milliseconds.
    pub(crate) fn step_time_ms(&self, running: f64) -> f64 {
        let context = running * (self.mean_prompt_tokens + self.mean_output_tokens / 2.0) / 1000.0;
        self.base_step_ms
            + running * self.step_ms_per_request
            + context * self.step_ms_per_1k_context
    }

    /// Returns the mean time between two request completions on a full engine, in milliseconds.
    ///
    /// While a full batch generates its answers, the engine also reads the prompts of the requests that follow.
    pub(crate) fn completion_interval_ms(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        self.mean_output_tokens * self.step_time_ms(slots) / slots
            + self.mean_prompt_tokens / self.prefill_tokens_per_ms
    }

    /// Returns the time that a full engine takes to generate `tokens` tokens of one answer.
    pub(crate) fn generation_time(&self, tokens: f64) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let token_ms = self.completion_interval_ms() * slots / self.mean_output_tokens.max(1.0);
        Duration::from_secs_f64((tokens * token_ms).clamp(0.0, 3.6e6) / 1000.0)
    }

    /// Returns the number of prompt tokens that may be unread at an engine, so that those of a request with `objective`
    /// are read on time with them; at least one prompt of mean size.
    pub(crate) fn unread_limit(&self, objective: Duration, slowdown: f64) -> f64 {
        let pass_ms =
            self.step_time_ms(f64::from(self.slots)) * f64::from(self.tokens_per_event.max(1));
        let objective_ms = objective.as_secs_f64() * 1000.0 / slowdown.max(1.0);
        let reading_ms = objective_ms * READING_OBJECTIVE_SHARE - pass_ms;
        (reading_ms * self.prefill_tokens_per_ms).max(self.mean_prompt_tokens)
    }

    /// Estimates the time to the first token of a new request with `prompt` prompt tokens.
    pub(crate) fn time_to_first_token(&self, occupancy: Occupancy, prompt: f64) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let ahead = (occupancy.requests + 1.0 - slots).max(0.0);
        let running = occupancy.requests.min(slots);
        let prompt_ms = (occupancy.unread_prompt_tokens + prompt) / self.prefill_tokens_per_ms;
        // Prompts are read between the steps of running requests: the steps up to their next event come first.
        let first_step_ms = match running > 0.0 {
            true => self.step_time_ms(running) * f64::from(self.tokens_per_event.max(1)),
            false => self.base_step_ms,
        };
        let ms = (ahead * self.completion_interval_ms() + prompt_ms + first_step_ms)
            * occupancy.slowdown.max(1.0);
        Duration::from_secs_f64(ms.clamp(0.0, 3.6e6) / 1000.0)
    }
}
