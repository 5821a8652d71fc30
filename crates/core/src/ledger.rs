//! Capacity of one VM.
