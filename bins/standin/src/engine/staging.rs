//! Weights that were handed to the engine.

use std::collections::HashMap;

use node::http::{Body, Response, StatusCode, response};
use weights::{Algorithm, Digest, Manifest};

/// Staged versions, by the digest under which they were staged.
///
/// The engine trusts its agent and doesn't verify chunks; it keeps the digest and length of the bytes that really
/// arrived instead of the bytes, so that hundreds of stand-ins fit on one machine.
#[derive(Default)]
pub struct Staging(HashMap<Digest, Version>);

struct Version {
    manifest: Manifest,
    chunks: Vec<Option<(Digest, u64)>>,
}

impl Staging {
    /// Takes a manifest; the chunks that were staged for it stay.
    pub fn put_manifest(&mut self, digest: &str, body: &[u8]) -> Response<Body> {
        let Ok(digest) = digest.parse() else {
            return response(StatusCode::BAD_REQUEST, "not a digest");
        };
        let manifest: Manifest = match serde_json::from_slice(body) {
            Ok(manifest) => manifest,
            Err(error) => return response(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let chunks = vec![None; manifest.chunks.len()];
        self.0.entry(digest).or_insert(Version { manifest, chunks });
        response(StatusCode::NO_CONTENT, "")
    }

    /// Takes a chunk of a version whose manifest is staged.
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

    /// Returns the digest of the bytes held for `digest`, or `None` when chunks are missing.
    pub fn held(&self, digest: Digest) -> Option<Digest> {
        let version = self.0.get(&digest)?;
        let chunks: Option<Vec<(Digest, u64)>> = version.chunks.iter().copied().collect();
        let chunks = chunks?;
        let held = Manifest {
            size: chunks.iter().map(|(_, length)| length).sum(),
            chunk_size: version.manifest.chunk_size,
            chunks: chunks.iter().map(|(digest, _)| *digest).collect(),
            algorithm: Algorithm::Blake3,
        };
        Some(held.digest())
    }
}
