//! Scheduling of multi-step jobs. One owner process accepts jobs, orders and places their tasks,
//! and takes over from a failed owner. One agent per worker carries out the owner's orders.
//!
//! Terms used throughout the module:
//!
//! - A *run* is one attempt to execute a task; an *end* is the worker's report that a run is over.
//! - A *listing* is a worker's answer to its agent's request for the runs in progress on the worker
//!   and the ends that the owner has not acknowledged.
//! - A *session* is the connection of an agent to the owner, up to its loss.
//! - A *permission* is the time-limited grant under which a worker may run tasks. The owner renews
//!   it, and a worker stops all its tasks when it expires.
//! - An *incarnation* is the lifetime of one worker process. Its ID contains the time of its start where
//!   the platform tells it, and is the raw ID of the worker elsewhere.
//! - A *long-running* task runs until its job is cancelled. A *serving* task is a long-running task
//!   with a target for its tail latency.
//! - A *gang* is a step whose tasks must all run at the same time.
//! - An *image* is the program that a task runs, identified by the hash of its name.
//! - A *best-effort* task reserves no CPU and runs on what other tasks leave idle. Its *pace* is
//!   the CPU that it may use, in percent of what it requests.
//! - *Interference* is the rise of a serving task's tail latency caused by best-effort tasks on the
//!   same worker. The interference *weight* of a serving image and a best-effort image is the rise
//!   of the logarithm of the tail latency if the best-effort image uses all CPU of the worker.
//! - A *suspect* is a task under which a worker may have crashed. It starts again on a node in
//!   *quarantine*, which takes no other starts.
//! - The *roster* is the stored list of nodes whose agents may hold a permission.

pub mod crashes;
pub mod evacuation;
pub mod explain;
pub mod forecast;
pub mod incarnation;
pub mod intake;
pub mod interference;
pub mod message;
pub mod model;
pub mod node;
pub mod owner;
pub mod pace;
pub mod progress;
pub mod ranking;
pub mod routes;
pub mod sampler;
pub mod speed;

mod place;
mod recovery;
mod status;
mod step;

pub use place::near;
