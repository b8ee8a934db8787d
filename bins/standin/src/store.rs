//! Stand-in for the weight store: manifests and byte ranges of deterministic weights over a rate-limited link.

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

/// Bytes per write; connections share the rate of the link in units of this size.
const WRITE_BYTES: u64 = 16 << 10;

/// Settings of the stand-in for the weight store.
pub struct StoreSettings {
    listen: SocketAddr,
    bytes_per_s: u64,
    models: Vec<ModelVersion>,
}

/// A version of a model, as configured.
struct ModelVersion {
    name: String,
    version: String,
    size: u64,
    chunk_size: u32,
}

#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Switches {
    /// Whether every request is rejected with 503.
    down: bool,
    /// Delay before each response, in milliseconds.
    slow_ms: u64,
    /// Rate of the link in bytes per second, shared by all connections; 0 for no limit.
    bytes_per_s: u64,
    /// Whether the first byte of each range is corrupted.
    corrupt: bool,
}

/// Manifest and content of a version, derived from its name, version and size.
struct Weights {
    manifest: Manifest,
    /// Hasher whose extendable output is the content.
    content: blake3::Hasher,
}

struct Store {
    control: Control<Switches>,
    versions: HashMap<(String, String), Weights>,
    /// Time at which the link has sent all queued bytes.
    link_idle_at: Cell<Instant>,
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

impl Settings for ModelVersion {
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

/// Runs the stand-in for the weight store.
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
        link_idle_at: Cell::new(Instant::now()),
    };
    server::run(settings.listen, store).await
}

impl Weights {
    fn new(model: &ModelVersion) -> Self {
        let mut content = blake3::Hasher::new();
        content.update(format!("{}@{}#{}", model.name, model.version, model.size).as_bytes());
        let chunk_size = u64::from(model.chunk_size);
        let chunks = (0..model.size.div_ceil(chunk_size)).map(|index| {
            let start = index * chunk_size;
            let end = model.size.min(start + chunk_size);
            Digest::of(&read_range(&content, start..end))
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

    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        let delay = Duration::from_millis(self.control.switches().slow_ms);
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        if self.control.switches().down {
            return response(StatusCode::SERVICE_UNAVAILABLE, "the store is down");
        }
        let path: Vec<_> = request.uri().path().split('/').collect();
        let (&Method::GET, ["", "weights", name, version, resource]) =
            (request.method(), &path[..])
        else {
            return response(StatusCode::NOT_FOUND, "no such path");
        };
        let Some(weights) = self.versions.get(&(name.to_string(), version.to_string())) else {
            return response(StatusCode::NOT_FOUND, "no such version");
        };
        match *resource {
            "manifest" => {
                self.control.count("manifests", 1);
                json(StatusCode::OK, &weights.manifest)
            }
            "data" => {
                let content = weights.content.clone();
                let size = weights.manifest.size;
                self.respond_with_data(content, size, request.headers().get(header::RANGE))
            }
            _ => response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn reset(&self) {}
}

impl Store {
    fn respond_with_data(
        self: &Rc<Self>,
        content: blake3::Hasher,
        size: u64,
        range_header: Option<&header::HeaderValue>,
    ) -> Response<Body> {
        self.control.count("ranges", 1);
        let range = range_header.map_or(Some(0..size), |value| parse_range(value, size));
        let Some(range) = range else {
            let mut response = response(StatusCode::RANGE_NOT_SATISFIABLE, "");
            insert_header(
                &mut response,
                header::CONTENT_RANGE,
                format!("bytes */{size}"),
            );
            return response;
        };
        let body = self.clone().stream_range(content, range.clone());
        let mut response = response(StatusCode::OK, body);
        let length = range.end - range.start;
        insert_header(&mut response, header::CONTENT_LENGTH, length.to_string());
        if range_header.is_some() {
            *response.status_mut() = StatusCode::PARTIAL_CONTENT;
            let content_range = format!("bytes {}-{}/{size}", range.start, range.end - 1);
            insert_header(&mut response, header::CONTENT_RANGE, content_range);
        }
        response
    }

    fn stream_range(self: Rc<Self>, content: blake3::Hasher, range: Range<u64>) -> Body {
        let corrupt = self.control.switches().corrupt;
        let start = range.start;
        Body::stream(futures::stream::unfold(start, move |position| {
            let (store, content, end) = (self.clone(), content.clone(), range.end);
            async move {
                if position >= end {
                    return None;
                }
                let next = end.min(position + WRITE_BYTES);
                store.wait_for_link(next - position).await;
                let mut bytes = read_range(&content, position..next);
                if corrupt && position == start {
                    bytes[0] ^= 0xff;
                }
                Some((Ok(Bytes::from(bytes)), next))
            }
        }))
    }

    /// Waits until the link has sent the queued bytes and `length` more, and counts the latter.
    async fn wait_for_link(&self, length: u64) {
        let rate = self.control.switches().bytes_per_s;
        if rate > 0 {
            let duration = Duration::from_secs_f64(length as f64 / rate as f64);
            let sent_at = self.link_idle_at.get().max(Instant::now()) + duration;
            self.link_idle_at.set(sent_at);
            compio::time::sleep_until(sent_at).await;
        }
        self.control.count("bytes_drawn", length);
    }
}

fn read_range(content: &blake3::Hasher, range: Range<u64>) -> Vec<u8> {
    let mut bytes = vec![0; (range.end - range.start) as usize];
    let mut reader = content.finalize_xof();
    reader.set_position(range.start);
    reader.fill(&mut bytes);
    bytes
}

/// Parses a `Range` header value such as `bytes=0-99`; the end may be omitted.
fn parse_range(value: &header::HeaderValue, size: u64) -> Option<Range<u64>> {
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

fn insert_header(response: &mut Response<Body>, name: header::HeaderName, value: String) {
    let value = header::HeaderValue::try_from(value)
        .expect("numbers and separators are a valid header value");
    response.headers_mut().insert(name, value);
}
