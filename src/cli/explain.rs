//! `explain`: traces one request through the log lines of several nodes.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use serde_json::{Map, Value};

use super::exit::Exit;
use super::output;

/// Milliseconds before the request's first line and after its last one in which changes of the
/// nodes' views are shown.
const CONTEXT_MS: u64 = 3_000;
/// Prefixes of the events that report a change of a node's view.
const VIEW_CHANGE_PREFIXES: [&str; 9] = [
    "target_",
    "configuration_",
    "registration_",
    "nodes_",
    "departure",
    "peer_connection_lost",
    "declared_down",
    "watch of",
    "node is",
];

/// One log line.
#[derive(Clone, Debug)]
struct Line {
    /// Text before the JSON object (a time and the node's name in joined logs of several nodes),
    /// or the file's name if there is none.
    origin: String,
    at_ms: u64,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    fn parse(raw: &str, file: &str) -> Option<Self> {
        let start = raw.find('{')?;
        let value: Value = serde_json::from_str(raw[start..].trim_end()).ok()?;
        let Value::Object(mut fields) = value else {
            return None;
        };
        let at_ms = fields.remove("at_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        let prefix = raw[..start]
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ");
        Some(Self {
            origin: if prefix.is_empty() {
                file.to_owned()
            } else {
                prefix
            },
            at_ms,
            event,
            fields,
        })
    }

    /// `true` if the line is about the request or one of its calls, whose identifiers are the
    /// request's own followed by a dot and a suffix.
    fn is_about(&self, id: &str) -> bool {
        let line_id = self.fields.get("id").and_then(Value::as_str);
        line_id
            .and_then(|line_id| line_id.strip_prefix(id))
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    fn is_view_change(&self) -> bool {
        self.event != "target_failed"
            && VIEW_CHANGE_PREFIXES
                .iter()
                .any(|prefix| self.event.starts_with(prefix))
    }

    /// Name of the node that wrote the line: the last word of `origin`, after the time.
    fn node(&self) -> &str {
        self.origin.rsplit(' ').next().unwrap_or_default()
    }

    /// `true` if the service, host or peer of the line is one of `names`, or it has none of these.
    fn concerns(&self, names: &[&str]) -> bool {
        let named = ["service", "host", "peer"]
            .iter()
            .filter_map(|f| self.fields.get(*f));
        let mut named = named.filter_map(Value::as_str).peekable();
        named.peek().is_none() || named.any(|name| names.contains(&name))
    }

    fn print(&self, mark: &str, first_ms: u64) {
        let after = self.at_ms as i64 - first_ms as i64;
        let fields: Vec<String> = self
            .fields
            .iter()
            .filter(|(name, _)| *name != "level")
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let (origin, event) = (&self.origin, &self.event);
        output::line(format!(
            "{mark} {after:>+7} ms  {origin}  {event}  {}",
            fields.join(" ")
        ));
    }
}

fn read(path: &Path) -> std::io::Result<Vec<Line>> {
    let name = path.display().to_string();
    let mut lines = Vec::new();
    for raw in BufReader::new(File::open(path)?).split(b'\n') {
        let raw = raw?;
        lines.extend(Line::parse(&String::from_utf8_lossy(&raw), &name));
    }
    Ok(lines)
}

/// Prints the lines about a request and the view changes around them, in order of time.
pub fn run(matches: &ArgMatches) -> Exit {
    let Some(id) = matches.get_one::<String>("id") else {
        return Exit::BadInput;
    };
    let mut lines = Vec::new();
    for path in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        match read(path) {
            Ok(read) => lines.extend(read),
            Err(e) => {
                output::error_line(format!("{}: {e}", path.display()));
                return Exit::BadInput;
            }
        }
    }
    lines.sort_by_key(|line| line.at_ms);
    explain(id, &lines)
}

fn explain(id: &str, lines: &[Line]) -> Exit {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        output::error_line(format!("no line is about request {id}"));
        return Exit::BadInput;
    };
    let names: Vec<&str> = own
        .iter()
        .flat_map(|line| ["service", "host"].map(|f| line.fields.get(f)))
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let nodes: Vec<&str> = own.iter().map(|line| line.node()).collect();
    let from = first.at_ms.saturating_sub(CONTEXT_MS);
    let to = last.at_ms + CONTEXT_MS;
    let near = lines
        .iter()
        .filter(|line| (from..=to).contains(&line.at_ms));
    for line in near {
        if line.is_about(id) {
            line.print(">", first.at_ms);
        } else if line.is_view_change() && nodes.contains(&line.node()) && line.concerns(&names) {
            line.print(" ", first.at_ms);
        }
    }
    Exit::Ok
}
