//! Tests of the entry against an in-memory store.

mod entry;
mod ownership;
mod sessions;
mod support;
