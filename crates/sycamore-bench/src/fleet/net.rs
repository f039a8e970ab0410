//! Loopback addresses.

use rand::Rng;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const CALLER_PORT: u16 = 7400;
const UPSTREAM_PORT: u16 = 7401;
const RELAY_PORT: u16 = 7402;
const PEER_PORT: u16 = 7403;
const OPERATOR_PORT: u16 = 7404;
const SERVICE_PORT: u16 = 9000;
const PLATFORM_PORT: u16 = 7390;
const WITNESS_PORT: u16 = 7391;

/// Added to a port for the proxy that stands before it.
const FRONT: u16 = 100;

/// Hosts in one block of the fleet's addresses.
const HOSTS_PER_BLOCK: usize = 250;

/// The loopback addresses of one fleet.
#[derive(Debug, Clone)]
pub struct Net {
    first: u8,
    block: u8,
}

/// Where one instance's processes listen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addrs {
    /// The node, for callers.
    pub caller: SocketAddr,
    /// The node, for its upstream.
    pub upstream: SocketAddr,
    /// The node, for calls of other nodes.
    pub relay: SocketAddr,
    /// The node, for messages of other nodes.
    pub peer: SocketAddr,
    /// The node, for operators.
    pub operator: SocketAddr,
    /// The upstream.
    pub service: SocketAddr,
}

/// A way to a process that a proxy may disturb.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hop {
    /// From callers to the node.
    Caller,
    /// From other nodes to the node, with calls.
    Relay,
    /// From other nodes to the node, with messages.
    Peer,
    /// From the node to its upstream.
    Service,
    /// From the node to the platform.
    Platform,
}

impl Hop {
    /// Every hop.
    pub const ALL: [Self; 5] =
        [Self::Caller, Self::Relay, Self::Peer, Self::Service, Self::Platform];
}

impl Net {
    /// Draws a part of the loopback network that no other fleet is likely to use.
    pub fn draw() -> Self {
        let mut rng = rand::rng();
        Self { first: rng.random_range(2..=250), block: rng.random_range(0..=240) }
    }

    /// The platform's address.
    pub fn platform(&self) -> SocketAddr {
        SocketAddr::new(self.host(0), PLATFORM_PORT)
    }

    /// The witness' address.
    pub fn witness(&self) -> SocketAddr {
        SocketAddr::new(self.host(0), WITNESS_PORT)
    }

    /// The addresses of the instance with this number, from 0.
    pub fn instance(&self, number: usize) -> Addrs {
        let host = self.host(number + 1);
        let on = |port| SocketAddr::new(host, port);
        Addrs {
            caller: on(CALLER_PORT),
            upstream: on(UPSTREAM_PORT),
            relay: on(RELAY_PORT),
            peer: on(PEER_PORT),
            operator: on(OPERATOR_PORT),
            service: on(SERVICE_PORT),
        }
    }

    /// Where a proxy stands in for `hop` of the instance with this number, and for what.
    pub fn front(&self, number: usize, hop: Hop) -> (SocketAddr, SocketAddr) {
        let addrs = self.instance(number);
        let target = match hop {
            Hop::Caller => addrs.caller,
            Hop::Relay => addrs.relay,
            Hop::Peer => addrs.peer,
            Hop::Service => addrs.service,
            Hop::Platform => self.platform(),
        };
        (self.front_of(SocketAddr::new(addrs.caller.ip(), target.port())), target)
    }

    /// Where a proxy stands in for the listener at `addr`.
    pub fn front_of(&self, addr: SocketAddr) -> SocketAddr {
        SocketAddr::new(addr.ip(), addr.port() + FRONT)
    }

    fn host(&self, number: usize) -> IpAddr {
        let block = usize::from(self.block) + number / HOSTS_PER_BLOCK;
        let host = 1 + number % HOSTS_PER_BLOCK;
        let byte = |value: usize| u8::try_from(value).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, self.first, byte(block), byte(host)))
    }
}
