//! Serialized forms of manifests, pins and digests.

use weights::{Algorithm, Digest, Manifest, Pin};

const MANIFEST: &str = r#"{"size":5,"chunk_size":4,"chunks":["6298d74d15ea9eb3fc866ac8d97c435be6cea4ef9fbe8b50c105f1c22a71b97f","e67a9c4536256f1ec7495a146b5442fa7c0ed99e258a08260a4a244fa31c7c61"],"algorithm":"sha256"}"#;

// Guards against a manifest that a process of another build can't read or checks by another algorithm.
#[test]
fn manifest_stored_form() {
    let mut manifest = Manifest::build(b"01234", 4);
    manifest.algorithm = Algorithm::Sha256;
    assert_eq!(serde_json::to_string(&manifest).unwrap(), MANIFEST);
    let plain = MANIFEST.replace(r#","algorithm":"sha256""#, "");
    let plain: Manifest = serde_json::from_str(&plain).unwrap();
    assert_eq!(plain.algorithm, Algorithm::Blake3);
}

// Guards against two builds that name the same weights differently.
#[test]
fn pin_text_form() {
    let mut manifest = Manifest::build(b"01234", 4);
    let pin = Pin::new("lm", "v7", manifest.digest());
    assert_eq!(
        pin.to_string(),
        "lm@v7#cd212010fe775cdcc233c26aa07d78dca70ba0b37ad512665c0f814fb8185c58"
    );
    manifest.algorithm = Algorithm::Sha256;
    assert_eq!(
        manifest.digest().to_string(),
        "37dd82ad1a88d86ae5d031e6e18c1c74654341ce9c7d95aaaf26243cca75528c"
    );
    assert_eq!(Digest::of(b"01234").prefix(), 7022103650885634723);
}
