//! Attempts on one VM.

pub mod worker;
