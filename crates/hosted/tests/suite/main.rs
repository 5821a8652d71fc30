//! Tests of the entry against an in-memory store.

mod admission;
mod entry;
mod evacuation;
mod explain;
mod ownership;
mod routes;
mod sessions;
mod support;
