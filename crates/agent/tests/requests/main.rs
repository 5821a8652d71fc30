//! The agent in-process between a stand-in entry and the stand-in upstream.

mod answers;
mod drain;
mod keys;
mod refusals;
mod support;
