//! Client for calls to other nodes, with a bounded cache of connections.

mod connection;

use crate::codec::{self, malformed};
use crate::limits::{MAX_EVIDENCE_BYTES, MAX_FETCH_HASHES, MAX_MESSAGE_BYTES};
use crate::proto;
use crate::proto::peer_client::PeerClient;
use crate::server::Evidence;
use crate::{Counters, Error, FetchRequest, Fetched, Result};
use bytes::Bytes;
use connection::{Channel, ClosingConnection, Connection};
use error_stack::{Report, ResultExt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use sycamore_member::message::{ExchangeReply, ExchangeRequest};
use sycamore_types::prelude::*;

/// Timeouts and limits of a [`Peers`] client.
#[derive(Debug, Clone)]
pub struct PeersOptions {
    /// Largest number of cached connections; a new one replaces the least recently used.
    pub connections: usize,
    /// Longest time to connect, HTTP/2 handshake included.
    pub connect_timeout: Duration,
    /// Longest time from sending a call to its whole answer; a fetch has limits of its own.
    pub call_timeout: Duration,
    /// Time without a new call after which [`Peers::close_idle`] closes a connection.
    pub idle: Duration,
}

impl Default for PeersOptions {
    fn default() -> Self {
        Self {
            connections: 16,
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            idle: Duration::from_secs(20),
        }
    }
}

/// Client for calls to other nodes; clones share the connections.
#[derive(Clone)]
pub struct Peers {
    inner: Rc<Inner>,
}

struct Inner {
    deployment: Deployment,
    from: InstanceId,
    options: PeersOptions,
    counters: Arc<Counters>,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
    /// Connections removed from the cache whose running calls may not have ended.
    closing: RefCell<Vec<ClosingConnection>>,
}

type Client = PeerClient<Channel>;

impl Peers {
    /// Creates a client without connections; `from` is the calling node's instance, sent with
    /// every call.
    pub fn new(
        deployment: Deployment,
        from: InstanceId,
        options: PeersOptions,
        counters: Arc<Counters>,
    ) -> Self {
        let connections = RefCell::default();
        let closing = RefCell::default();
        let inner = Inner { deployment, from, options, counters, connections, closing };
        Self { inner: Rc::new(inner) }
    }

    /// Returns the traffic counters that the client's connections add to.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.inner.counters
    }

    /// Sends an exchange request, which compares membership tables or offers items, to the node
    /// whose peer listener is at `to`.
    ///
    /// # Errors
    /// [`Error`] where the peer can't be reached, refuses or sends a malformed reply.
    pub async fn exchange(&self, to: SocketAddr, req: &ExchangeRequest) -> Result<ExchangeReply> {
        let wire = codec::request_to_wire(req);
        let reply = self.call(to, |mut client: Client| async move { client.exchange(wire).await });
        codec::reply_from_wire(reply.await?)
    }

    /// Fetches configuration objects by content hash from the node at `to`. The reply has those
    /// that the node holds and that fit into [`crate::limits::MAX_FETCH_BYTES`], each verified
    /// against its hash, or a delta if the request names a base.
    ///
    /// # Errors
    /// [`Error`] where the peer can't be reached or refuses; [`Error::Timeout`] where `limit` has
    /// passed, connecting included; [`Error::Malformed`] where `req` has more than
    /// [`MAX_FETCH_HASHES`] hashes, or a returned object doesn't match its hash.
    pub async fn fetch(
        &self,
        to: SocketAddr,
        req: &FetchRequest,
        limit: &FetchLimit,
    ) -> Result<Fetched> {
        if req.hashes.len() > MAX_FETCH_HASHES {
            return Err(malformed("more than MAX_FETCH_HASHES hashes to fetch"));
        }
        let bytes = |hash: &ContentHash| Bytes::copy_from_slice(&hash.0);
        let wire = proto::FetchRequest {
            hashes: req.hashes.iter().map(bytes).collect(),
            base: req.base.as_ref().map(bytes).unwrap_or_default(),
        };
        let call = |mut client: Client| async move { client.fetch(wire).await };
        let reply = self.call_while_receiving(to, limit, call).await?;
        if !reply.delta.is_empty() {
            return Ok(Fetched::Delta(reply.delta));
        }
        let objects = reply.objects.into_iter().map(verify_object).collect::<Result<_>>()?;
        Ok(Fetched::Objects(objects))
    }

    /// Asks the node at `to` for the highest configuration head that it has seen; `None` where it
    /// has seen none.
    ///
    /// # Errors
    /// [`Error`] where the peer can't be reached, refuses or sends a malformed reply.
    pub async fn head(&self, to: SocketAddr) -> Result<Option<ConfigHead>> {
        let req = proto::HeadRequest {};
        let reply = self.call(to, |mut client: Client| async move { client.head(req).await });
        reply.await?.head.as_ref().map(codec::head_from_wire).transpose()
    }

    /// Sends an evidence summary to the node at `to` and returns the body of its answer.
    ///
    /// # Errors
    /// [`Error`] where the peer can't be reached or refuses; [`Error::Malformed`] where the summary
    /// exceeds [`MAX_EVIDENCE_BYTES`].
    pub async fn evidence(&self, to: SocketAddr, evidence: Evidence) -> Result<Bytes> {
        if evidence.body.len() > MAX_EVIDENCE_BYTES {
            return Err(malformed("evidence summary larger than MAX_EVIDENCE_BYTES"));
        }
        let req = proto::EvidenceRequest { kind: evidence.kind, body: evidence.body };
        let reply = self.call(to, |mut client: Client| async move { client.evidence(req).await });
        Ok(reply.await?.body)
    }

    /// Closes the connections without a new call for [`PeersOptions::idle`], and removes those that
    /// have ended.
    pub fn close_idle(&self) {
        let idle = self.inner.options.idle;
        let mut connections = self.inner.connections.borrow_mut();
        let stale: Vec<SocketAddr> = connections
            .iter()
            .filter(|(_, connection)| {
                connection.last_used.elapsed() > idle || connection.is_closed()
            })
            .map(|(to, _)| *to)
            .collect();
        for to in stale {
            self.begin_close(connections.remove(&to));
        }
    }

    /// Closes all connections and waits until their running calls and tasks have ended.
    pub async fn close(&self) {
        let open: Vec<Connection> =
            self.inner.connections.borrow_mut().drain().map(|(_, connection)| connection).collect();
        let closing: Vec<ClosingConnection> = self.inner.closing.borrow_mut().drain(..).collect();
        let all = open.into_iter().map(Connection::into_closing).chain(closing);
        for connection in all.collect::<Vec<ClosingConnection>>() {
            connection.join().await;
        }
    }

    /// Runs `call` over a connection to `to`, for at most the call timeout.
    async fn call<T, F>(&self, to: SocketAddr, call: impl FnOnce(Client) -> F) -> Result<T>
    where
        F: Future<Output = std::result::Result<tonic::Response<T>, tonic::Status>>,
    {
        let channel = self.channel_for(to, self.inner.options.connect_timeout).await?;
        let client = client(to, channel)?;
        match monoio::time::timeout(self.inner.options.call_timeout, call(client)).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(status)) => Err(self.call_error(to, &status)),
            Err(_) => {
                self.discard(to);
                Err(Report::new(Error::Timeout))
            }
        }
    }

    /// Runs `call` over a connection to `to` until `limit` has passed. Bytes of all calls on the
    /// connection show that the peer is alive and the way from it carries something.
    async fn call_while_receiving<T, F>(
        &self,
        to: SocketAddr,
        limit: &FetchLimit,
        call: impl FnOnce(Client) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<tonic::Response<T>, tonic::Status>>,
    {
        let started = Instant::now();
        let channel = self.channel_for(to, limit.whole);
        let channel = monoio::time::timeout(limit.silence, channel).await;
        let channel = channel.map_err(|_| Report::new(Error::Timeout))??;
        let latest_read = channel.latest_read();
        let mut call = pin!(call(client(to, channel)?));
        loop {
            let heard = latest_read.get().map_or(started, |at| at.max(started));
            let silence_left = limit.silence.saturating_sub(heard.elapsed());
            let left = silence_left.min(limit.whole.saturating_sub(started.elapsed()));
            if left.is_zero() {
                if silence_left.is_zero() {
                    // Nothing may arrive on it again, and further calls would wait as long.
                    self.discard(to);
                }
                return Err(Report::new(Error::Timeout));
            }
            match monoio::time::timeout(left, call.as_mut()).await {
                Ok(Ok(reply)) => return Ok(reply.into_inner()),
                Ok(Err(status)) => return Err(self.call_error(to, &status)),
                // Bytes may have arrived meanwhile.
                Err(_) => {}
            }
        }
    }

    /// Converts a failed call's status to an error. The connection to `to` remains cached where the
    /// peer refused this one call, and is discarded on any other status.
    fn call_error(&self, to: SocketAddr, status: &tonic::Status) -> Report<Error> {
        match status.code() {
            tonic::Code::PermissionDenied => Report::new(Error::Deployment),
            tonic::Code::InvalidArgument => malformed("the peer refused the request as malformed"),
            tonic::Code::ResourceExhausted => Report::new(Error::Call),
            _ => {
                self.discard(to);
                Report::new(Error::Call).attach(status.code().description())
            }
        }
    }

    /// Returns the channel of the cached connection to `to`, or of a new one that is established
    /// within `limit`.
    async fn channel_for(&self, to: SocketAddr, limit: Duration) -> Result<Channel> {
        match self.cached_channel(to) {
            Some(channel) => Ok(channel),
            None => self.connect(to, limit).await,
        }
    }

    /// Returns the channel of the cached connection to `to`, and marks it as used now.
    fn cached_channel(&self, to: SocketAddr) -> Option<Channel> {
        let mut connections = self.inner.connections.borrow_mut();
        let connection = connections.get_mut(&to)?;
        if connection.is_closed() {
            self.begin_close(connections.remove(&to));
            return None;
        }
        connection.last_used = Instant::now();
        Some(connection.channel.clone())
    }

    /// Opens a connection to `to` within `limit` and caches it in place of the least recently used
    /// one where the cache is full.
    async fn connect(&self, to: SocketAddr, limit: Duration) -> Result<Channel> {
        let inner = &self.inner;
        let open = Connection::open(to, &inner.deployment, &inner.from, inner.counters.clone());
        let connection =
            monoio::time::timeout(limit, open).await.map_err(|_| Report::new(Error::Connect))??;
        let channel = connection.channel.clone();
        let mut connections = inner.connections.borrow_mut();
        if connections.len() >= inner.options.connections {
            let least_recent =
                connections.iter().min_by_key(|(_, c)| c.last_used).map(|(to, _)| *to);
            self.begin_close(least_recent.and_then(|to| connections.remove(&to)));
        }
        // A concurrent call may have cached a connection to the same peer while this one opened.
        let replaced = connections.insert(to, connection);
        drop(connections);
        self.begin_close(replaced);
        Ok(channel)
    }

    /// Removes the connection to `to` from the cache and starts to close it.
    fn discard(&self, to: SocketAddr) {
        let connection = self.inner.connections.borrow_mut().remove(&to);
        self.begin_close(connection);
    }

    /// Starts to close `connection`, which ends when its running calls have ended; [`Peers::close`]
    /// joins its task.
    fn begin_close(&self, connection: Option<Connection>) {
        let mut closing = self.inner.closing.borrow_mut();
        closing.retain(|connection| !connection.is_finished());
        closing.extend(connection.map(Connection::into_closing));
    }
}

/// Returns a gRPC client of the peer at `to` over `channel`.
fn client(to: SocketAddr, channel: Channel) -> Result<Client> {
    let origin: http::Uri =
        format!("http://{to}").parse().change_context(Error::Malformed).attach("address")?;
    Ok(PeerClient::with_origin(channel, origin)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES))
}

/// Returns an object of a fetch reply with its content hash.
///
/// # Errors
/// [`Error::Malformed`] where the object doesn't match the hash that the peer gave.
fn verify_object(object: proto::Object) -> Result<(ContentHash, Bytes)> {
    let hash = ContentHash::of(&object.body);
    if object.hash.as_ref() != hash.0 {
        return Err(malformed("object doesn't match its hash"));
    }
    Ok((hash, object.body))
}
