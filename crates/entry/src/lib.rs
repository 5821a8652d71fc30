//! The entry process.

pub mod cells;
pub mod settings;
