//! Staged weights.

use std::collections::HashMap;

use node::http::{Body, Response, StatusCode, response};
use weights::{Algorithm, Digest, Manifest};

/// Staged versions by the digest under which the agent staged them.
///
/// The engine trusts its agent and doesn't verify chunks. It stores the digest and length of the received bytes
/// instead of the bytes, so that hundreds of stand-ins fit on one machine.
#[derive(Default)]
pub struct Staging(HashMap<Digest, StagedVersion>);

struct StagedVersion {
    manifest: Manifest,
    /// Digest and length of each received chunk.
    chunks: Vec<Option<(Digest, u64)>>,
}

impl Staging {
    /// Stores a manifest. If it is already staged, keeps it and its chunks.
    pub fn put_manifest(&mut self, digest: &str, body: &[u8]) -> Response<Body> {
        let Ok(digest) = digest.parse() else {
            return response(StatusCode::BAD_REQUEST, "not a digest");
        };
        let manifest: Manifest = match serde_json::from_slice(body) {
            Ok(manifest) => manifest,
            Err(error) => return response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let chunks = vec![None; manifest.chunks.len()];
        self.0
            .entry(digest)
            .or_insert(StagedVersion { manifest, chunks });
        response(StatusCode::NO_CONTENT, "")
    }

    /// Records the digest and length of a chunk of a version whose manifest is staged.
    pub fn put_chunk(&mut self, digest: &str, index: &str, body: &[u8]) -> Response<Body> {
        let version = digest
            .parse()
            .ok()
            .and_then(|digest| self.0.get_mut(&digest));
        let Some(version) = version else {
            return response(StatusCode::CONFLICT, "no manifest with this digest");
        };
        let index: Option<usize> = index.parse().ok();
        let Some(chunk) = index.and_then(|index| version.chunks.get_mut(index)) else {
            return response(StatusCode::NOT_FOUND, "no such chunk");
        };
        *chunk = Some((Digest::of(body), body.len() as u64));
        response(StatusCode::NO_CONTENT, "")
    }

    /// Returns the digest computed from the chunks received for `digest`, or `None` if the manifest or chunks are
    /// missing.
    pub fn received_digest(&self, digest: Digest) -> Option<Digest> {
        let version = self.0.get(&digest)?;
        let chunks: Option<Vec<(Digest, u64)>> = version.chunks.iter().copied().collect();
        let chunks = chunks?;
        let received = Manifest {
            size: chunks.iter().map(|(_, length)| length).sum(),
            chunk_size: version.manifest.chunk_size,
            chunks: chunks.iter().map(|(digest, _)| *digest).collect(),
            algorithm: Algorithm::Blake3,
        };
        Some(received.digest())
    }
}
