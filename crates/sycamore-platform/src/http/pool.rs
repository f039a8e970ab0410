//! A few connections to one address.

use super::connection::Connection;
use super::count::Traffic;
use super::HttpSettings;
use crate::error::{Error, Result};
use bytes::Bytes;
use error_stack::Report;
use http::{Request, StatusCode};
use http_body_util::Full;
use local_sync::semaphore::Semaphore;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Open connections, and the bound on how many requests are under way at once.
pub(super) struct Pool {
    address: SocketAddr,
    body_bytes: usize,
    permits: Semaphore,
    idle: RefCell<Vec<Connection>>,
    traffic: Rc<Traffic>,
}

impl Pool {
    pub(super) fn new(address: SocketAddr, settings: &HttpSettings, traffic: Rc<Traffic>) -> Self {
        Self {
            address,
            body_bytes: settings.body_bytes,
            permits: Semaphore::new(settings.connections.max(1)),
            idle: RefCell::new(Vec::new()),
            traffic,
        }
    }

    /// Sends `request` within `limit`, waiting for a free connection included.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let sent = Cell::new(false);
        match monoio::time::timeout(limit, self.exchange(request, &sent)).await {
            Ok(answer) => answer,
            Err(_) if sent.get() => Err(Report::new(Error::NoAnswer)),
            Err(_) => Err(Report::new(Error::Unreachable)),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        sent: &Cell<bool>,
    ) -> Result<(StatusCode, Bytes)> {
        let _permit = self.permits.acquire().await.map_err(|_| Report::new(Error::Unreachable))?;
        let connection = match self.idle() {
            Some(connection) => connection,
            None => Connection::open(self.address, Rc::clone(&self.traffic)).await?,
        };
        sent.set(true);
        let (answer, connection) = connection.exchange(request, self.body_bytes).await?;
        self.idle.borrow_mut().extend(connection);
        Ok(answer)
    }

    fn idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }
}
