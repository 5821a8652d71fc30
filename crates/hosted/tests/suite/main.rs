//! The hosted roles against stand-ins in memory.

mod entry;
mod ownership;
mod support;
