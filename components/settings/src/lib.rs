//! JSON settings: read, checked as a whole, reported with places.
