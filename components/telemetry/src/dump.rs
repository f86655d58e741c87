//! Dumps of a process's state, bounded in size.

use serde_json::{Map, Value, json};

/// Most bytes of a dump as JSON text.
pub const LIMIT: usize = 1 << 20;
/// Items that each list and object keeps at first.
const ITEMS: usize = 4096;
/// Characters that each string keeps at first.
const CHARACTERS: usize = 16 * 1024;
/// Key that tells how much was left out.
pub const OMITTED: &str = "$omitted";

/// Cuts `value` until its JSON text has at most `limit` bytes.
///
/// Lists, objects and strings keep their beginnings, all to the same length,
/// which halves until the text fits. A cut list ends with `{"$omitted": n}`, a
/// cut object holds that key, and a cut string ends with an ellipsis. The
/// second value tells whether anything was cut.
///
/// ```
/// use serde_json::json;
/// let (value, cut) = telemetry::dump::bound(json!(vec![7; 9000]), 100);
/// assert!(cut);
/// assert!(value.to_string().len() <= 100);
/// assert_eq!(value[0], 7);
/// ```
pub fn bound(value: Value, limit: usize) -> (Value, bool) {
    let size = value.to_string().len();
    if size <= limit {
        return (value, false);
    }
    let mut items = ITEMS;
    let mut characters = CHARACTERS;
    while items > 0 {
        let cut = cut(&value, items, characters);
        if cut.to_string().len() <= limit {
            return (cut, true);
        }
        items /= 2;
        characters /= 2;
    }
    (json!({ OMITTED: size }), true)
}

fn cut(value: &Value, items: usize, characters: usize) -> Value {
    match value {
        Value::Array(list) => {
            let mut kept: Vec<_> =
                list.iter().take(items).map(|item| cut(item, items, characters)).collect();
            if list.len() > items {
                kept.push(json!({ OMITTED: list.len() - items }));
            }
            Value::Array(kept)
        }
        Value::Object(fields) => {
            let kept = fields.iter().take(items);
            let mut kept: Map<_, _> =
                kept.map(|(key, field)| (key.clone(), cut(field, items, characters))).collect();
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
