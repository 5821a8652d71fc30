//! Jobs made of steps: acceptance, order, placement and recovery by one owner, and the agent that
//! carries out the owner's orders on one worker.

pub mod gauge;
pub mod message;
pub mod model;
pub mod node;
pub mod owner;
pub mod pace;
pub mod press;
pub mod progress;
pub mod routes;

mod place;
mod recovery;
mod step;
mod views;
