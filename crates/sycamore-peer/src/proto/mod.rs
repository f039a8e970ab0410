//! Generated messages and service of `proto/peer.proto`; `cargo run -p sycamore-peer-gen` writes them.
#![allow(missing_docs, clippy::all)]

include!("sycamore.peer.v1.rs");
