//! Attempts on VMs under seeded random schedules on virtual time.

mod cases;
mod model_owner;
mod model_worker;
mod schedules;
#[path = "../support/schedules.rs"]
mod support;
