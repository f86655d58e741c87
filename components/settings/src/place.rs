//! Places of values in JSON text.
//!
//! The text is split by `serde_json`'s raw values, which borrow from it, so a
//! value's offset is the distance of its slice from the start of the text.

use std::collections::HashMap;
use std::fmt;
use std::ops::Range;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;

/// Byte ranges of one value.
#[derive(Clone, Debug)]
pub struct Place {
    /// The key before the value, quotes included; none in lists.
    pub key: Option<Range<usize>>,
    /// The value.
    pub value: Range<usize>,
}

/// Places of all values of one text.
#[derive(Debug, Default)]
pub struct Places {
    /// Places by JSON pointer. The last of repeated fields counts.
    by_pointer: HashMap<String, Place>,
    /// Pointers of repeated fields with the place of each repetition.
    pub repeated: Vec<(String, Place)>,
}

impl Places {
    /// Splits a text that is known to be JSON.
    pub fn new(text: &str) -> Self {
        let mut places = Self::default();
        let start = text.len() - text.trim_start().len();
        let value = start..text.trim_end().len();
        places.walk(text, String::new(), Place { key: None, value });
        places
    }

    /// Place of the value at `pointer`, or of the nearest value around it.
    pub fn find(&self, pointer: &str) -> Option<&Place> {
        let mut pointer = pointer;
        loop {
            if let Some(place) = self.by_pointer.get(pointer) {
                return Some(place);
            }
            pointer = &pointer[..pointer.rfind('/')?];
        }
    }

    /// Pointer of the value at which a deserializer stopped: it has consumed
    /// a key or a value that ends at `offset`, is about to read one there, or
    /// has given up within one.
    pub fn stopped(&self, offset: usize) -> Option<&str> {
        let touches = |place: &Place| {
            let key = place.key.as_ref().is_some_and(|key| key.end == offset);
            key || place.value.end == offset || place.value.start == offset
        };
        let touched = self.by_pointer.iter().find(|(_, place)| touches(place));
        let holds = |place: &Place| place.value.contains(&offset);
        let innermost = || {
            let around = self.by_pointer.iter().filter(|(_, place)| holds(place));
            around.min_by_key(|(_, place)| place.value.len())
        };
        touched.or_else(innermost).map(|(pointer, _)| pointer.as_str())
    }

    fn walk(&mut self, text: &str, pointer: String, place: Place) {
        let slice = &text[place.value.clone()];
        match slice.as_bytes().first() {
            Some(b'{') => self.walk_object(text, &pointer, slice),
            Some(b'[') => self.walk_list(text, &pointer, slice),
            _ => (),
        }
        if self.by_pointer.insert(pointer.clone(), place.clone()).is_some() {
            self.repeated.push((pointer, place));
        }
    }

    fn walk_object(&mut self, text: &str, pointer: &str, slice: &str) {
        let Ok(Fields(fields)) = serde_json::from_str(slice) else { return };
        for (key, value) in fields {
            let Ok(name) = serde_json::from_str::<String>(key.get()) else { continue };
            let place = Place { key: Some(range(text, key)), value: range(text, value) };
            self.walk(text, child(pointer, &name), place);
        }
    }

    fn walk_list(&mut self, text: &str, pointer: &str, slice: &str) {
        let Ok(Items(items)) = serde_json::from_str(slice) else { return };
        for (index, value) in items.into_iter().enumerate() {
            let place = Place { key: None, value: range(text, value) };
            self.walk(text, child(pointer, &index.to_string()), place);
        }
    }
}

/// Pointer of the field or item `name` of the value at `pointer`.
pub fn child(pointer: &str, name: &str) -> String {
    format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"))
}

fn range(text: &str, part: &RawValue) -> Range<usize> {
    let start = part.get().as_ptr() as usize - text.as_ptr() as usize;
    start..start + part.get().len()
}

/// An object's fields in their order, repeated ones included.
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

/// A list's items.
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
