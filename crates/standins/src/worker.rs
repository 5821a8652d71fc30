//! Stand-in for the worker API of the platform.
