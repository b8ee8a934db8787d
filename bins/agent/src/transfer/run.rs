//! The task that runs transfers.

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
use super::stage::{Stager, room};
use super::{Holdings, Input, Order, Origin, Progress, Settings, Transfer, manifest, permits};

/// Longest time between two looks at the downloader.
const TICK: Duration = Duration::from_millis(250);
/// Time between two words to the chunk port about what is drawn.
const DRAWN_TIME: Duration = Duration::from_millis(200);

/// Runs transfers one after the other.
pub struct Worker {
    settings: Rc<Settings>,
    holdings: Rc<Holdings>,
    platform: Option<platform::Client>,
    on_complete: Box<dyn Fn(&Pin)>,
    handle: Transfer,
    receiver: UnboundedReceiver<Input>,
    members: Members,
    /// Whether the members were set once.
    introduced: bool,
    /// Order that waits for the members.
    deferred: Option<Order>,
    /// Number of the current transfer.
    transfer: u64,
    current: Option<Current>,
}

/// The wanted weights and how far they are.
struct Current {
    order: Order,
    since: Instant,
    fetcher: Rc<Fetcher>,
    stage: Stage,
    complete: bool,
}

/// Life cycle of a transfer.
enum Stage {
    /// The manifest is being fetched. The downloader of the transfer before knows which peers to avoid.
    Manifest {
        before: Option<Box<Downloader>>,
        _task: JoinHandle<()>,
    },
    /// Chunks are being fetched and staged, or all are.
    Chunks(Box<Chunks>),
}

struct Chunks {
    downloader: Downloader,
    stager: Stager,
    requests: HashMap<RequestId, Request>,
    permits: HashMap<StripeIndex, JoinHandle<()>>,
    verified: bool,
}

struct Request {
    chunk: ChunkIndex,
    from: Source,
    since: Instant,
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
            introduced: false,
            deferred: None,
            transfer: 0,
            current: None,
        }
    }

    /// Reacts to the handle's inputs; dropping the future stops all requests.
    pub async fn run(mut self) {
        let mut looked = Instant::now();
        let mut told = looked;
        loop {
            let deadline = self.deadline().min(looked + TICK);
            match compio::time::timeout_at(deadline, self.receiver.next()).await {
                Ok(Some(input)) => self.handle(input),
                Ok(None) => return,
                Err(_) => {}
            }
            // Inputs may arrive so fast that the timeout is never reported and that each new deadline, at least 1 ms
            // away, comes after the next input.
            if Instant::now() >= deadline {
                looked = Instant::now();
                self.update(Downloader::tick);
            }
            if Instant::now() >= told + DRAWN_TIME {
                told = Instant::now();
                self.tell_drawn(told);
            }
            self.report();
        }
    }

    fn deadline(&self) -> Instant {
        let now = Instant::now();
        let downloader = self
            .chunks()
            .and_then(|chunks| chunks.downloader.deadline(now));
        downloader.map_or(now + TICK, |deadline| {
            deadline.clamp(now + Duration::from_millis(1), now + TICK)
        })
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Want(order) if !self.introduced => self.deferred = order,
            Input::Want(order)
                if self.current.as_ref().map(|current| &current.order) == order.as_ref() => {}
            Input::Want(order) => self.begin(order),
            Input::Restage => {
                let order = self.current.as_ref().map(|current| current.order.clone());
                self.begin(order);
            }
            Input::Members(members) if self.introduced && members == self.members => {}
            Input::Members(members) => self.set_members(members),
            Input::Manifest { transfer, version } if transfer == self.transfer => {
                self.transfer_chunks(version)
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
                let done = self
                    .chunks_mut()
                    .and_then(|chunks| chunks.requests.remove(&request));
                let corrupted = self.corrupted();
                if let Some(request) = &done {
                    log_answer(request, &answer);
                }
                self.update(|downloader, now| downloader.handle_answer(request, answer, now));
                if let Some(request) = done.filter(|_| self.corrupted() > corrupted) {
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
            Input::Staged { transfer } if transfer == self.transfer => self.complete(),
            // The input belongs to a transfer that was stopped.
            _ => {}
        }
    }

    /// Stops the current transfer and starts one for `order` with its manifest.
    fn begin(&mut self, order: Option<Order>) {
        self.transfer += 1;
        if self
            .current
            .as_ref()
            .is_some_and(|current| !current.complete)
        {
            self.holdings.metrics.stopped();
        }
        let before = self.current.take().and_then(|current| match current.stage {
            Stage::Manifest { before, .. } => before,
            Stage::Chunks(chunks) => Some(Box::new(chunks.downloader)),
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
            Current {
                order,
                since: Instant::now(),
                fetcher,
                stage: Stage::Manifest {
                    before,
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
                None => manifest::find(&fetcher, &members, plan).await,
            };
            let _ = inputs.unbounded_send(Input::Manifest { transfer, version });
        })
    }

    fn transfer_chunks(&mut self, version: Version) {
        let Some(current) = self.current.take() else {
            return;
        };
        let Stage::Manifest { before, .. } = current.stage else {
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
        let (downloader, actions) = self.start_downloader(before, &current.order, version);
        node::event!(
            event::TRANSFER_STARTED,
            pin = current.order.pin,
            chunks = downloader.version().chunk_count(),
            missing = downloader.missing()
        );
        let chunks = Chunks {
            downloader,
            stager,
            requests: HashMap::new(),
            permits: HashMap::new(),
            verified: false,
        };
        self.current = Some(Current {
            stage: Stage::Chunks(Box::new(chunks)),
            ..current
        });
        self.perform(actions);
        self.keep_owned();
    }

    fn start_downloader(
        &self,
        before: Option<Box<Downloader>>,
        order: &Order,
        version: Version,
    ) -> (Downloader, Vec<Action>) {
        let now = Instant::now();
        let held = |digest: &Digest| self.holdings.contains(digest);
        let me = self.settings.local.clone();
        // Unique per process and transfer: grants of an earlier transfer may be spent.
        let holder = format!(
            "{}/{}/{}",
            me.name, self.settings.incarnation, self.transfer
        );
        match before {
            Some(before) => {
                let (mut downloader, mut actions) =
                    before.replace(holder, order.plan, version, held, now);
                actions.extend(downloader.set_members(&self.members, now));
                (downloader, actions)
            }
            None => {
                let setup = Setup {
                    seed: Digest::of(holder.as_bytes()).prefix(),
                    local: me,
                    holder_prefix: holder,
                    plan: order.plan,
                    max_requests: self.settings.max_requests,
                    max_upstream_requests: self.settings.max_upstream_requests,
                    max_retry_delay: self.settings.max_retry_delay,
                    origin_chunk_time: order.origin_chunk_time,
                };
                Downloader::start(setup, version, &self.members, held, now)
            }
        }
    }

    fn set_members(&mut self, members: Members) {
        self.holdings.set_members(&members);
        self.update(|downloader, now| downloader.set_members(&members, now));
        self.members = members;
        self.keep_owned();
        self.introduced = true;
        if let Some(order) = self.deferred.take() {
            self.begin(Some(order));
        }
    }

    /// Passes an event to the downloader and performs its actions.
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
                } => self.ask_permit(stripe, holder, read_first),
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
                        chunks.verified = chunks.downloader.version().digest() == complete.digest();
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
        let Stage::Chunks(chunks) = &mut current.stage else {
            return;
        };
        let inputs = self.handle.inputs.clone();
        let fetcher = Rc::clone(&current.fetcher);
        let version = chunks.downloader.version().clone();
        let waiting = chunks.stager.waiting();
        let task = compio::runtime::spawn(async move {
            let progress = || send(&inputs, Input::Progress { transfer, request });
            room(&waiting, progress).await;
            let answer = match from {
                Source::Peer(peer) => fetcher.request(&version, chunk, peer, progress).await,
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
        let record = Request {
            chunk,
            from,
            since: Instant::now(),
            _task: task,
        };
        chunks.requests.insert(request, record);
    }

    fn ask_permit(&mut self, stripe: StripeIndex, holder: String, read: bool) {
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
                let grant = permits::ask(&platform, &name, &holder, read).await;
                metrics.permit(grant);
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

    fn complete(&mut self) {
        let Some(chunks) = self.chunks().filter(|chunks| chunks.verified) else {
            return;
        };
        let stats = chunks.downloader.stats();
        if let Some(current) = &mut self.current {
            current.complete = true;
            self.holdings.metrics.complete(current.since.elapsed());
            node::event!(
                event::TRANSFER_COMPLETE,
                pin = current.order.pin,
                ms = current.since.elapsed().as_millis(),
                peers = stats.from_peers,
                origin = stats.from_origin
            );
            (self.on_complete)(&current.order.pin);
        }
    }

    /// Keeps the chunks of the stripes that this agent serves to others and leaves all others to the cache.
    fn keep_owned(&self) {
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

    /// Tells the chunk port when the missing stripes were last known to be drawn.
    fn tell_drawn(&self, now: Instant) {
        let chunks = self
            .chunks()
            .filter(|chunks| chunks.downloader.missing() > 0);
        let drawn = chunks.map(|chunks| {
            let version = chunks.downloader.version();
            let stripes = 0..version.stripes().count();
            let drawn = stripes.map(|stripe| chunks.downloader.last_draw(stripe, now));
            (version.digest(), drawn.collect())
        });
        self.holdings.set_drawn(drawn);
    }

    fn report(&self) {
        let progress = self.chunks().map(|chunks| Progress {
            chunks: chunks.downloader.version().chunk_count(),
            missing: chunks.downloader.missing() as u32,
            stats: chunks.downloader.stats(),
        });
        let progress = progress.unwrap_or_default();
        let before = self.handle.progress.replace(progress);
        let (chunks, missing) = (progress.chunks, progress.missing);
        self.holdings
            .metrics
            .progress(chunks, missing, before.stats, progress.stats);
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

    fn chunks(&self) -> Option<&Chunks> {
        match &self.current.as_ref()?.stage {
            Stage::Chunks(chunks) => Some(chunks),
            Stage::Manifest { .. } => None,
        }
    }

    fn chunks_mut(&mut self) -> Option<&mut Chunks> {
        match &mut self.current.as_mut()?.stage {
            Stage::Chunks(chunks) => Some(chunks),
            Stage::Manifest { .. } => None,
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
        ms = request.since.elapsed().as_millis()
    );
}

fn send(inputs: &UnboundedSender<Input>, input: Input) {
    // The receiver ends only with the worker, which cancels all tasks.
    let _ = inputs.unbounded_send(input);
}
