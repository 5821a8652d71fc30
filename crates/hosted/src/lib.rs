//! The hosted roles: the entry that stores and answers for jobs and may own their scheduling, and
//! the agent beside a worker. Both reach the platform through the traits in [`ports`].

pub mod agent;
pub mod entry;
pub mod ports;
pub mod records;

mod connection;
mod decisions;
mod directory;
mod election;
mod follower;
mod owner_service;
mod ownership;
mod sessions;
