//! Routing of requests in an entry: the table of upstreams, the choice of an upstream and the retry
//! budget.

pub mod budget;
pub mod table;

pub use budget::RetryBudget;
pub use table::{Feedback, Target, UpstreamTable, UpstreamView};
