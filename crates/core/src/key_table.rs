//! Idempotency keys at the holder of their bucket.
