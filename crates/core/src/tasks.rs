//! Attempts on one VM.
