//! Parsing and encoding of bytes.

mod body;
mod head;
mod hop;
