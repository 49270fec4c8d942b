//! `lentillift timeline`: shows the events of all processes in causal order.

use crate::command::Command;
use crate::command::replace;
use crate::command::show;
use crate::command::show_json;
use crate::exit::Exit;
use crate::fetch;
use getopts::Matches;
use getopts::Options;
use lentillift::merge;
use lentillift::merge::MergedEvent;
use lentillift_operator::event::Page;
use std::fmt::Write;

/// The HTML page, with the placeholder [`EVENTS`].
const PAGE: &str = include_str!("timeline.html");

/// Placeholder in the page that is replaced by the events as JSON.
const EVENTS: &str = "/*EVENTS*/[]";

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "timeline",
    arguments: "ADDR...",
    summary: "show the events of all processes in causal order",
    about: "Reads the time line of each process from its operators' port and merges them. Within a
process, events keep their order; what a process received from another comes after it was
sent; other events are ordered by the hosts' clocks. `+` marks a time that was adjusted for that.
A process keeps its last 4096 events.",
    examples: &[
        (
            "lentillift timeline 10.0.0.1:7072 10.0.0.2:7072",
            "All events as text.",
        ),
        (
            "lentillift timeline --find d2 10.0.0.1:7072",
            "Only events with `d2` in them.",
        ),
        (
            "lentillift timeline --html timeline.html 10.0.0.1:7072",
            "One page for a browser, with lanes, filters and zoom.",
        ),
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "html", "write a page for a browser to FILE", "FILE");
    options.optopt("", "find", "only events that contain TEXT", "TEXT");
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let addresses = fetch::parse_addresses(&matches.free)?;
    let fetched = fetch::all::<Page>(&addresses, "/timeline");
    fetch::require_any(&fetched)?;
    let mut pages = Vec::new();
    let mut exit = Exit::Done;
    for one in fetched {
        match one.result {
            Ok(page) => pages.push(page),
            Err(error) => {
                eprintln!("{}: not reached: {error}", one.address);
                exit = Exit::Unreachable;
            }
        }
    }
    let mut events = merge::order(pages);
    if let Some(find) = matches.opt_str("find") {
        events.retain(|event| line(event).contains(&find));
    }
    if let Some(file) = matches.opt_str("html") {
        replace(&file, &html(&events)?)?;
        eprintln!("Wrote {} events to {file}.", events.len());
    } else if matches.opt_present("json") {
        show_json(&events)?;
    } else {
        show(&events.iter().map(line).collect::<String>());
    }
    Ok(exit)
}

/// An event as one line of text.
fn line(event: &MergedEvent) -> String {
    let note = &event.event.note;
    let adjusted = if event.at_ms == event.event.wall_ms {
        ' '
    } else {
        '+'
    };
    let mut line = format!(
        "{}{adjusted} {:12} {:12} {}: {}",
        clock(event.at_ms),
        event.host,
        note.kind,
        note.subject,
        note.detail
    );
    let details = [
        ("service", note.service.as_deref()),
        ("backend", note.backend.as_deref()),
        ("request", note.request.as_deref()),
        ("from", note.from.as_deref()),
    ];
    for (name, value) in details {
        if let Some(value) = value {
            let _ = write!(line, " {name}={value}");
        }
    }
    // Some texts come from other hosts; control characters in them could manipulate the terminal.
    line.replace(char::is_control, " ") + "\n"
}

/// The time of day in UTC.
fn clock(millis: u64) -> String {
    let (seconds, millis) = (millis / 1000, millis % 1000);
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{millis:03}", seconds % 60)
}

/// The HTML page with the events.
fn html(events: &[MergedEvent]) -> anyhow::Result<String> {
    // Otherwise `</script>` in the text of an event would end the script and inject HTML.
    let json = serde_json::to_string(events)?.replace('<', "\\u003c");
    Ok(PAGE.replacen(EVENTS, &json, 1))
}
