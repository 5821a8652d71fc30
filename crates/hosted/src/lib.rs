//! The two processes that schedule jobs on a platform that starts them, stores their data and runs
//! the workers.
//!
//! - An *entry* stores submitted jobs and answers requests about them. The entries elect one of
//!   them as the *owner*, which schedules all jobs. The other entries are *followers*: they keep a
//!   connection to the owner and forward requests over it.
//! - An *agent* runs beside one worker and carries out the owner's orders on it.
//!
//! The *lock* is the key in the store that names the owner. It is bound to a lease, so it is
//! deleted when the owner stops renewing the lease. The *fence* is a second key, on which each
//! write of the owner is conditional: a new owner overwrites it, and later writes of the former
//! owner fail.
//!
//! Both processes reach the platform through the traits in [`ports`].

pub mod agent;
pub mod causes;
pub mod entry;
mod evacuations;
pub mod explain;
pub mod ports;
pub mod records;

mod admission;
mod connection;
mod decisions;
mod directory;
mod election;
mod follower;
mod job_store;
mod owner_service;
mod ownership;
mod routes;
mod sessions;
mod subscription;
