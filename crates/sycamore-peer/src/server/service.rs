//! Handlers of the generated gRPC service: check a call, queue it for the node, wait for the
//! answer.

use super::FROM_HEADER;
use crate::codec;
use crate::limits::{MAX_EVIDENCE_BYTES, MAX_FETCH_BYTES, MAX_FETCH_HASHES};
use crate::proto;
use crate::proto::peer_server::Peer;
use crate::Counters;
use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use std::sync::{Arc, Mutex};
use sycamore_member::message::{ExchangeReply, ExchangeRequest};
use sycamore_types::headers::DEPLOYMENT;
use sycamore_types::prelude::*;
use tonic::{Request, Response, Status};

/// Largest number of queued calls of one kind; further ones are refused.
const MAX_QUEUED_CALLS: usize = 64;

/// Configuration objects with their content hashes.
pub type Objects = Vec<(ContentHash, Bytes)>;

/// Request for configuration objects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchRequest {
    /// Content hashes of the objects.
    pub hashes: Vec<ContentHash>,
    /// Manifest hash of the caller's configuration in force, from which a delta may start; zero
    /// where the caller has none, `None` where it takes no delta.
    pub base: Option<ContentHash>,
}

/// Answer to a [`FetchRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fetched {
    /// The requested objects that the node holds.
    Objects(Objects),
    /// Encoded difference from the caller's configuration to the node's, at most
    /// [`MAX_FETCH_BYTES`].
    Delta(Bytes),
}

/// Call from another node that waits for an answer; it fails at the caller where `tx` is dropped
/// unused.
#[derive(Debug)]
pub struct Call<Q, A> {
    /// Instance of the calling node, as the header [`FROM_HEADER`] names it.
    pub from: InstanceId,
    /// Request, decoded and checked against its bounds.
    pub body: Q,
    /// Channel for the answer, on which the call's handler waits.
    pub tx: oneshot::Sender<A>,
}

/// Evidence summary: call outcomes that a node counted for release moves. This crate carries the
/// body without decoding it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// Number of the body's format, which sender and receiver of evidence agree on.
    pub kind: u32,
    /// Encoded evidence summary, at most [`MAX_EVIDENCE_BYTES`] bytes.
    pub body: Bytes,
}

/// Receivers of the calls from other nodes, one queue for each kind.
pub struct Inbox {
    /// Comparisons of membership tables.
    pub exchange: mpsc::Receiver<Call<ExchangeRequest, ExchangeReply>>,
    /// Requests for configuration objects; the reply has the first objects of the answer that
    /// together fit into [`MAX_FETCH_BYTES`].
    pub fetch: mpsc::Receiver<Call<FetchRequest, Fetched>>,
    /// Requests for the highest configuration head seen.
    pub head: mpsc::Receiver<Call<(), Option<ConfigHead>>>,
    /// Deliveries of evidence summaries.
    pub evidence: mpsc::Receiver<Call<Evidence, Bytes>>,
}

/// Handlers of the peer service; each connection has a clone.
#[derive(Clone)]
pub struct Server {
    deployment: Deployment,
    counters: Arc<Counters>,
    exchange: CallQueue<ExchangeRequest, ExchangeReply>,
    fetch: CallQueue<FetchRequest, Fetched>,
    head: CallQueue<(), Option<ConfigHead>>,
    evidence: CallQueue<Evidence, Bytes>,
}

impl Server {
    /// Creates the handlers for calls of `deployment`, and the inbox that receives the calls.
    pub fn new(deployment: Deployment, counters: Arc<Counters>) -> (Self, Inbox) {
        let (exchange, exchange_rx) = CallQueue::new();
        let (fetch, fetch_rx) = CallQueue::new();
        let (head, head_rx) = CallQueue::new();
        let (evidence, evidence_rx) = CallQueue::new();
        let server = Self { deployment, counters, exchange, fetch, head, evidence };
        let inbox =
            Inbox { exchange: exchange_rx, fetch: fetch_rx, head: head_rx, evidence: evidence_rx };
        (server, inbox)
    }

    pub(super) fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Returns the calling instance.
    ///
    /// # Errors
    /// Permission denied where the call belongs to another deployment, invalid argument where it
    /// names no valid instance; both count as refused.
    fn identify_caller<T>(&self, req: &Request<T>) -> Result<InstanceId, Status> {
        let header = |name| req.metadata().get(name).and_then(|value| value.to_str().ok());
        if header(DEPLOYMENT) != Some(self.deployment.as_str()) {
            self.counters.add_refused(1);
            return Err(Status::permission_denied("another deployment"));
        }
        let from = header(FROM_HEADER).and_then(|from| InstanceId::new(from).ok());
        from.ok_or_else(|| self.malformed("caller's instance"))
    }

    /// Counts a refused message and returns the status for it.
    fn malformed(&self, what: &'static str) -> Status {
        self.counters.add_refused(1);
        Status::invalid_argument(what)
    }
}

/// Bounded queue from the handlers to the [`Inbox`]. All handlers share one sender, because each
/// clone of a sender would add a slot to the channel.
struct CallQueue<Q, A> {
    tx: Arc<Mutex<mpsc::Sender<Call<Q, A>>>>,
}

impl<Q, A> Clone for CallQueue<Q, A> {
    fn clone(&self) -> Self {
        Self { tx: self.tx.clone() }
    }
}

impl<Q, A> CallQueue<Q, A> {
    fn new() -> (Self, mpsc::Receiver<Call<Q, A>>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CALLS);
        (Self { tx: Arc::new(Mutex::new(tx)) }, rx)
    }

    /// Queues a call and waits for its answer.
    ///
    /// # Errors
    /// Resource exhausted where the queue is full, unavailable where the call is dropped
    /// unanswered.
    async fn call(&self, from: InstanceId, body: Q) -> Result<A, Status> {
        let (tx, rx) = oneshot::channel();
        self.enqueue(Call { from, body, tx })?;
        rx.await.map_err(|_| Status::unavailable("not answered"))
    }

    fn enqueue(&self, call: Call<Q, A>) -> Result<(), Status> {
        let mut tx = self.tx.lock().map_err(|_| Status::internal("a handler failed"))?;
        tx.try_send(call).map_err(|_| Status::resource_exhausted("too many calls"))
    }
}

#[tonic::async_trait]
impl Peer for Server {
    async fn exchange(
        &self,
        req: Request<proto::ExchangeRequest>,
    ) -> Result<Response<proto::ExchangeReply>, Status> {
        let from = self.identify_caller(&req)?;
        let body = codec::request_from_wire(req.into_inner())
            .map_err(|_| self.malformed("exchange request"))?;
        let reply = self.exchange.call(from, body).await?;
        Ok(Response::new(codec::reply_to_wire(&reply)))
    }

    async fn fetch(
        &self,
        req: Request<proto::FetchRequest>,
    ) -> Result<Response<proto::FetchReply>, Status> {
        let from = self.identify_caller(&req)?;
        let body = parse_fetch(&req.into_inner()).ok_or_else(|| self.malformed("hashes"))?;
        let reply = match self.fetch.call(from, body).await? {
            Fetched::Objects(objects) => {
                proto::FetchReply { objects: take_fitting(objects), delta: Bytes::new() }
            }
            Fetched::Delta(delta) => proto::FetchReply { objects: Vec::new(), delta },
        };
        Ok(Response::new(reply))
    }

    async fn head(
        &self,
        req: Request<proto::HeadRequest>,
    ) -> Result<Response<proto::HeadReply>, Status> {
        let from = self.identify_caller(&req)?;
        let head = self.head.call(from, ()).await?;
        Ok(Response::new(proto::HeadReply { head: head.as_ref().map(codec::head_to_wire) }))
    }

    async fn evidence(
        &self,
        req: Request<proto::EvidenceRequest>,
    ) -> Result<Response<proto::EvidenceReply>, Status> {
        let from = self.identify_caller(&req)?;
        let proto::EvidenceRequest { kind, body } = req.into_inner();
        if body.len() > MAX_EVIDENCE_BYTES {
            return Err(self.malformed("evidence too large"));
        }
        let body = self.evidence.call(from, Evidence { kind, body }).await?;
        Ok(Response::new(proto::EvidenceReply { body }))
    }
}

/// Decodes a fetch request; `None` where it has more than [`MAX_FETCH_HASHES`] hashes or one is not
/// 32 bytes long.
fn parse_fetch(req: &proto::FetchRequest) -> Option<FetchRequest> {
    if req.hashes.len() > MAX_FETCH_HASHES {
        return None;
    }
    let parse = |hash: &Bytes| hash.as_ref().try_into().ok().map(ContentHash);
    let base = match req.base.is_empty() {
        true => None,
        false => Some(parse(&req.base)?),
    };
    Some(FetchRequest { hashes: req.hashes.iter().map(parse).collect::<Option<_>>()?, base })
}

/// Converts the first objects that together fit into [`MAX_FETCH_BYTES`].
fn take_fitting(objects: Objects) -> Vec<proto::Object> {
    let mut remaining = MAX_FETCH_BYTES;
    let mut fitting = Vec::with_capacity(objects.len());
    for (hash, body) in objects {
        let Some(rest) = remaining.checked_sub(body.len()) else { break };
        remaining = rest;
        fitting.push(proto::Object { hash: Bytes::copy_from_slice(&hash.0), body });
    }
    fitting
}
