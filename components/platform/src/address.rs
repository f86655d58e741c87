//! Names as parts of an address.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// All bytes but the unreserved ones (RFC 3986, section 2.3).
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Percent-encodes a name of any content, so that it is a single segment of a path or a
/// single value in a query.
///
/// ```
/// assert_eq!(platform::encode("a b/c%é"), "a%20b%2Fc%25%C3%A9");
/// // A segment of dots would be removed from the path.
/// assert_eq!(platform::encode(".."), "%2E%2E");
/// ```
pub fn encode(name: &str) -> String {
    match name {
        "." | ".." => name.replace('.', "%2E"),
        _ => utf8_percent_encode(name, RESERVED).to_string(),
    }
}
