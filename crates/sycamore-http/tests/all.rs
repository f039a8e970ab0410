//! Tests of the HTTP codec, in the order of its modules.
#![allow(clippy::unwrap_used)]

mod conn;
mod wire;
