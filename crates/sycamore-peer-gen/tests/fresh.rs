//! The committed code is what the proto file gives.

use std::fs;
use std::path::Path;

#[test]
fn committed_code_is_fresh() {
    let peer = Path::new(env!("CARGO_MANIFEST_DIR")).join("../sycamore-peer");
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    sycamore_peer_gen::generate(&peer.join("proto"), out).expect("the proto file compiles");
    let name = "sycamore.peer.v1.rs";
    let fresh = fs::read_to_string(out.join(name)).expect("generated");
    let committed = fs::read_to_string(peer.join("src/proto").join(name)).expect("committed");
    assert_eq!(fresh, committed, "run `cargo run -p sycamore-peer-gen`");
}
