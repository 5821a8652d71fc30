//! Jobs made of steps: acceptance, order, placement and recovery by one owner, and the agent that
//! carries out the owner's orders on one worker.

pub mod interference;
pub mod message;
pub mod model;
pub mod node;
pub mod owner;
pub mod pace;
pub mod progress;
pub mod routes;
pub mod sampler;

mod place;
mod recovery;
mod status;
mod step;
