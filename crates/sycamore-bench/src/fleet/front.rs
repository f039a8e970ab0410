//! Disturbs the network links between a fleet's processes.

use super::{Fleet, Front, Hop, Net};
use crate::proxy::{Link, Proxy, Route, Transport};
use crate::{BenchError, Result};
use error_stack::Report;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Starts the proxy in front of the instance with this number, with one link per hop.
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
    /// Returns the link that disturbs the traffic over `hop` at `instance`.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance, or the fleet was started without
    /// [`super::Options::disturbed`].
    pub fn link(&self, instance: &str, hop: Hop) -> Result<Arc<Link>> {
        self.with_instance(instance, |entry| {
            let link = entry.front.as_ref().and_then(|front| front.links.get(&hop)).cloned();
            link.ok_or_else(|| {
                let what =
                    format!("{instance} has no proxy: the fleet was started without `disturbed`");
                Report::new(BenchError::Option(what))
            })
        })
    }

    /// Returns the proxy's address at which callers reach the node of `instance`. Nothing listens there in
    /// a fleet without [`super::Options::disturbed`].
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance.
    pub fn front_for_callers(&self, instance: &str) -> Result<SocketAddr> {
        Ok(self.net.front_of(self.addrs(instance)?.caller))
    }

    /// Sets how far the wall clock of the node of `instance` is ahead, from the node's next start on.
    ///
    /// # Errors
    /// [`BenchError::Option`] if there is no such instance.
    pub fn set_clock_ahead(&self, instance: &str, ahead: Duration) -> Result<()> {
        self.with_instance(instance, |entry| {
            entry.clock_ahead = ahead;
            Ok(())
        })
    }
}
