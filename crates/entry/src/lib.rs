//! The entry process.

pub mod settings;
