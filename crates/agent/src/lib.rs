//! The agent process.

pub mod settings;
