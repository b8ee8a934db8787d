//! Verified weights on their way into the engine.

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

/// Chunks waiting for the engine above which no further ones are requested; it bounds the memory of the process.
const MAX_WAITING: usize = 8;

/// First and longest time before an engine that refused a chunk gets it again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Sends chunks to the engine in the order in which they were verified.
pub(super) struct Stager {
    queue: UnboundedSender<(ChunkIndex, Bytes)>,
    waiting: Rc<Cell<usize>>,
    _task: compio::runtime::JoinHandle<()>,
}

struct Engine {
    address: Option<SocketAddr>,
    http: Client,
    pin: Pin,
}

impl Stager {
    /// Starts to send `version` to the engine at `address`, if there is one; tells `inputs` when all chunks are staged.
    pub(super) fn start(
        address: Option<SocketAddr>,
        pin: Pin,
        version: Version,
        transfer: u64,
        inputs: UnboundedSender<Input>,
    ) -> Self {
        let (queue, chunks) = unbounded();
        let waiting = Rc::new(Cell::new(0));
        let engine = Engine {
            address,
            http: Client::new(),
            pin,
        };
        let counter = Rc::clone(&waiting);
        let task = compio::runtime::spawn(async move {
            engine.stage(&version, chunks, &counter).await;
            // The receiver ends only with the transfer itself.
            let _ = inputs.unbounded_send(Input::Staged { transfer });
        });
        Self {
            queue,
            waiting,
            _task: task,
        }
    }

    /// Queues a verified chunk.
    pub(super) fn push(&self, chunk: ChunkIndex, bytes: Bytes) {
        self.waiting.set(self.waiting.get() + 1);
        // The receiver is dropped only after every chunk of the version was staged.
        let _ = self.queue.unbounded_send((chunk, bytes));
    }

    /// Returns the counter of chunks that the engine hasn't taken yet.
    pub(super) fn waiting(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.waiting)
    }
}

/// Waits until the engine has taken enough chunks; `progress` is called meanwhile.
pub(super) async fn room(waiting: &Cell<usize>, progress: impl Fn()) {
    while waiting.get() >= MAX_WAITING {
        compio::time::sleep(Duration::from_millis(5)).await;
        progress();
    }
}

impl Engine {
    async fn stage(
        &self,
        version: &Version,
        mut chunks: UnboundedReceiver<(ChunkIndex, Bytes)>,
        waiting: &Cell<usize>,
    ) {
        let manifest = serde_json::to_vec(version.manifest()).expect("a manifest has a JSON form");
        self.put("manifest", manifest.into()).await;
        for _ in 0..version.chunk_count() {
            let Some((chunk, bytes)) = chunks.next().await else {
                return std::future::pending().await;
            };
            self.put(&format!("chunks/{chunk}"), bytes).await;
            waiting.set(waiting.get() - 1);
        }
    }

    /// Sends a part of the version until the engine takes it.
    async fn put(&self, part: &str, bytes: Bytes) {
        let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
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
        let answer = self
            .http
            .send(address, request, Instant::now() + super::CALL)
            .await?;
        let (parts, body) = answer.into_parts();
        body.collect(1 << 16).await?;
        if !parts.status.is_success() {
            return Err(super::fetch::Error::Status(parts.status));
        }
        Ok(())
    }
}
