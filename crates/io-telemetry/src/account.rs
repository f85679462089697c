//! Reconstructs the history of one call from saved log lines of any number of routers.

use base_types::{CompletedCode, NotRunCode, UnknownCode};
use serde_json::{Map, Value};

type Fields = Map<String, Value>;

/// History of one call, derived from saved log lines.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallHistory {
    /// One sentence for each log line of the call, in the order of events.
    pub sentences: Vec<Box<str>>,
    /// Number of lines of any call that could not be parsed as log lines, and were skipped.
    pub unparsed_lines: usize,
}

#[derive(Debug)]
struct CallLogLine {
    file_index: usize,
    line_index: usize,
    /// Time of the first line on the call in the same file.
    file_time: Box<str>,
    sentence: Box<str>,
}

impl CallHistory {
    /// Reads the lines of several files and describes those that concern a call.
    ///
    /// Lines of one file keep their order, as the wall clock of its router may have been set back.
    /// Files are ordered by the time of their first line on the call.
    pub fn from_logs<'text>(files: impl IntoIterator<Item = &'text str>, call: &str) -> Self {
        let mut history = Self::default();
        let mut lines: Vec<CallLogLine> = Vec::new();
        for (file_index, file) in files.into_iter().enumerate() {
            let mut first_time: Option<Box<str>> = None;
            for (line_index, line) in file.lines().enumerate().filter(|(_, line)| !line.is_empty())
            {
                let Some((prefix, fields)) = parse_line(line) else {
                    history.unparsed_lines += 1;
                    continue;
                };
                if text(&fields, "call") != call {
                    continue;
                }
                let file_time =
                    first_time.get_or_insert_with(|| text(&fields, "time").into()).clone();
                let sentence = describe_line(&prefix, &fields);
                lines.push(CallLogLine { file_index, line_index, file_time, sentence });
            }
        }
        lines.sort_by(|left, right| {
            let left = (&left.file_time, left.file_index, left.line_index);
            left.cmp(&(&right.file_time, right.file_index, right.line_index))
        });
        history.sentences = lines.into_iter().map(|line| line.sentence).collect();
        history
    }
}

/// Fields of a log line, and the text that a log collector put before the JSON object.
fn parse_line(line: &str) -> Option<(Box<str>, Fields)> {
    let start = line.find('{')?;
    let fields: Fields = serde_json::from_str(&line[start..]).ok()?;
    fields.contains_key("message").then(|| (line[..start].trim().into(), fields))
}

fn describe_line(prefix: &str, fields: &Fields) -> Box<str> {
    let source = match prefix.split_whitespace().last() {
        Some(word) => format!("{word}, "),
        None => String::new(),
    };
    let age = number(fields, "age_ms");
    let target = text(fields, "target");
    let description = match text(fields, "message") {
        "call sent" => describe_attempt(fields),
        "send ended" => {
            let (end, reason) = (text(fields, "end"), text(fields, "reason"));
            format!("The attempt at `{target}` ended: {end} ({reason}).")
        }
        "response ended" => describe_response_end(fields),
        "call denied" => {
            let (host, path) = (text(fields, "host"), text(fields, "path"));
            format!(
                "Rejected before a target was chosen, `{host}{path}`: {}",
                describe_code(fields)
            )
        }
        "call given up" => format!("The router gave up the call: {}", describe_code(fields)),
        "call ended" => {
            let (end, status) = (text(fields, "end"), number(fields, "status"));
            format!("The call ended for the caller: {end}, status {status}.")
        }
        other => format!("{other}."),
    };
    format!("{source}after {age} ms: {description}").into()
}

fn describe_attempt(fields: &Fields) -> String {
    let (target, pool, route) =
        (text(fields, "target"), text(fields, "pool"), text(fields, "route"));
    let [send, version, load, targets] =
        ["send", "version", "load", "targets"].map(|key| number(fields, key));
    let mean = text(fields, "mean_load");
    let mut sentence = format!(
        "Sent to `{target}` of pool `{pool}` by route `{route}` of version {version} \
         (attempt {send}): the target had {load} calls in flight, the mean of {targets} targets \
         was {mean}"
    );
    let [prompt, held, unread] = ["prompt", "held", "unread"].map(|key| number(fields, key));
    if prompt > 0 {
        sentence.push_str(&format!(
            "; of {prompt} prompt tokens the target was known to have cached {held} and had to \
             process {unread}"
        ));
    }
    if fields.get("fetch") == Some(&Value::Bool(true)) {
        sentence.push_str(", and was to fetch more of them from another engine");
    }
    sentence.push_str(&format!("; {} ms were left until the deadline.", number(fields, "left_ms")));
    sentence
}

fn describe_response_end(fields: &Fields) -> String {
    let framing = match text(fields, "framing") {
        "length" => "with a stated length",
        "chunked" => "in chunks",
        _ => "until its connection closed",
    };
    let position = match fields.get("inside_event") {
        Some(Value::Bool(true)) => ", and ended inside an event",
        _ => "",
    };
    let (target, end, bytes) =
        (text(fields, "target"), text(fields, "end"), number(fields, "bytes"));
    format!("The answer of `{target}` ended: {end}; {bytes} bytes came {framing}{position}.")
}

/// Number and description of the result code in the fields.
fn describe_code(fields: &Fields) -> String {
    let wanted = number(fields, "code");
    let not_run = NotRunCode::ALL.iter().map(|code| (code.number(), code.sentence()));
    let unknown = UnknownCode::ALL.iter().map(|code| (code.number(), code.sentence()));
    let completed = CompletedCode::ALL.iter().map(|code| (code.number(), code.sentence()));
    let mut all = not_run.chain(unknown).chain(completed);
    let found = all.find(|(number, _)| u64::from(*number) == wanted);
    format!("{wanted}, {}", found.map_or("an unknown result code.", |(_, sentence)| sentence))
}

fn text<'fields>(fields: &'fields Fields, key: &str) -> &'fields str {
    fields.get(key).and_then(Value::as_str).unwrap_or("")
}

fn number(fields: &Fields, key: &str) -> u64 {
    fields.get(key).and_then(Value::as_u64).unwrap_or(0)
}
