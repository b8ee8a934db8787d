//! The weight store: manifests and ranges of deterministic weights over a link of limited rate.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use node::http::{Body, Method, Request, Response, StatusCode, header, json, response};
use node::settings::{Fields, Settings};
use serde::{Deserialize, Serialize};
use weights::{Algorithm, Digest, Manifest};

use crate::control::Control;
use crate::server::{self, Standin};

/// Bytes that are sent at once; the link's rate is shared at this grain.
const PIECE: u64 = 16 << 10;

/// Settings of the store's stand-in.
pub struct StoreSettings {
    listen: SocketAddr,
    bytes_per_s: u64,
    models: Vec<Model>,
}

/// A version in the store.
struct Model {
    name: String,
    version: String,
    size: u64,
    chunk_size: u32,
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Switches {
    /// Whether every call is answered with 503.
    down: bool,
    /// Delay before each answer, in milliseconds.
    slow_ms: u64,
    /// Rate of the link, shared by all connections; 0 for no limit.
    bytes_per_s: u64,
    /// Whether the first byte of each range is wrong.
    corrupt: bool,
}

/// Content of a version, made from its name alone.
struct Weights {
    manifest: Manifest,
    content: blake3::Hasher,
}

struct Store {
    control: Control<Switches>,
    versions: HashMap<(String, String), Weights>,
    /// When the link has sent everything that was handed to it.
    link_free: Cell<Instant>,
}

impl Settings for StoreSettings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let listen = fields.required("listen", "an IP address and port");
        let bytes_per_s = fields.number("bytes_per_s", 0..=u64::MAX, Some(0));
        let models = fields.objects("models");
        Some(Self {
            listen: listen?,
            bytes_per_s: bytes_per_s?,
            models: models?,
        })
    }
}

impl Settings for Model {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.text("name");
        let version = fields.text("version");
        let size = fields.number("size", 1..=1 << 40, None);
        let chunk_size = fields.number("chunk_size", 1..=64 << 20, Some(1 << 20));
        Some(Self {
            name: name?,
            version: version?,
            size: size?,
            chunk_size: chunk_size?,
        })
    }
}

/// Serves the store's stand-in.
pub async fn run(settings: StoreSettings) -> io::Result<()> {
    let switches = Switches {
        down: false,
        slow_ms: 0,
        bytes_per_s: settings.bytes_per_s,
        corrupt: false,
    };
    let versions = settings.models.into_iter().map(|model| {
        let weights = Weights::new(&model);
        ((model.name, model.version), weights)
    });
    let store = Store {
        control: Control::new("store", switches),
        versions: versions.collect(),
        link_free: Cell::new(Instant::now()),
    };
    server::run(settings.listen, store).await
}

impl Weights {
    fn new(model: &Model) -> Self {
        let mut content = blake3::Hasher::new();
        content.update(format!("{}@{}#{}", model.name, model.version, model.size).as_bytes());
        let chunk_size = u64::from(model.chunk_size);
        let chunks = (0..model.size.div_ceil(chunk_size)).map(|index| {
            let start = index * chunk_size;
            let end = model.size.min(start + chunk_size);
            Digest::of(&read(&content, start..end))
        });
        let manifest = Manifest {
            size: model.size,
            chunk_size: model.chunk_size,
            chunks: chunks.collect(),
            algorithm: Algorithm::Blake3,
        };
        Self { manifest, content }
    }
}

impl Standin for Store {
    type Switches = Switches;

    fn control(&self) -> &Control<Switches> {
        &self.control
    }

    async fn answer(self: Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        let slow = Duration::from_millis(self.control.switches().slow_ms);
        if !slow.is_zero() {
            compio::time::sleep(slow).await;
        }
        if self.control.switches().down {
            return response(StatusCode::SERVICE_UNAVAILABLE, "the store is down");
        }
        let path: Vec<_> = request.uri().path().split('/').collect();
        let (&Method::GET, ["", "weights", name, version, what]) = (request.method(), &path[..])
        else {
            return response(StatusCode::NOT_FOUND, "no such path");
        };
        let Some(weights) = self.versions.get(&(name.to_string(), version.to_string())) else {
            return response(StatusCode::NOT_FOUND, "no such version");
        };
        match *what {
            "manifest" => {
                self.control.count("manifests", 1);
                json(StatusCode::OK, &weights.manifest)
            }
            "data" => {
                let content = weights.content.clone();
                let size = weights.manifest.size;
                self.data(content, size, request.headers().get(header::RANGE))
            }
            _ => response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn forget(&self) {}
}

impl Store {
    fn data(
        self: &Rc<Self>,
        content: blake3::Hasher,
        size: u64,
        asked: Option<&header::HeaderValue>,
    ) -> Response<Body> {
        self.control.count("ranges", 1);
        let Some(range) = asked.map_or(Some(0..size), |asked| range(asked, size)) else {
            let mut refusal = response(StatusCode::RANGE_NOT_SATISFIABLE, "");
            insert(
                &mut refusal,
                header::CONTENT_RANGE,
                format!("bytes */{size}"),
            );
            return refusal;
        };
        let body = self.clone().stream(content, range.clone());
        let mut answer = response(StatusCode::OK, body);
        let length = range.end - range.start;
        insert(&mut answer, header::CONTENT_LENGTH, length.to_string());
        if asked.is_some() {
            *answer.status_mut() = StatusCode::PARTIAL_CONTENT;
            let content_range = format!("bytes {}-{}/{size}", range.start, range.end - 1);
            insert(&mut answer, header::CONTENT_RANGE, content_range);
        }
        answer
    }

    fn stream(self: Rc<Self>, content: blake3::Hasher, range: Range<u64>) -> Body {
        let corrupt = self.control.switches().corrupt;
        let start = range.start;
        Body::stream(futures::stream::unfold(start, move |position| {
            let (store, content, end) = (self.clone(), content.clone(), range.end);
            async move {
                if position >= end {
                    return None;
                }
                let next = end.min(position + PIECE);
                store.pass_link(next - position).await;
                let mut piece = read(&content, position..next);
                if corrupt && position == start {
                    piece[0] ^= 0xff;
                }
                Some((Ok(Bytes::from(piece)), next))
            }
        }))
    }

    /// Waits until the link has sent `length` more bytes, and counts them.
    async fn pass_link(&self, length: u64) {
        let rate = self.control.switches().bytes_per_s;
        if rate > 0 {
            let time = Duration::from_secs_f64(length as f64 / rate as f64);
            let sent = self.link_free.get().max(Instant::now()) + time;
            self.link_free.set(sent);
            compio::time::sleep_until(sent).await;
        }
        self.control.count("bytes_drawn", length);
    }
}

fn read(content: &blake3::Hasher, range: Range<u64>) -> Vec<u8> {
    let mut bytes = vec![0; (range.end - range.start) as usize];
    let mut reader = content.finalize_xof();
    reader.set_position(range.start);
    reader.fill(&mut bytes);
    bytes
}

/// Reads a range such as `bytes=0-99`; the end may be missing.
fn range(value: &header::HeaderValue, size: u64) -> Option<Range<u64>> {
    let (start, end) = value
        .to_str()
        .ok()?
        .strip_prefix("bytes=")?
        .split_once('-')?;
    let start: u64 = start.parse().ok()?;
    let end = match end {
        "" => size,
        end => end.parse::<u64>().ok()?.checked_add(1)?.min(size),
    };
    (start < end).then_some(start..end)
}

fn insert(response: &mut Response<Body>, name: header::HeaderName, value: String) {
    let value = header::HeaderValue::try_from(value).expect("digits and separators");
    response.headers_mut().insert(name, value);
}
