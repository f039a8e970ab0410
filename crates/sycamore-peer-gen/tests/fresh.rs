//! Test that the committed generated code matches the proto file.

use std::fs;
use std::path::Path;

/// Guards against a proto file changed without regenerating the code, or generated code changed by
/// hand: the code is generated again and compared with the committed file.
#[test]
fn committed_code_matches_the_proto_file() {
    let peer = Path::new(env!("CARGO_MANIFEST_DIR")).join("../sycamore-peer");
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    sycamore_peer_gen::generate(&peer.join("proto"), out).expect("the proto file compiles");
    let name = "sycamore.peer.v1.rs";
    let generated = fs::read_to_string(out.join(name)).expect("the generated file is readable");
    let committed = fs::read_to_string(peer.join("src/proto").join(name))
        .expect("the committed file is readable");
    assert_eq!(generated, committed, "src/proto is outdated; run `cargo run -p sycamore-peer-gen`");
}
