//! The node daemon: sockets, clocks and tasks around the decision crates.
