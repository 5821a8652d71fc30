//! Batch tasks on this VM.
