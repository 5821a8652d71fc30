//! Ownership of cells.
