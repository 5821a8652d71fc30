//! Tests of batch work on a VM against the stand-in worker, over the real codecs.

mod flow;
mod support;
mod worker_contract;
