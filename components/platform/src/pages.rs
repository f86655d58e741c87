//! Progress of a listing through its pages, without I/O.

use std::collections::HashSet;

use tables::Name;

use crate::Error;

/// Decides how a listing continues after each page.
///
/// ```
/// let mut pages = platform::Pages::new(1 << 20);
/// assert_eq!(pages.advance(400, true, Some("b".into())), Ok(Some("b".into())));
/// assert_eq!(pages.advance(200, false, Some("c".into())), Ok(None));
/// ```
#[derive(Debug)]
pub struct Pages {
    limit: usize,
    size: usize,
    continued_after: HashSet<Name>,
}

impl Pages {
    /// Starts a listing of at most `limit` bytes.
    pub fn new(limit: usize) -> Pages {
        Pages { limit, size: 0, continued_after: HashSet::new() }
    }

    /// Records a page of `size` bytes that ends with the object `last`. Returns the name
    /// after which the next page begins, or `None` if `more` is false.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`] if the pages exceed the limit together. [`Error::Malformed`] if
    /// more is announced after a page without a readable name, or after a name from which
    /// the listing has continued before: it would never end, or would pass over objects.
    pub fn advance(
        &mut self,
        size: usize,
        more: bool,
        last: Option<Name>,
    ) -> Result<Option<Name>, Error> {
        self.size += size;
        if self.size > self.limit {
            return Err(Error::Oversized { limit: self.limit });
        }
        if !more {
            return Ok(None);
        }
        match last {
            Some(last) if self.continued_after.insert(last.clone()) => Ok(Some(last)),
            _ => Err(Error::Malformed { status: 200 }),
        }
    }
}
