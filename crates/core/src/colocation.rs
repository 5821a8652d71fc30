//! Throttling, eviction and restoration of batch tasks beside a service.
