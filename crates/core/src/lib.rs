//! Deterministic state machines and message types of peridotfold.
//!
//! Nothing in this crate opens a socket, reads a clock, sleeps or uses a global random number
//! generator. Each state machine takes the current time and an input, and returns the actions that
//! its caller performs.

pub mod admission;
pub mod cell;
pub mod colocation;
pub mod config;
pub mod flow;
pub mod hash;
pub mod homes;
pub mod id;
pub mod key_table;
pub mod keys;
pub mod ledger;
pub mod membership;
pub mod message;
pub mod resources;
pub mod routing;
pub mod tasks;
pub mod time;
