//! Batch lifecycle and placement of one cell.
