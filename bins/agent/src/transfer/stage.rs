//! Sends verified chunks to the engine.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::Version;
use bytes::Bytes;
use futures::StreamExt;
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use node::http::{Body, Client, Request};
use node::{Backoff, event};
use weights::{ChunkIndex, Pin};

use super::Input;

/// No further chunks are requested while this many are unstaged, which bounds the memory of the process.
const MAX_UNSTAGED: usize = 8;

/// First and maximum delay before a chunk that the engine didn't accept is sent again.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Sends chunks to the engine in the order in which they were verified.
pub(super) struct Stager {
    queue: UnboundedSender<(ChunkIndex, Bytes)>,
    unstaged: Rc<Cell<usize>>,
    _task: compio::runtime::JoinHandle<()>,
}

struct EngineClient {
    address: Option<SocketAddr>,
    http: Client,
    pin: Pin,
}

impl Stager {
    /// Starts to send `version` to the engine at `address`, if any. Sends [`Input::Staged`] once all chunks are staged.
    pub(super) fn start(
        address: Option<SocketAddr>,
        pin: Pin,
        version: Version,
        transfer: u64,
        inputs: UnboundedSender<Input>,
    ) -> Self {
        let (queue, chunks) = unbounded();
        let unstaged = Rc::new(Cell::new(0));
        let engine = EngineClient {
            address,
            http: Client::new(),
            pin,
        };
        let counter = Rc::clone(&unstaged);
        let task = compio::runtime::spawn(async move {
            engine.stage(&version, chunks, &counter).await;
            // Fails only if the worker was dropped.
            let _ = inputs.unbounded_send(Input::Staged { transfer });
        });
        Self {
            queue,
            unstaged,
            _task: task,
        }
    }

    /// Queues a verified chunk.
    pub(super) fn push(&self, chunk: ChunkIndex, bytes: Bytes) {
        self.unstaged.set(self.unstaged.get() + 1);
        // Fails only if all chunks of the version have been staged.
        let _ = self.queue.unbounded_send((chunk, bytes));
    }

    /// Returns the counter of the queued chunks that the engine hasn't accepted yet.
    pub(super) fn unstaged(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.unstaged)
    }
}

/// Waits until fewer than [`MAX_UNSTAGED`] chunks are unstaged; `progress` is called periodically meanwhile.
pub(super) async fn wait_for_capacity(unstaged: &Cell<usize>, progress: impl Fn()) {
    while unstaged.get() >= MAX_UNSTAGED {
        compio::time::sleep(Duration::from_millis(5)).await;
        progress();
    }
}

impl EngineClient {
    async fn stage(
        &self,
        version: &Version,
        mut chunks: UnboundedReceiver<(ChunkIndex, Bytes)>,
        unstaged: &Cell<usize>,
    ) {
        let manifest = serde_json::to_vec(version.manifest()).expect("manifests serialize to JSON");
        self.put("manifest", manifest.into()).await;
        for _ in 0..version.chunk_count() {
            let Some((chunk, bytes)) = chunks.next().await else {
                return std::future::pending().await;
            };
            self.put(&format!("chunks/{chunk}"), bytes).await;
            unstaged.set(unstaged.get() - 1);
        }
    }

    /// Sends a part of the version, the manifest or a chunk, until the engine accepts it.
    async fn put(&self, part: &str, bytes: Bytes) {
        let mut backoff = Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1);
        while let Err(error) = self.try_put(part, bytes.clone()).await {
            node::event!(
                event::STAGE_FAILED,
                pin = self.pin,
                chunk = part,
                error = error
            );
            compio::time::sleep(backoff.record_failure()).await;
        }
    }

    async fn try_put(&self, part: &str, bytes: Bytes) -> Result<(), super::fetch::Error> {
        let Some(address) = self.address else {
            return Ok(());
        };
        let path = format!("/weights/{}/{part}", self.pin.digest);
        let request = Request::put(path).body(Body::from(bytes))?;
        let response = self
            .http
            .send(address, request, Instant::now() + super::CALL_TIMEOUT)
            .await?;
        let (parts, body) = response.into_parts();
        body.collect(1 << 16).await?;
        if !parts.status.is_success() {
            return Err(super::fetch::Error::Status(parts.status));
        }
        Ok(())
    }
}
