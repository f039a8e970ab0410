//! Loopback addresses and ports of a fleet.

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

/// Offset from the port of a process to the port of the proxy in front of it.
const PROXY_PORT_OFFSET: u16 = 100;

/// Number of hosts that share one third byte of their address.
const HOSTS_PER_BLOCK: usize = 250;

/// Range of loopback addresses of a fleet.
#[derive(Debug, Clone)]
pub struct Net {
    first: u8,
    block: u8,
}

/// Addresses at which the processes of an instance listen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addrs {
    /// Node's listener for callers.
    pub caller: SocketAddr,
    /// Node's listener for its upstream.
    pub upstream: SocketAddr,
    /// Node's listener for calls from other nodes.
    pub relay: SocketAddr,
    /// Node's listener for messages from other nodes, over TCP and UDP.
    pub peer: SocketAddr,
    /// Node's listener for operators.
    pub operator: SocketAddr,
    /// Upstream's listener for its node.
    pub service: SocketAddr,
}

/// Kind of network link to a process, which a proxy may disturb.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hop {
    /// Calls from callers to the node.
    Caller,
    /// Calls from other nodes to the node.
    Relay,
    /// Messages from other nodes to the node.
    Peer,
    /// Calls from the node to its upstream.
    Service,
    /// Requests from the node to the platform.
    Platform,
}

impl Hop {
    /// All kinds of network link, in the order of the variants.
    pub const ALL: [Self; 5] =
        [Self::Caller, Self::Relay, Self::Peer, Self::Service, Self::Platform];
}

impl Net {
    /// Draws a random range of the loopback network, which another fleet is unlikely to use.
    pub fn draw() -> Self {
        let mut rng = rand::rng();
        Self { first: rng.random_range(2..=250), block: rng.random_range(0..=240) }
    }

    /// Returns the address of the platform's stand-in.
    pub fn platform(&self) -> SocketAddr {
        SocketAddr::new(self.host(0), PLATFORM_PORT)
    }

    /// Returns the address of the witness.
    pub fn witness(&self) -> SocketAddr {
        SocketAddr::new(self.host(0), WITNESS_PORT)
    }

    /// Returns the addresses of the instance with this number, counted from 0.
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

    /// Returns the address of the proxy for `hop` of the instance with this number, counted from 0, and
    /// the address that it forwards to.
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

    /// Returns the address of the proxy in front of the listener at `addr`.
    pub fn front_of(&self, addr: SocketAddr) -> SocketAddr {
        SocketAddr::new(addr.ip(), addr.port() + PROXY_PORT_OFFSET)
    }

    fn host(&self, number: usize) -> IpAddr {
        let block = usize::from(self.block) + number / HOSTS_PER_BLOCK;
        let host = 1 + number % HOSTS_PER_BLOCK;
        let byte = |value: usize| u8::try_from(value).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, self.first, byte(block), byte(host)))
    }
}
