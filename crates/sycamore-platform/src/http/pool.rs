//! Connection pool for one address.

use super::connection::{AnswerTimeouts, Connection};
use super::count::Traffic;
use super::HttpSettings;
use crate::error::{Error, Result};
use bytes::Bytes;
use error_stack::Report;
use http::{Request, Response};
use http_body_util::Full;
use local_sync::semaphore::{Semaphore, SemaphorePermit};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time of one request as a multiple of its timeout, however steadily its answer arrives.
const MAX_TIMEOUTS_PER_REQUEST: u32 = 10;

/// Pool of connections to one address, which also limits the number of concurrent requests.
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

    /// Sends `request` and returns its answer.
    ///
    /// The answer's head must arrive within `timeout`, which includes the wait for a free
    /// connection, and each part of the body within `timeout` of the part before it, so that a
    /// large answer over a slow link may take longer than `timeout` in all.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if no connection was available in time; nothing was sent.
    /// [`Error::NoAnswer`] and [`Error::Malformed`] if the request may have taken effect.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        let sent = Cell::new(false);
        let total = timeout * MAX_TIMEOUTS_PER_REQUEST;
        match monoio::time::timeout(total, self.exchange(request, &sent, timeout)).await {
            Ok(answer) => answer,
            Err(_) if sent.get() => Err(Report::new(Error::NoAnswer)),
            Err(_) => Err(Report::new(Error::Unreachable)),
        }
    }

    /// Sends `request` on an idle or new connection and sets `sent` just before it does.
    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        sent: &Cell<bool>,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        let started = Instant::now();
        let connected = monoio::time::timeout(timeout, self.acquire()).await;
        let (_permit, connection) = connected.unwrap_or_else(|_| Err(Error::Unreachable.into()))?;
        sent.set(true);
        let head = timeout.saturating_sub(started.elapsed());
        let timeouts = AnswerTimeouts { head, frame: timeout };
        let (answer, connection) = connection.exchange(request, self.body_bytes, timeouts).await?;
        self.idle.borrow_mut().extend(connection);
        Ok(answer)
    }

    /// Waits for a permit, then takes an idle connection or opens a new one.
    async fn acquire(&self) -> Result<(SemaphorePermit<'_>, Connection)> {
        let permit = self.permits.acquire().await.map_err(|_| Report::new(Error::Unreachable))?;
        match self.take_idle() {
            Some(connection) => Ok((permit, connection)),
            None => {
                let opened = Connection::open(self.address, Rc::clone(&self.traffic)).await?;
                Ok((permit, opened))
            }
        }
    }

    /// Takes a usable idle connection and drops those that the peer has closed.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }
}
