//! Messages between the processes of the system: entries and agents.
//!
//! Each message is sent as one frame on an `h2` stream, encoded with `bincode`. See section 5 of
//! `docs/design.md`.

pub mod announce;
pub mod entry;
pub mod report;
pub mod request;
