//! Tests of the agent's task state: single cases, and seeded random schedules in virtual time.

mod cases;
#[path = "../support/machine.rs"]
mod machine;
mod model_owner;
mod model_worker;
mod schedules;
#[path = "../support/schedules.rs"]
mod support;
