//! Attempts on VMs under seeded random schedules on virtual time.

mod cases;
#[path = "../support/machine.rs"]
mod machine;
mod model_owner;
mod model_worker;
mod schedules;
#[path = "../support/schedules.rs"]
mod support;
