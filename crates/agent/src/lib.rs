//! The agent process.

pub mod batch;
pub mod settings;
