//! Tests of the owner and the agent state machines on virtual time.

mod begun;
mod beliefs;
mod cancels;
mod crashes;
mod evacuation;
mod explain;
mod forecast;
mod incarnations;
mod intake;
mod interference;
mod load;
mod near;
mod node;
mod overload;
mod owner;
mod pace;
mod place;
mod ranking;
mod reports;
mod routes;
mod speed;
mod starvation;
mod support;
mod waits;
