//! Idempotency keys at an entry: bucket ownership and dispatch.
