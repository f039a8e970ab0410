//! Calls to other nodes, over a bounded cache of connections.

mod connection;

use crate::codec::{self, malformed};
use crate::limits::{MAX_EVIDENCE_BYTES, MAX_FETCH_HASHES, MAX_MESSAGE_BYTES};
use crate::proto;
use crate::proto::peer_client::PeerClient;
use crate::server::Evidence;
use crate::{Counters, Error, Result};
use bytes::Bytes;
use connection::{Channel, Closing, Connection};
use error_stack::{Report, ResultExt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use sycamore_member::message::{ExchangeReply, ExchangeRequest};
use sycamore_types::prelude::*;

/// Settings of [`Peers`].
#[derive(Debug, Clone)]
pub struct PeersOptions {
    /// Connections kept open at most; the one unused for longest makes room.
    pub connections: usize,
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// Time to answer a call.
    pub call_timeout: Duration,
    /// Unused connections are closed after this time.
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

/// Handle for calls to other nodes; cheap to clone.
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
    closing: RefCell<Vec<Closing>>,
}

type Client = PeerClient<Channel>;

impl Peers {
    /// A handle for the node of instance `from`.
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

    /// The counters that the handle's sockets feed.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.inner.counters
    }

    /// Compares tables with the node at `to`, the address of its peer listener.
    ///
    /// # Errors
    /// [`Error`] where the peer can't be reached, refuses or answers with something malformed.
    pub async fn exchange(&self, to: SocketAddr, req: &ExchangeRequest) -> Result<ExchangeReply> {
        let wire = codec::request_to_wire(req);
        let reply = self.call(to, |mut client: Client| async move { client.exchange(wire).await });
        codec::reply_from_wire(reply.await?)
    }

    /// Fetches objects by hash from the node at `to`. It answers with those that it holds and that
    /// fit into [`crate::limits::MAX_FETCH_BYTES`]; each is checked against its hash.
    ///
    /// # Errors
    /// [`Error`] where the peer can't be reached or refuses; [`Error::Malformed`] where more than
    /// [`MAX_FETCH_HASHES`] are asked for, or an answered object doesn't match its hash.
    pub async fn fetch(
        &self,
        to: SocketAddr,
        hashes: &[ContentHash],
    ) -> Result<Vec<(ContentHash, Bytes)>> {
        if hashes.len() > MAX_FETCH_HASHES {
            return Err(malformed("too many hashes"));
        }
        let hashes = hashes.iter().map(|hash| Bytes::copy_from_slice(&hash.0)).collect();
        let req = proto::FetchRequest { hashes };
        let reply = self.call(to, |mut client: Client| async move { client.fetch(req).await });
        reply.await?.objects.into_iter().map(checked_object).collect()
    }

    /// Asks the node at `to` for the highest configuration head that it has seen.
    ///
    /// # Errors
    /// [`Error`] where the peer can't be reached, refuses or answers with something malformed.
    pub async fn head(&self, to: SocketAddr) -> Result<Option<ConfigHead>> {
        let req = proto::HeadRequest {};
        let reply = self.call(to, |mut client: Client| async move { client.head(req).await });
        reply.await?.head.as_ref().map(codec::head_from_wire).transpose()
    }

    /// Delivers an evidence summary to the node at `to`; gives its answer.
    ///
    /// # Errors
    /// [`Error`] where the peer can't be reached or refuses; [`Error::Malformed`] where the body
    /// exceeds [`MAX_EVIDENCE_BYTES`].
    pub async fn evidence(&self, to: SocketAddr, evidence: Evidence) -> Result<Bytes> {
        if evidence.body.len() > MAX_EVIDENCE_BYTES {
            return Err(malformed("evidence too large"));
        }
        let req = proto::EvidenceRequest { kind: evidence.kind, body: evidence.body };
        let reply = self.call(to, |mut client: Client| async move { client.evidence(req).await });
        Ok(reply.await?.body)
    }

    /// Closes connections that have not been used for [`PeersOptions::idle`].
    pub fn close_idle(&self) {
        let idle = self.inner.options.idle;
        let mut connections = self.inner.connections.borrow_mut();
        let stale: Vec<SocketAddr> = connections
            .iter()
            .filter(|(_, connection)| connection.used.elapsed() > idle || connection.is_closed())
            .map(|(to, _)| *to)
            .collect();
        for to in stale {
            self.retire(connections.remove(&to));
        }
    }

    /// Closes all connections and joins their tasks.
    pub async fn close(&self) {
        let open: Vec<Connection> =
            self.inner.connections.borrow_mut().drain().map(|(_, connection)| connection).collect();
        let closing: Vec<Closing> = self.inner.closing.borrow_mut().drain(..).collect();
        let all = open.into_iter().map(Connection::release).chain(closing);
        for connection in all.collect::<Vec<Closing>>() {
            connection.join().await;
        }
    }

    /// Runs `call` over a connection to `to`, with the call timeout.
    async fn call<T, F>(&self, to: SocketAddr, call: impl FnOnce(Client) -> F) -> Result<T>
    where
        F: Future<Output = std::result::Result<tonic::Response<T>, tonic::Status>>,
    {
        let client = self.client(to).await?;
        match monoio::time::timeout(self.inner.options.call_timeout, call(client)).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(status)) => Err(self.refused(to, &status)),
            Err(_) => {
                self.forget(to);
                Err(Report::new(Error::Timeout))
            }
        }
    }

    fn refused(&self, to: SocketAddr, status: &tonic::Status) -> Report<Error> {
        match status.code() {
            tonic::Code::PermissionDenied => Report::new(Error::Deployment),
            tonic::Code::InvalidArgument => malformed("refused by the peer"),
            tonic::Code::ResourceExhausted => Report::new(Error::Call),
            _ => {
                self.forget(to);
                Report::new(Error::Call).attach(status.code().description())
            }
        }
    }

    async fn client(&self, to: SocketAddr) -> Result<Client> {
        let origin: http::Uri =
            format!("http://{to}").parse().change_context(Error::Malformed).attach("address")?;
        let channel = match self.cached(to) {
            Some(channel) => channel,
            None => self.connect(to).await?,
        };
        Ok(PeerClient::with_origin(channel, origin)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    fn cached(&self, to: SocketAddr) -> Option<Channel> {
        let mut connections = self.inner.connections.borrow_mut();
        let connection = connections.get_mut(&to)?;
        if connection.is_closed() {
            self.retire(connections.remove(&to));
            return None;
        }
        connection.used = Instant::now();
        Some(connection.channel.clone())
    }

    async fn connect(&self, to: SocketAddr) -> Result<Channel> {
        let inner = &self.inner;
        let open = Connection::open(to, &inner.deployment, &inner.from, inner.counters.clone());
        let connection = monoio::time::timeout(inner.options.connect_timeout, open)
            .await
            .map_err(|_| Report::new(Error::Connect))??;
        let channel = connection.channel.clone();
        let mut connections = inner.connections.borrow_mut();
        if connections.len() >= inner.options.connections {
            let oldest = connections.iter().min_by_key(|(_, c)| c.used).map(|(to, _)| *to);
            self.retire(oldest.and_then(|oldest| connections.remove(&oldest)));
        }
        let earlier = connections.insert(to, connection);
        drop(connections);
        self.retire(earlier);
        Ok(channel)
    }

    fn forget(&self, to: SocketAddr) {
        let connection = self.inner.connections.borrow_mut().remove(&to);
        self.retire(connection);
    }

    /// Lets `connection` end once its calls have; its task is joined by [`Peers::close`].
    fn retire(&self, connection: Option<Connection>) {
        let mut closing = self.inner.closing.borrow_mut();
        closing.retain(|connection| !connection.is_finished());
        closing.extend(connection.map(Connection::release));
    }
}

fn checked_object(object: proto::Object) -> Result<(ContentHash, Bytes)> {
    let hash = ContentHash::of(&object.body);
    if object.hash.as_ref() != hash.0 {
        return Err(malformed("object doesn't match its hash"));
    }
    Ok((hash, object.body))
}
