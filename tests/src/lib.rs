//! Shared parts of the system tests.
