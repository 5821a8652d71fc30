//! Table of upstreams, choice of an upstream and retry budget of an entry.

pub mod budget;
pub mod table;

pub use budget::RetryBudget;
pub use table::{Feedback, Target, UpstreamTable, UpstreamView};
