//! Detection of stalls.

use std::time::Duration;

use node::Stalls;
use yare::parameterized;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Guards against taking what was read after a stall for new, whether or not the beat after the stall came first, and
// against taking what a running process reads for old.
#[parameterized(
    running = { &[100, 200], 250, 0 },
    late_beat = { &[100, 350], 400, 0 },
    stalled = { &[100], 4_100, 4_000 },
    just_resumed = { &[100, 4_100], 4_100, 4_000 },
    backlog = { &[100, 4_100, 4_200, 4_300], 4_400, 4_300 },
    stalled_in_backlog = { &[100, 4_100, 4_200], 5_000, 4_900 },
    resumed_in_backlog = { &[100, 4_100, 4_200, 5_000], 5_100, 5_000 },
    after_backlog = { &[100, 4_100, 4_300, 4_500, 4_700, 4_900, 5_000, 5_100], 5_200, 0 },
    second_stall = { &[100, 4_100, 4_300, 4_500, 4_700, 4_900, 5_100, 6_000], 6_100, 1_000 },
)]
fn unread_time_by_beats(beats: &[u64], read: u64, expected: u64) {
    let mut stalls = Stalls::new(ms(0));
    for beat in beats {
        stalls.beat(ms(*beat));
    }
    assert_eq!(stalls.unread_time(ms(read)), ms(expected));
}

// Guards against stalls that are logged again with each beat, or with the length of two stalls together.
#[test]
fn beat_reports_stalls_once() {
    let mut stalls = Stalls::new(ms(0));
    let lengths = [100, 4_100, 4_200, 5_000, 5_100].map(|at| stalls.beat(ms(at)));
    let expected = [None, Some(ms(4_000)), None, Some(ms(800)), None];
    assert_eq!(lengths, expected);
}
