//! Worker task that runs the transfers.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::{
    Action, Answer, Downloader, Grant, Members, RequestId, Setup, Source, StripeIndex, Version,
};
use compio::runtime::JoinHandle;
use futures::StreamExt;
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender};
use node::event;
use node::http::Client;
use weights::{ChunkIndex, Digest, Pin};

use super::fetch::Fetcher;
use super::stage::{Stager, wait_for_capacity};
use super::{Holdings, Input, Order, Origin, Progress, Settings, Transfer, manifest, permits};

/// Maximum interval between ticks of the downloader.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the chunk port learns when stripes were last drawn.
const DRAW_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the transfers of an agent, one at a time.
pub struct Worker {
    settings: Rc<Settings>,
    holdings: Rc<Holdings>,
    platform: Option<platform::Client>,
    on_complete: Box<dyn Fn(&Pin)>,
    handle: Transfer,
    receiver: UnboundedReceiver<Input>,
    members: Members,
    /// Whether the members have been set at least once.
    has_members: bool,
    /// Order received before the members were set.
    deferred_order: Option<Order>,
    /// Id of the current transfer.
    transfer: u64,
    current: Option<CurrentTransfer>,
}

/// The current order and the state of its transfer.
struct CurrentTransfer {
    order: Order,
    started: Instant,
    fetcher: Rc<Fetcher>,
    phase: Phase,
    complete: bool,
}

/// Phase of a transfer.
enum Phase {
    /// The manifest is being fetched. The downloader of the previous transfer is kept because it knows which peers to
    /// avoid.
    Manifest {
        previous: Option<Box<Downloader>>,
        _task: JoinHandle<()>,
    },
    /// Chunks are being fetched and staged, or all of them have been.
    Chunks(Box<ChunkTransfer>),
}

struct ChunkTransfer {
    downloader: Downloader,
    stager: Stager,
    requests: HashMap<RequestId, Request>,
    permits: HashMap<StripeIndex, JoinHandle<()>>,
    all_verified: bool,
}

struct Request {
    chunk: ChunkIndex,
    from: Source,
    started: Instant,
    _task: JoinHandle<()>,
}

impl Worker {
    pub(super) fn new(
        settings: Settings,
        holdings: Rc<Holdings>,
        platform: Option<platform::Client>,
        on_complete: Box<dyn Fn(&Pin)>,
        handle: &Transfer,
        receiver: UnboundedReceiver<Input>,
    ) -> Self {
        Self {
            settings: Rc::new(settings),
            holdings,
            platform,
            on_complete,
            handle: handle.clone(),
            receiver,
            members: Members::default(),
            has_members: false,
            deferred_order: None,
            transfer: 0,
            current: None,
        }
    }

    /// Handles the inputs from the handle; dropping the future cancels all requests.
    pub async fn run(mut self) {
        let mut last_tick = Instant::now();
        let mut last_draw_update = last_tick;
        loop {
            let deadline = self.deadline().min(last_tick + TICK_INTERVAL);
            match compio::time::timeout_at(deadline, self.receiver.next()).await {
                Ok(Some(input)) => self.handle(input),
                Ok(None) => return,
                Err(_) => {}
            }
            // If inputs arrive less than 1 ms apart, the timeout never fires, because the downloader's deadline is
            // always at least 1 ms away. The deadline is therefore also bounded by the last tick and checked after
            // each input.
            if Instant::now() >= deadline {
                last_tick = Instant::now();
                self.update(Downloader::tick);
            }
            if Instant::now() >= last_draw_update + DRAW_UPDATE_INTERVAL {
                last_draw_update = Instant::now();
                self.publish_last_draws(last_draw_update);
            }
            self.publish_progress();
        }
    }

    fn deadline(&self) -> Instant {
        let now = Instant::now();
        let downloader = self
            .chunks()
            .and_then(|chunks| chunks.downloader.deadline(now));
        downloader.map_or(now + TICK_INTERVAL, |deadline| {
            deadline.clamp(now + Duration::from_millis(1), now + TICK_INTERVAL)
        })
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::SetWanted(order) if !self.has_members => self.deferred_order = order,
            Input::SetWanted(order)
                if self.current.as_ref().map(|current| &current.order) == order.as_ref() => {}
            Input::SetWanted(order) => self.start_transfer(order),
            Input::Restage => {
                let order = self.current.as_ref().map(|current| current.order.clone());
                self.start_transfer(order);
            }
            Input::SetMembers(members) if self.has_members && members == self.members => {}
            Input::SetMembers(members) => self.set_members(members),
            Input::Manifest { transfer, version } if transfer == self.transfer => {
                self.start_chunks(version)
            }
            Input::Progress { transfer, request } if transfer == self.transfer => {
                if let Some(chunks) = self.chunks_mut() {
                    chunks.downloader.progress(request, Instant::now());
                }
            }
            Input::Answer {
                transfer,
                request,
                answer,
            } if transfer == self.transfer => {
                let request_state = self
                    .chunks_mut()
                    .and_then(|chunks| chunks.requests.remove(&request));
                let corrupted_before = self.corrupted();
                if let Some(request) = &request_state {
                    log_answer(request, &answer);
                }
                self.update(|downloader, now| downloader.handle_answer(request, answer, now));
                if let Some(request) = request_state.filter(|_| self.corrupted() > corrupted_before)
                {
                    self.log_corrupted(&request);
                }
            }
            Input::Permit {
                transfer,
                stripe,
                grant,
            } if transfer == self.transfer => {
                if let Some(chunks) = self.chunks_mut() {
                    chunks.permits.remove(&stripe);
                }
                self.update(|downloader, now| downloader.handle_grant(stripe, grant, now));
            }
            Input::Staged { transfer } if transfer == self.transfer => self.handle_staged(),
            // The input belongs to a stopped transfer.
            _ => {}
        }
    }

    /// Stops the current transfer and, if there is an `order`, starts one for it by fetching the manifest.
    fn start_transfer(&mut self, order: Option<Order>) {
        self.transfer += 1;
        if self
            .current
            .as_ref()
            .is_some_and(|current| !current.complete)
        {
            self.holdings.metrics.record_stopped();
        }
        let previous = self.current.take().and_then(|current| match current.phase {
            Phase::Manifest { previous, .. } => previous,
            Phase::Chunks(chunks) => Some(Box::new(chunks.downloader)),
        });
        self.current = order.map(|order| {
            let fetcher = Rc::new(Fetcher {
                settings: Rc::clone(&self.settings),
                holdings: Rc::clone(&self.holdings),
                http: Client::new(),
                origin_http: match self.settings.origin {
                    Origin::Store(_) => Client::new(),
                    Origin::Parts(_) => Client::new().without_keep_alive(),
                },
                pin: order.pin.clone(),
                partials: Rc::default(),
            });
            let task = self.spawn_manifest(Rc::clone(&fetcher), &order);
            CurrentTransfer {
                order,
                started: Instant::now(),
                fetcher,
                phase: Phase::Manifest {
                    previous,
                    _task: task,
                },
                complete: false,
            }
        });
    }

    fn spawn_manifest(&self, fetcher: Rc<Fetcher>, order: &Order) -> JoinHandle<()> {
        let (members, plan, transfer) = (self.members.clone(), order.plan, self.transfer);
        let held = self.holdings.version(&order.pin.digest);
        let inputs = self.handle.inputs.clone();
        compio::runtime::spawn(async move {
            let version = match held {
                Some(version) => version,
                None => manifest::fetch(&fetcher, &members, plan).await,
            };
            let _ = inputs.unbounded_send(Input::Manifest { transfer, version });
        })
    }

    fn start_chunks(&mut self, version: Version) {
        let Some(current) = self.current.take() else {
            return;
        };
        let Phase::Manifest { previous, .. } = current.phase else {
            return;
        };
        self.holdings.add_version(&version);
        let inputs = self.handle.inputs.clone();
        let pin = current.order.pin.clone();
        let stager = Stager::start(
            self.settings.engine,
            pin,
            version.clone(),
            self.transfer,
            inputs,
        );
        for chunk in 0..version.chunk_count() {
            if let Some(bytes) = self.holdings.chunk(&version.chunk_digest(chunk)) {
                stager.push(chunk, bytes);
            }
        }
        let (downloader, actions) = self.start_downloader(previous, &current.order, version);
        node::event!(
            event::TRANSFER_STARTED,
            pin = current.order.pin,
            chunks = downloader.version().chunk_count(),
            missing = downloader.missing()
        );
        let chunks = ChunkTransfer {
            downloader,
            stager,
            requests: HashMap::new(),
            permits: HashMap::new(),
            all_verified: false,
        };
        self.current = Some(CurrentTransfer {
            phase: Phase::Chunks(Box::new(chunks)),
            ..current
        });
        self.perform(actions);
        self.keep_owned_chunks();
    }

    fn start_downloader(
        &self,
        previous: Option<Box<Downloader>>,
        order: &Order,
        version: Version,
    ) -> (Downloader, Vec<Action>) {
        let now = Instant::now();
        let held = |digest: &Digest| self.holdings.contains(digest);
        let local = self.settings.local.clone();
        // Unique per process and transfer, because the grants of an earlier transfer may have been used.
        let holder = format!(
            "{}/{}/{}",
            local.name, self.settings.incarnation, self.transfer
        );
        let (mut downloader, mut actions) = match previous {
            Some(previous) => previous.replace(holder, order.plan, version, held, now),
            None => {
                let setup = Setup {
                    seed: Digest::of(holder.as_bytes()).prefix(),
                    local,
                    holder_prefix: holder,
                    plan: order.plan,
                    max_requests: self.settings.max_requests,
                    max_upstream_requests: self.settings.max_upstream_requests,
                    max_retry_delay: self.settings.max_retry_delay,
                    origin_chunk_time: order.origin_chunk_time,
                };
                Downloader::start(setup, version, &self.members, held, now)
            }
        };
        if let Some(since) = order.draws_since {
            downloader.set_draws_since(since);
        }
        actions.extend(downloader.set_members(&self.members, now));
        (downloader, actions)
    }

    fn set_members(&mut self, members: Members) {
        self.holdings.set_members(&members);
        self.update(|downloader, now| downloader.set_members(&members, now));
        self.members = members;
        self.keep_owned_chunks();
        self.has_members = true;
        if let Some(order) = self.deferred_order.take() {
            self.start_transfer(Some(order));
        }
    }

    /// Passes an event to the downloader and performs the resulting actions.
    fn update(&mut self, event: impl FnOnce(&mut Downloader, Instant) -> Vec<Action>) {
        if let Some(chunks) = self.chunks_mut() {
            let actions = event(&mut chunks.downloader, Instant::now());
            self.perform(actions);
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Fetch {
                    request,
                    chunk,
                    from,
                } => self.fetch(request, chunk, from),
                Action::Cancel { request } => {
                    if let Some(chunks) = self.chunks_mut() {
                        chunks.requests.remove(&request);
                    }
                }
                Action::RequestPermit {
                    stripe,
                    holder,
                    read_first,
                } => self.request_permit(stripe, holder, read_first),
                Action::Stage {
                    chunk,
                    content,
                    keep,
                } => {
                    if let Some(chunks) = self.chunks_mut() {
                        chunks.stager.push(chunk, content.bytes());
                    }
                    self.holdings.insert(content, keep);
                }
                Action::Complete(complete) => {
                    if let Some(chunks) = self.chunks_mut() {
                        chunks.all_verified =
                            chunks.downloader.version().digest() == complete.digest();
                    }
                }
            }
        }
    }

    fn fetch(&mut self, request: RequestId, chunk: ChunkIndex, from: Source) {
        let transfer = self.transfer;
        let Some(current) = &mut self.current else {
            return;
        };
        let Phase::Chunks(chunks) = &mut current.phase else {
            return;
        };
        let inputs = self.handle.inputs.clone();
        let fetcher = Rc::clone(&current.fetcher);
        let version = chunks.downloader.version().clone();
        let no_wait = chunks.downloader.expects_immediate_answer(request);
        let unstaged = chunks.stager.unstaged();
        let task = compio::runtime::spawn(async move {
            let progress = || send(&inputs, Input::Progress { transfer, request });
            wait_for_capacity(&unstaged, progress).await;
            let answer = match from {
                Source::Peer(peer) => {
                    fetcher
                        .fetch_from_peer(&version, chunk, (peer, no_wait), progress)
                        .await
                }
                Source::Origin => fetcher.draw(&version, chunk, progress).await,
            };
            send(
                &inputs,
                Input::Answer {
                    transfer,
                    request,
                    answer,
                },
            );
        });
        let request_state = Request {
            chunk,
            from,
            started: Instant::now(),
            _task: task,
        };
        chunks.requests.insert(request, request_state);
    }

    fn request_permit(&mut self, stripe: StripeIndex, holder: String, read_first: bool) {
        let transfer = self.transfer;
        let inputs = self.handle.inputs.clone();
        let Some(platform) = self.platform.clone() else {
            return send(
                &inputs,
                Input::Permit {
                    transfer,
                    stripe,
                    grant: Grant::Granted,
                },
            );
        };
        let metrics = self.holdings.metrics.clone();
        if let Some(chunks) = self.chunks_mut() {
            let name = chunks.downloader.version().stripes().object_name(stripe);
            let task = compio::runtime::spawn(async move {
                let grant = permits::request(&platform, &name, &holder, read_first).await;
                metrics.record_permit(grant);
                send(
                    &inputs,
                    Input::Permit {
                        transfer,
                        stripe,
                        grant,
                    },
                );
            });
            chunks.permits.insert(stripe, task);
        }
    }

    fn handle_staged(&mut self) {
        let Some(chunks) = self.chunks().filter(|chunks| chunks.all_verified) else {
            return;
        };
        let stats = chunks.downloader.stats();
        if let Some(current) = &mut self.current {
            current.complete = true;
            self.holdings
                .metrics
                .record_complete(current.started.elapsed());
            node::event!(
                event::TRANSFER_COMPLETE,
                pin = current.order.pin,
                ms = current.started.elapsed().as_millis(),
                peers = stats.from_peers,
                origin = stats.from_origin
            );
            (self.on_complete)(&current.order.pin);
        }
    }

    /// Keeps the chunks of the stripes that this agent must retain for others and moves all other chunks to the cache.
    fn keep_owned_chunks(&self) {
        let Some(chunks) = self.chunks() else {
            return;
        };
        let version = chunks.downloader.version();
        let stripes =
            (0..version.stripes().count()).filter(|stripe| chunks.downloader.must_keep(*stripe));
        let kept: HashSet<Digest> = stripes
            .flat_map(|stripe| version.stripes().chunk_range(stripe))
            .map(|chunk| version.chunk_digest(chunk))
            .collect();
        self.holdings.keep_only(|digest| kept.contains(digest));
    }

    /// Passes the times at which the stripes were last known to be drawn to the chunk port, or none once all chunks are
    /// verified.
    fn publish_last_draws(&self, now: Instant) {
        let chunks = self
            .chunks()
            .filter(|chunks| chunks.downloader.missing() > 0);
        let last_draws = chunks.map(|chunks| {
            let version = chunks.downloader.version();
            let stripes = 0..version.stripes().count();
            let last_draws = stripes.map(|stripe| chunks.downloader.last_draw(stripe, now));
            (version.digest(), last_draws.collect())
        });
        self.holdings.set_last_draws(last_draws);
    }

    fn publish_progress(&self) {
        let progress = self.chunks().map(|chunks| Progress {
            chunks: chunks.downloader.version().chunk_count(),
            missing: chunks.downloader.missing() as u32,
            stats: chunks.downloader.stats(),
        });
        let progress = progress.unwrap_or_default();
        let previous = self.handle.progress.replace(progress);
        let (chunks, missing) = (progress.chunks, progress.missing);
        self.holdings
            .metrics
            .update_progress(chunks, missing, previous.stats, progress.stats);
    }

    fn corrupted(&self) -> u32 {
        self.chunks()
            .map_or(0, |chunks| chunks.downloader.stats().corrupted)
    }

    fn log_corrupted(&self, request: &Request) {
        if let Some(current) = &self.current {
            let pin = &current.order.pin;
            match request.from {
                Source::Peer(peer) => {
                    node::event!(
                        event::CHUNK_CORRUPTED,
                        pin = pin,
                        chunk = request.chunk,
                        from = peer
                    );
                }
                Source::Origin => {
                    node::event!(
                        event::CHUNK_CORRUPTED,
                        pin = pin,
                        chunk = request.chunk,
                        from = "store"
                    );
                }
            }
        }
    }

    fn chunks(&self) -> Option<&ChunkTransfer> {
        match &self.current.as_ref()?.phase {
            Phase::Chunks(chunks) => Some(chunks),
            Phase::Manifest { .. } => None,
        }
    }

    fn chunks_mut(&mut self) -> Option<&mut ChunkTransfer> {
        match &mut self.current.as_mut()?.phase {
            Phase::Chunks(chunks) => Some(chunks),
            Phase::Manifest { .. } => None,
        }
    }
}

fn log_answer(request: &Request, answer: &Answer) {
    let answer = match answer {
        Answer::Bytes(_) => "bytes",
        Answer::Holders(_) => "holders",
        Answer::NotYet(_) => "not-yet",
        Answer::Drawing { .. } => "drawing",
        Answer::Unknown(_) => "unknown",
        Answer::Failed => "failed",
    };
    node::event!(
        event::CHUNK_ANSWERED,
        chunk = request.chunk,
        from = format_args!("{:?}", request.from),
        answer = answer,
        ms = request.started.elapsed().as_millis()
    );
}

fn send(inputs: &UnboundedSender<Input>, input: Input) {
    // Fails only if the worker was dropped, which also cancels all tasks.
    let _ = inputs.unbounded_send(input);
}
