//! Batch job lifecycle and task placement in one cell.
//!
//! A cell is a set of workers in one data centre with the jobs assigned to it. A worker is a VM on
//! which an agent runs batch tasks. One entry process at a time owns the cell; each ownership
//! period has a higher number, the epoch. A job has tasks, and each start of a task is an attempt
//! with its own fencing token. An incarnation is one run of an agent process.
//!
//! The durable state ([`state`]) is the replay of committed events. The owner ([`owner::Cell`])
//! applies an event to its copy of the state when proposing it, and sends messages that depend on
//! the event (orders, acknowledgements, replies) only after the commit. A proposed event either
//! commits or the owner stops for good, so no rollback is needed.
//!
//! Agents send periodic reports. The owner answers each report with lease renewals, start and stop
//! orders, and acknowledgements of results.

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
