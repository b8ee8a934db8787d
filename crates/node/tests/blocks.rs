//! Bodies that are collected in blocks.

use node::http::blocks::Blocks;
use yare::parameterized;

/// Returns `length` bytes that differ from their neighbours.
fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|number| (number % 251) as u8).collect()
}

// Guards against bytes that are lost, doubled or moved where two blocks meet, and against memory that isn't counted.
#[parameterized(
    single_bytes = { 1, 9_000 },
    small = { 64, 300_000 },
    odd = { 4_099, 300_000 },
    block = { 65_536, 400_000 },
    larger_than_block = { 70_001, 500_000 },
    one_piece = { 300_000, 300_000 },
    empty = { 1, 0 },
)]
fn into_bytes_in_order(piece: usize, length: usize) {
    let sent = bytes(length);
    let mut blocks = Blocks::default();
    let mut counted = 0;
    for piece in sent.chunks(piece) {
        counted = blocks.memory_for(piece.len());
        blocks.extend(piece);
    }
    assert_eq!(blocks.length(), length);
    assert!(counted >= length, "{counted} bytes counted");
    assert!(
        counted <= 2 * length + 2 * 65_536,
        "{counted} bytes counted"
    );
    assert!(blocks.into_bytes() == sent);
}

// Guards against a copy of a body whose length was announced.
#[test]
fn memory_for_announced() {
    let mut blocks = Blocks::with_capacity(100_000);
    for piece in bytes(100_000).chunks(16_384) {
        assert_eq!(blocks.memory_for(piece.len()), 100_000);
        blocks.extend(piece);
    }
}
