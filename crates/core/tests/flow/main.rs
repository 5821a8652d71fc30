//! The owner of jobs with steps, and the agent that carries out its orders, on virtual time.

mod interference;
mod load;
mod node;
mod owner;
mod pace;
mod place;
mod support;
