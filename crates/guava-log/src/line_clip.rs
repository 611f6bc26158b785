//! Clips lines that are too long: callers choose some of the texts in them, such as requests' ids.

use serde_json::{Map, Value};

/// Longest line that is written as it is, in bytes.
const MAX_LINE_BYTES: usize = 2_048;
/// Longest text in a line that is clipped, in characters.
const MAX_TEXT_CHARS: usize = 128;
/// Follows a text of which the rest was left out.
const CLIP_MARK: &str = "...";

/// The line, or one with the beginnings of its long texts; one with its event alone if that is still too
/// long.
pub(crate) fn clip_line(line: &str) -> Option<String> {
    if line.len() <= MAX_LINE_BYTES {
        return None;
    }
    let mut value: Value = serde_json::from_str(line).unwrap_or_default();
    clip_texts(&mut value);
    let clipped = format!("{value}\n");
    if clipped.len() <= MAX_LINE_BYTES {
        return Some(clipped);
    }
    let event = value["kv"]["event"].take();
    let fields = value.as_object_mut().map(std::mem::take).unwrap_or_default();
    let mut short: Map<String, Value> =
        fields.into_iter().filter(|(name, _)| name == "level" || name == "payload").collect();
    short.insert("kv".into(), serde_json::json!({ "event": event, "clipped_bytes": line.len() }));
    Some(format!("{}\n", Value::Object(short)))
}

fn clip_texts(value: &mut Value) {
    match value {
        Value::String(text) => {
            if let Some((end, _)) = text.char_indices().nth(MAX_TEXT_CHARS) {
                text.truncate(end);
                text.push_str(CLIP_MARK);
            }
        }
        Value::Array(items) => items.iter_mut().for_each(clip_texts),
        Value::Object(fields) => fields.values_mut().for_each(clip_texts),
        _ => {}
    }
}
