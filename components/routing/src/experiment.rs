//! Small seeded experiments that measure the choice of backend servers.
