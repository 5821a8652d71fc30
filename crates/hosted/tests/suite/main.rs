//! Tests of the entry against an in-memory store.

mod admission;
mod entry;
mod evacuation;
mod explain;
mod ownership;
mod records;
mod routes;
mod sessions;
mod support;
