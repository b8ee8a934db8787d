//! Log events and their documentation.

use std::collections::HashSet;

use node::event::{ALL, STARTED};

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

// Guards against documentation that lacks an event, lists a removed one, or gives a different level or name.
#[test]
fn events_page_equals_table() {
    let page: Vec<String> = PAGE
        .lines()
        .filter(|line| {
            line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit())
        })
        .map(|line| {
            let cells: Vec<_> = line.split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 8, "six cells in {line}");
            assert!(
                !cells[5].is_empty() && !cells[6].is_empty(),
                "meaning and action in {line}"
            );
            format!("{} {} {}", cells[1], cells[2], cells[3])
        })
        .collect();
    let table: Vec<String> = ALL
        .iter()
        .map(|event| {
            let level = event.level.as_str().to_lowercase();
            format!("{} {level} {}", event.number, event.name)
        })
        .collect();
    assert_eq!(page, table);
}

// Guards against events that share a number or name, and against numbers outside the documented ranges.
#[test]
fn events_unique_and_sorted() {
    assert!(ALL.is_sorted_by(|a, b| a.number < b.number));
    assert!(ALL.iter().all(|event| (100..700).contains(&event.number)));
    let names: HashSet<_> = ALL.iter().map(|event| event.name).collect();
    assert_eq!(names.len(), ALL.len());
}

// Guards against values that can't be distinguished from the next field, and against values that break the line.
#[test]
fn line_quotes_values() {
    let line = node::log::format_event(STARTED, &[("name", &"a b\nc"), ("pid", &7), ("none", &"")]);
    assert_eq!(line, r#"100 started name="a b\nc" pid=7 none="""#);
}
