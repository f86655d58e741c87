//! Small seeded experiments that measure limits and queues.
