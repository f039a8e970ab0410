//! Disturbing the ways between a fleet's processes.

use super::{Fleet, Front, Hop, Net};
use crate::proxy::{Link, Proxy, Route, Transport};
use crate::{BenchError, Result};
use error_stack::Report;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Starts the proxy before the instance with this number.
pub(super) fn start(net: &Net, number: usize) -> Result<Front> {
    let mut links: BTreeMap<Hop, Arc<Link>> = BTreeMap::new();
    let mut routes = Vec::new();
    for hop in Hop::ALL {
        let (listen, target) = net.front(number, hop);
        let link = links.entry(hop).or_default().clone();
        let route = Route { transport: Transport::Tcp, listen, target, link };
        if hop == Hop::Peer {
            routes.push(Route { transport: Transport::Udp, ..route.clone() });
        }
        routes.push(route);
    }
    Ok(Front { proxy: Proxy::start(routes)?, links })
}

impl Fleet {
    /// The way over `hop` at `instance`.
    ///
    /// # Errors
    /// [`BenchError::Option`] where there is no such instance, or none is disturbed.
    pub fn link(&self, instance: &str, hop: Hop) -> Result<Arc<Link>> {
        self.with(instance, |entry| {
            let link = entry.front.as_ref().and_then(|front| front.links.get(&hop)).cloned();
            link.ok_or_else(|| Report::new(BenchError::Option("the fleet is not disturbed".into())))
        })
    }

    /// Where callers reach `instance` by way of the proxy.
    ///
    /// # Errors
    /// [`BenchError::Option`] where there is no such instance.
    pub fn front_for_callers(&self, instance: &str) -> Result<SocketAddr> {
        Ok(self.net.front_of(self.addrs(instance)?.caller))
    }

    /// Sets how far civil time of the node of `instance` runs ahead from its next start.
    ///
    /// # Errors
    /// [`BenchError::Option`] where there is no such instance.
    pub fn set_clock_ahead(&self, instance: &str, ahead: Duration) -> Result<()> {
        self.with(instance, |entry| {
            entry.clock_ahead = ahead;
            Ok(())
        })
    }
}
