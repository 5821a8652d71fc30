//! Command line of peridotfold.

fn main() {
    println!("peridotfold {}", env!("CARGO_PKG_VERSION"));
}
