//! Stand-in for an upstream service.
