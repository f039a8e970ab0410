//! Tests of parsing and encoding message heads and bodies.

mod body;
mod head;
mod hop;
