//! Stand-ins for the platform and upstreams, for tests and the demo.
