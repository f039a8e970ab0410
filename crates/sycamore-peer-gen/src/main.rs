//! Development tool that regenerates the code in `sycamore-peer/src/proto`: run it after every
//! change of the proto file, as `cargo run -p sycamore-peer-gen`.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let peer = Path::new(env!("CARGO_MANIFEST_DIR")).join("../sycamore-peer");
    sycamore_peer_gen::generate(&peer.join("proto"), &peer.join("src/proto"))
}
