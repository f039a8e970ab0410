//! Test of a daemon whose addresses are in use.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use sycamore_testing::unused_addr;

/// Longest time in which a daemon that can't start exits.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
const LISTENERS: [&str; 6] = ["caller", "upstream", "relay", "peer", "operator", "ready"];

/// Starts a daemon whose listener `name` has the address `addr`, and the others unused ones.
fn start_daemon(name: &str, addr: SocketAddr) -> Child {
    let platform = unused_addr();
    let listen = LISTENERS.map(|other| {
        let own = if other == name { addr } else { unused_addr() };
        format!("{other} = {own}\n")
    });
    let settings = format!(
        "[node]\ndeployment = mesh\ninstance = counter-1\nservice = counter\ndata_centre = a\n\
         region = r\n[listen]\n{}[platform]\ntable = {platform}\nobjects = {platform}\n",
        listen.concat()
    );
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    std::fs::write(&file, settings).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_sycamoreshiftd"));
    program.arg("--settings").arg(&file).stdout(Stdio::null()).stderr(Stdio::piped());
    program.spawn().unwrap()
}

/// Waits for the daemon to exit and returns its standard error; `None` if it goes on running.
fn wait_for_exit(mut daemon: Child) -> Option<String> {
    let begun = Instant::now();
    while daemon.try_wait().unwrap().is_none() {
        if begun.elapsed() > EXIT_TIMEOUT {
            daemon.kill().unwrap();
            daemon.wait().unwrap();
            return None;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let output = daemon.wait_with_output().unwrap();
    assert!(!output.status.success());
    Some(String::from_utf8(output.stderr).unwrap())
}

/// A node that shares its address with another process must not start: each would get a part of
/// the other's calls.
#[test]
fn a_node_whose_address_is_in_use_does_not_start() {
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        for name in LISTENERS {
            let addr = unused_addr();
            // The library's default lets other sockets share the address.
            let other = monoio::net::TcpListener::bind(addr).unwrap();
            let stderr = wait_for_exit(start_daemon(name, addr));
            let stderr = stderr.unwrap_or_else(|| panic!("a node shares its {name} address"));
            assert!(stderr.contains(&addr.to_string()), "{name}: {stderr}");
            drop(other);
        }
    });
}
