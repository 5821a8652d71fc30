//! Stand-ins for the platform and upstreams, for tests and the demo.

pub mod demo;
pub mod forwarder;
pub mod launch;
pub mod load;
pub mod process;
pub mod store;
pub mod upstream;
pub mod worker;
