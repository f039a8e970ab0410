//! Tests of the HTTP codec and of its connections, one module per module of the crate.
#![allow(clippy::unwrap_used)]

mod conn;
mod wire;
