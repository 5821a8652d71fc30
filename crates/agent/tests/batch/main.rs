//! Tests of batch tasks on a VM, with the stand-in worker and real network connections.

mod flow;
mod support;
mod worker_contract;
