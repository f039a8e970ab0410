//! Development tool.
fn main() {}
