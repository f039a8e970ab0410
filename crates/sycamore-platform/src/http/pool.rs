//! A few connections to one address.

use super::connection::{Connection, Pace};
use super::count::Traffic;
use super::HttpSettings;
use crate::error::{Error, Result};
use bytes::Bytes;
use error_stack::Report;
use http::{Request, StatusCode};
use http_body_util::Full;
use local_sync::semaphore::{Semaphore, SemaphorePermit};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How many times its limit a request may take in all, however its answer moves.
const MOST_LIMITS: u32 = 10;

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

    /// Sends `request`. Its answer must begin within `limit`, waiting for a free connection included,
    /// and then go on at least every `limit`: a large one takes its time on a slow link.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let sent = Cell::new(false);
        let most = limit * MOST_LIMITS;
        match monoio::time::timeout(most, self.exchange(request, &sent, limit)).await {
            Ok(answer) => answer,
            Err(_) if sent.get() => Err(Report::new(Error::NoAnswer)),
            Err(_) => Err(Report::new(Error::Unreachable)),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        sent: &Cell<bool>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let begun = Instant::now();
        let connected = monoio::time::timeout(limit, self.connect()).await;
        let (_permit, connection) = connected.unwrap_or_else(|_| Err(Error::Unreachable.into()))?;
        sent.set(true);
        let first = limit.saturating_sub(begun.elapsed());
        let (answer, connection) =
            connection.exchange(request, self.body_bytes, Pace { first, next: limit }).await?;
        self.idle.borrow_mut().extend(connection);
        Ok(answer)
    }

    async fn connect(&self) -> Result<(SemaphorePermit<'_>, Connection)> {
        let permit = self.permits.acquire().await.map_err(|_| Report::new(Error::Unreachable))?;
        match self.idle() {
            Some(connection) => Ok((permit, connection)),
            None => {
                let opened = Connection::open(self.address, Rc::clone(&self.traffic)).await?;
                Ok((permit, opened))
            }
        }
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
