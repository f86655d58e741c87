//! State dumps, truncated to a maximum size.

use serde_json::{Map, Value, json};

/// Maximum size of a dump as JSON text, in bytes.
pub const LIMIT: usize = 1 << 20;
/// Items kept of each list and object in the first attempt.
const MAX_ITEMS: usize = 4096;
/// Characters kept of each string in the first attempt.
const MAX_CHARACTERS: usize = 16 * 1024;
/// Key of the number of omitted items, or of omitted bytes if all was omitted.
pub const OMITTED: &str = "$omitted";

/// Truncates `value` until its JSON text has at most `limit` bytes.
///
/// All lists and objects keep the same number of leading items, and all strings
/// the same number of leading characters; both numbers are halved until the text
/// fits. A truncated list ends with `{"$omitted": n}`, a truncated object
/// contains that key, and a truncated string ends with an ellipsis. The second
/// value is true if anything was truncated.
///
/// ```
/// use serde_json::json;
/// let (value, truncated) = telemetry::dump::bound(json!(vec![7; 9000]), 100);
/// assert!(truncated);
/// assert!(value.to_string().len() <= 100);
/// assert_eq!(value[0], 7);
/// ```
pub fn bound(value: Value, limit: usize) -> (Value, bool) {
    let size = value.to_string().len();
    if size <= limit {
        return (value, false);
    }
    let mut items = MAX_ITEMS;
    let mut characters = MAX_CHARACTERS;
    while items > 0 {
        let truncated = truncate(&value, items, characters);
        if truncated.to_string().len() <= limit {
            return (truncated, true);
        }
        items /= 2;
        characters /= 2;
    }
    (json!({ OMITTED: size }), true)
}

fn truncate(value: &Value, items: usize, characters: usize) -> Value {
    match value {
        Value::Array(list) => {
            let mut kept: Vec<_> =
                list.iter().take(items).map(|item| truncate(item, items, characters)).collect();
            if list.len() > items {
                kept.push(json!({ OMITTED: list.len() - items }));
            }
            Value::Array(kept)
        }
        Value::Object(fields) => {
            let kept = fields.iter().take(items);
            let mut kept: Map<_, _> = kept
                .map(|(key, field)| (key.clone(), truncate(field, items, characters)))
                .collect();
            if fields.len() > items {
                kept.insert(OMITTED.to_owned(), json!(fields.len() - items));
            }
            Value::Object(kept)
        }
        Value::String(text) if text.chars().count() > characters => {
            Value::String(text.chars().take(characters).chain(['…']).collect())
        }
        other => other.clone(),
    }
}
