//! Counters of calls.

use serde::{Deserialize, Serialize};

/// The calls that the stand-in tells apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads an object.
    Get,
    /// Lists a kind.
    List,
    /// Writes an object.
    Put,
    /// Deletes an object.
    Delete,
    /// Waits for changes.
    Watch,
    /// Waits for the host list.
    Hosts,
    /// Changes the host list.
    PutHost,
}

impl Call {
    /// Whether the call counts as a write.
    ///
    /// ```
    /// assert!(lab::platform::Call::Put.is_write());
    /// assert!(!lab::platform::Call::Watch.is_write());
    /// ```
    pub fn is_write(self) -> bool {
        matches!(self, Call::Put | Call::Delete | Call::PutHost)
    }
}

/// Calls by kind since the start, and what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of one object.
    pub get: u64,
    /// Listings, by page.
    pub list: u64,
    /// Writes.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Watches, each counted once.
    pub watch: u64,
    /// Calls for the host list.
    pub hosts: u64,
    /// Changes of the host list.
    pub put_host: u64,
    /// Calls refused because they were over a rate.
    pub busy: u64,
    /// Calls refused during an outage.
    pub outage: u64,
    /// Replies lost after the write took effect.
    pub lost: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Most watches that waited at a time.
    pub most_waiting: u64,
}

impl Calls {
    /// Counts a call.
    ///
    /// ```
    /// let mut calls = lab::platform::Calls::default();
    /// calls.count(lab::platform::Call::Get);
    /// assert_eq!(calls.get, 1);
    /// ```
    pub fn count(&mut self, call: Call) {
        let counter = match call {
            Call::Get => &mut self.get,
            Call::List => &mut self.list,
            Call::Put => &mut self.put,
            Call::Delete => &mut self.delete,
            Call::Watch => &mut self.watch,
            Call::Hosts => &mut self.hosts,
            Call::PutHost => &mut self.put_host,
        };
        *counter += 1;
    }
}
