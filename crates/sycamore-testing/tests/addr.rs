//! Addresses given to tests.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::Command;
use sycamore_testing::unused_addr;

/// Two tests that get the same address would connect to each other's servers.
#[test]
fn threads_get_different_addresses_that_can_be_bound() {
    let draw = || (0..100).map(|_| unused_addr()).collect::<Vec<_>>();
    let threads: Vec<_> = (0..8).map(|_| std::thread::spawn(draw)).collect();
    let drawn: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("it draws")).collect();
    assert_eq!(drawn.iter().collect::<BTreeSet<_>>().len(), drawn.len());
    for addr in drawn {
        assert!(addr.ip().is_loopback());
        TcpListener::bind(addr).expect("the address is unused");
    }
}

/// Two copies of a test program that get the same host would bind each other's addresses.
#[test]
fn processes_get_different_hosts() {
    const PRINTS_HOST: &str = "SYCAMORE_TESTING_PRINTS_HOST";
    if std::env::var_os(PRINTS_HOST).is_some() {
        return println!("host={}", unused_addr().ip());
    }
    let program = std::env::current_exe().expect("the program has a path");
    let args = ["processes_get_different_hosts", "--exact", "--nocapture"];
    let output = Command::new(program).args(args).env(PRINTS_HOST, "1").output();
    let printed = String::from_utf8(output.expect("it runs").stdout).expect("text");
    let other = printed.split("host=").nth(1).and_then(|rest| rest.split_whitespace().next());
    assert_ne!(other.expect("it prints its host"), unused_addr().ip().to_string());
}
