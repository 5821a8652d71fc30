//! Liveness of entries.
