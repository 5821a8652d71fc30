//! Tests of requests through an in-process agent, between a stand-in entry and a stand-in upstream.

mod answers;
mod drain;
mod keys;
mod refusals;
mod support;
