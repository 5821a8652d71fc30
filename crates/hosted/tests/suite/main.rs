//! Tests of the entry against an in-memory store.

mod entry;
mod explain;
mod ownership;
mod routes;
mod sessions;
mod support;
