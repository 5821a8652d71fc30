//! Client of the platform's key-value store.
