//! Messages between the system's own processes.
//!
//! Each message travels as one frame on an `h2` stream, encoded by `bincode`. See section 5 of
//! `docs/design.md`.

pub mod announce;
pub mod entry;
pub mod report;
pub mod request;
