//! Batch lifecycle and placement of one cell.
//!
//! The durable part ([`state`]) is the replay of committed events. The owner ([`owner::Cell`])
//! applies an event to its memory when it proposes it, and releases what depends on the event
//! (orders, acknowledgements, replies) only after the commit. A proposed event either commits or
//! the owner steps down, so nothing is ever taken back.

mod answer;
mod attempts;
mod faults;
pub mod jobs;
pub mod owner;
mod placement;
mod queue;
pub mod state;
pub mod worker;

pub use attempts::ReportStatus;
pub use jobs::{CancelReply, JobView, SubmitReply, MAX_CHECKPOINT_BYTES};
pub use owner::{Cell, CellSettings, Effect, Limits, Ticket};
pub use state::{CellState, Event, JobSpec};
pub use worker::WorkerView;
