//! Generates the Rust message types and gRPC service of `sycamore-peer` from `proto/peer.proto`.

use std::error::Error;
use std::path::Path;

/// Compiles `peer.proto` in the folder `proto` and writes the generated Rust file into the folder
/// `out`.
///
/// # Errors
/// The compiler's error where the proto file does not compile, or an I/O error where `out` can't be
/// written.
pub fn generate(proto: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let files = protox::compile([proto.join("peer.proto")], [proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
