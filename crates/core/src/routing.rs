//! Upstreams known to an entry, and the choice between them.
