//! Single cases.
