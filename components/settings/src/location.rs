//! Byte ranges of values in JSON text.
//!
//! The text is split into `serde_json` raw values, which borrow from it, so the
//! offset of a value is the address difference between its slice and the text.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::ops::Range;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;

/// Byte ranges of a value and its key.
#[derive(Clone, Debug)]
pub struct Location {
    /// The key, including its quotes; `None` for array items and the root.
    pub key: Option<Range<usize>>,
    /// Byte range of the value.
    pub value: Range<usize>,
}

/// The locations of all values in a JSON text.
#[derive(Debug, Default)]
pub struct Locations {
    /// Locations by JSON pointer; for a repeated field, the last one.
    by_pointer: HashMap<String, Location>,
    /// Pointer and location of each repetition of a field.
    pub repeated: Vec<(String, Location)>,
    /// Pointers of the values whose fields and items are indexed; all if `None`.
    enclosing: Option<HashSet<String>>,
}

impl Locations {
    /// Indexes a text that is known to be valid JSON.
    pub fn new(text: &str) -> Self {
        let mut locations = Self::default();
        locations.index_root(text);
        locations
    }

    fn index_root(&mut self, text: &str) {
        let start = text.len() - text.trim_start().len();
        let value = start..text.trim_end().len();
        self.index_value(text, String::new(), Location { key: None, value });
    }

    /// Indexes only the values that enclose those at `pointers`, with their fields and
    /// items, so that the cost depends on the number of pointers more than on that of
    /// values.
    fn select(text: &str, pointers: &[&str]) -> Self {
        let mut enclosing = HashSet::new();
        for pointer in pointers {
            let mut pointer = *pointer;
            while let Some(end) = pointer.rfind('/') {
                pointer = &pointer[..end];
                if !enclosing.insert(pointer.to_owned()) {
                    break;
                }
            }
        }
        let mut locations = Self { enclosing: Some(enclosing), ..Self::default() };
        locations.index_root(text);
        locations
    }

    /// Location of the value at `pointer`, or of the innermost existing value that
    /// encloses it.
    pub fn find(&self, pointer: &str) -> Option<&Location> {
        let mut pointer = pointer;
        loop {
            if let Some(location) = self.by_pointer.get(pointer) {
                return Some(location);
            }
            pointer = &pointer[..pointer.rfind('/')?];
        }
    }

    /// Pointer of the value at which a deserializer stopped. `offset` is the end
    /// of the key or value read last, the start of the next value, or a position
    /// within the value that failed.
    pub fn stop_pointer(&self, offset: usize) -> Option<&str> {
        let is_adjacent = |location: &Location| {
            let key = location.key.as_ref().is_some_and(|key| key.end == offset);
            key || location.value.end == offset || location.value.start == offset
        };
        let adjacent = self.by_pointer.iter().find(|(_, location)| is_adjacent(location));
        let encloses = |location: &Location| location.value.contains(&offset);
        let innermost = || {
            let enclosing = self.by_pointer.iter().filter(|(_, location)| encloses(location));
            enclosing.min_by_key(|(_, location)| location.value.len())
        };
        adjacent.or_else(innermost).map(|(pointer, _)| pointer.as_str())
    }

    fn index_value(&mut self, text: &str, pointer: String, location: Location) {
        let slice = &text[location.value.clone()];
        let encloses = self.enclosing.as_ref().is_none_or(|pointers| pointers.contains(&pointer));
        match slice.as_bytes().first().filter(|_| encloses) {
            Some(b'{') => self.index_object(text, &pointer, slice),
            Some(b'[') => self.index_array(text, &pointer, slice),
            _ => (),
        }
        if self.by_pointer.insert(pointer.clone(), location.clone()).is_some() {
            self.repeated.push((pointer, location));
        }
    }

    fn index_object(&mut self, text: &str, pointer: &str, slice: &str) {
        let Ok(Fields(fields)) = serde_json::from_str(slice) else { return };
        for (key, value) in fields {
            let Ok(name) = serde_json::from_str::<String>(key.get()) else { continue };
            let location =
                Location { key: Some(byte_range(text, key)), value: byte_range(text, value) };
            self.index_value(text, child_pointer(pointer, &name), location);
        }
    }

    fn index_array(&mut self, text: &str, pointer: &str, slice: &str) {
        let Ok(Items(items)) = serde_json::from_str(slice) else { return };
        for (index, value) in items.into_iter().enumerate() {
            let location = Location { key: None, value: byte_range(text, value) };
            self.index_value(text, child_pointer(pointer, &index.to_string()), location);
        }
    }
}

/// Byte ranges of the values at JSON pointers in a valid JSON text, in the order of
/// `pointers`. A pointer to a value that does not exist gives the innermost existing
/// value that encloses it. The text must not be nested deeper than `serde_json`
/// accepts for a [`serde_json::Value`].
///
/// ```
/// let text = r#"{"port": 80}"#;
/// let ranges = settings::locate(text, &["/port", "/host"]);
/// assert_eq!((&text[ranges[0].clone()], ranges[1].clone()), ("80", 0..text.len()));
/// ```
pub fn locate(text: &str, pointers: &[&str]) -> Vec<Range<usize>> {
    let locations = Locations::select(text, pointers);
    let find = |pointer: &&str| locations.find(pointer).map(|location| location.value.clone());
    pointers.iter().map(|pointer| find(pointer).unwrap_or_default()).collect()
}

/// JSON pointer of the field or array item `name` of the value at `pointer`.
pub fn child_pointer(pointer: &str, name: &str) -> String {
    format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"))
}

fn byte_range(text: &str, part: &RawValue) -> Range<usize> {
    let start = part.get().as_ptr() as usize - text.as_ptr() as usize;
    start..start + part.get().len()
}

/// The fields of an object in text order, including repeated ones.
struct Fields<'a>(Vec<(&'a RawValue, &'a RawValue)>);

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = Vec::new();
        while let Some(entry) = map.next_entry()? {
            fields.push(entry);
        }
        Ok(Fields(fields))
    }
}

impl<'de> Deserialize<'de> for Fields<'de> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_map(FieldsVisitor)
    }
}

/// The items of an array.
struct Items<'a>(Vec<&'a RawValue>);

struct ItemsVisitor;

impl<'de> Visitor<'de> for ItemsVisitor {
    type Value = Items<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Items(items))
    }
}

impl<'de> Deserialize<'de> for Items<'de> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_seq(ItemsVisitor)
    }
}
