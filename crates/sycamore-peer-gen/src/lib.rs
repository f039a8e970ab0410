//! Generates the message types and service of `sycamore-peer` from its proto file.

use std::error::Error;
use std::path::Path;

/// Compiles `peer.proto` of folder `proto` and writes the Rust code into folder `out`.
///
/// # Errors
/// The proto file does not compile, or `out` can't be written.
pub fn generate(proto: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let files = protox::compile([proto.join("peer.proto")], [proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
