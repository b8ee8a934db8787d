//! Log output that never blocks and limits the rate of lines.

use std::io::{PipeReader, PipeWriter, Read};
use std::time::{Duration, Instant};

use log::{Level, Record};
use log4rs::append::Append;
use node::log::{
    BoundedAppender, MAX_LINE_BYTES, MAX_LINES_PER_WINDOW, MAX_URGENT_LINES_PER_WINDOW,
};

fn append(output: &BoundedAppender<PipeWriter>, level: Level, text: &str) {
    output
        .append(
            &Record::builder()
                .level(level)
                .args(format_args!("{text}"))
                .build(),
        )
        .unwrap();
}

fn output() -> (PipeReader, BoundedAppender<PipeWriter>) {
    let (reader, writer) = std::io::pipe().unwrap();
    (reader, BoundedAppender::new(writer, "{l} {m}{n}"))
}

/// Drops the output and returns everything written to the pipe.
fn read(mut reader: PipeReader, output: BoundedAppender<PipeWriter>) -> String {
    drop(output);
    let mut text = String::new();
    reader.read_to_string(&mut text).unwrap();
    text
}

// Guards against a process that blocks because nobody reads its log.
#[test]
fn append_reader_stopped() {
    let (reader, output) = output();
    let start = Instant::now();
    let line = "x".repeat(1000);
    for _ in 0..20_000 {
        append(&output, Level::Info, &line);
    }
    assert!(start.elapsed() < Duration::from_secs(5));
    let text = read(reader, output);
    assert!(
        text.lines()
            .all(|written| written == format!("INFO {line}"))
    );
    assert!(!text.is_empty());
}

// Guards against logging that starves requests, and against warnings displaced by lines of lower levels.
#[test]
fn append_bounded_urgent_kept() {
    let (reader, output) = output();
    for _ in 0..2_000 {
        append(&output, Level::Info, "often");
    }
    append(&output, Level::Warn, "urgent");
    let text = read(reader, output);
    assert_eq!(text.matches("often").count(), MAX_LINES_PER_WINDOW as usize);
    assert_eq!(text.matches("urgent").count(), 1);
}

// Guards against lines that are dropped without notice, and against limits that are never reset.
#[test]
fn append_tells_left_out() {
    let (reader, output) = output();
    let many = MAX_LINES_PER_WINDOW + MAX_URGENT_LINES_PER_WINDOW + 7;
    for _ in 0..many {
        append(&output, Level::Error, "many");
    }
    std::thread::sleep(Duration::from_millis(1_050));
    append(&output, Level::Info, "later");
    let text = read(reader, output);
    assert!(text.contains("104 lines-left-out count=7\n"), "{text}");
    assert!(text.ends_with("INFO later\n"));
}

// Guards against a line longer than a writable pipe accepts without blocking.
#[test]
fn append_long_line_left_out() {
    let (reader, output) = output();
    append(&output, Level::Info, &"x".repeat(MAX_LINE_BYTES));
    append(&output, Level::Info, "short");
    assert_eq!(read(reader, output), "INFO short\n");
}
