//! Patterns of heavy load.
