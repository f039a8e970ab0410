//! The generated service's handlers: check, hand over to the loop, wait for its answer.

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

/// Calls of one kind that wait for their loop at most.
const QUEUE_CALLS: usize = 64;

/// Objects with the hashes that name them.
pub type Objects = Vec<(ContentHash, Bytes)>;

/// A call from another node, waiting for its answer. Dropped without one, it fails at the caller.
#[derive(Debug)]
pub struct Call<Q, A> {
    /// The calling instance.
    pub from: InstanceId,
    /// What it asks.
    pub body: Q,
    /// Takes the answer.
    pub tx: oneshot::Sender<A>,
}

/// An evidence summary; its layout is its sender's and receiver's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// Names the layout of the body.
    pub kind: u32,
    /// The summary, at most [`MAX_EVIDENCE_BYTES`].
    pub body: Bytes,
}

/// Where the calls of each kind arrive.
pub struct Inbox {
    /// Comparisons of tables.
    pub exchange: mpsc::Receiver<Call<ExchangeRequest, ExchangeReply>>,
    /// Objects asked for by hash; the answer is cut to [`MAX_FETCH_BYTES`].
    pub fetch: mpsc::Receiver<Call<Vec<ContentHash>, Objects>>,
    /// Questions for the highest configuration head seen.
    pub head: mpsc::Receiver<Call<(), Option<ConfigHead>>>,
    /// Evidence summaries.
    pub evidence: mpsc::Receiver<Call<Evidence, Bytes>>,
}

/// The handlers; cheap to clone, one per connection.
#[derive(Clone)]
pub struct Server {
    deployment: Deployment,
    counters: Arc<Counters>,
    exchange: Handover<ExchangeRequest, ExchangeReply>,
    fetch: Handover<Vec<ContentHash>, Objects>,
    head: Handover<(), Option<ConfigHead>>,
    evidence: Handover<Evidence, Bytes>,
}

impl Server {
    /// The handlers of `deployment`, with the inbox that their calls go to.
    pub fn new(deployment: Deployment, counters: Arc<Counters>) -> (Self, Inbox) {
        let (exchange, exchange_rx) = Handover::new();
        let (fetch, fetch_rx) = Handover::new();
        let (head, head_rx) = Handover::new();
        let (evidence, evidence_rx) = Handover::new();
        let server = Self { deployment, counters, exchange, fetch, head, evidence };
        let inbox =
            Inbox { exchange: exchange_rx, fetch: fetch_rx, head: head_rx, evidence: evidence_rx };
        (server, inbox)
    }

    pub(super) fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// The calling instance, where the call is of this deployment.
    fn caller<T>(&self, req: &Request<T>) -> Result<InstanceId, Status> {
        let text = |name| req.metadata().get(name).and_then(|value| value.to_str().ok());
        if text(DEPLOYMENT) != Some(self.deployment.as_str()) {
            self.counters.add_refused(1);
            return Err(Status::permission_denied("another deployment"));
        }
        let from = text(FROM_HEADER).and_then(|from| InstanceId::new(from).ok());
        from.ok_or_else(|| self.malformed("caller's instance"))
    }

    fn malformed(&self, what: &'static str) -> Status {
        self.counters.add_refused(1);
        Status::invalid_argument(what)
    }
}

/// The way from the handlers to the loop. One sender is shared, because each clone of a sender
/// would widen the channel's bound.
struct Handover<Q, A> {
    tx: Arc<Mutex<mpsc::Sender<Call<Q, A>>>>,
}

impl<Q, A> Clone for Handover<Q, A> {
    fn clone(&self) -> Self {
        Self { tx: self.tx.clone() }
    }
}

impl<Q, A> Handover<Q, A> {
    fn new() -> (Self, mpsc::Receiver<Call<Q, A>>) {
        let (tx, rx) = mpsc::channel(QUEUE_CALLS);
        (Self { tx: Arc::new(Mutex::new(tx)) }, rx)
    }

    /// Hands a call over and waits for its answer.
    async fn call(&self, from: InstanceId, body: Q) -> Result<A, Status> {
        let (tx, rx) = oneshot::channel();
        self.send(Call { from, body, tx })?;
        rx.await.map_err(|_| Status::unavailable("not answered"))
    }

    fn send(&self, call: Call<Q, A>) -> Result<(), Status> {
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
        let from = self.caller(&req)?;
        let body = codec::request_from_wire(req.into_inner())
            .map_err(|_| self.malformed("exchange request"))?;
        let reply = self.exchange.call(from, body).await?;
        Ok(Response::new(codec::reply_to_wire(&reply)))
    }

    async fn fetch(
        &self,
        req: Request<proto::FetchRequest>,
    ) -> Result<Response<proto::FetchReply>, Status> {
        let from = self.caller(&req)?;
        let hashes = hashes(&req.into_inner()).ok_or_else(|| self.malformed("hashes"))?;
        let objects = self.fetch.call(from, hashes).await?;
        Ok(Response::new(proto::FetchReply { objects: fitting(objects) }))
    }

    async fn head(
        &self,
        req: Request<proto::HeadRequest>,
    ) -> Result<Response<proto::HeadReply>, Status> {
        let from = self.caller(&req)?;
        let head = self.head.call(from, ()).await?;
        Ok(Response::new(proto::HeadReply { head: head.as_ref().map(codec::head_to_wire) }))
    }

    async fn evidence(
        &self,
        req: Request<proto::EvidenceRequest>,
    ) -> Result<Response<proto::EvidenceReply>, Status> {
        let from = self.caller(&req)?;
        let proto::EvidenceRequest { kind, body } = req.into_inner();
        if body.len() > MAX_EVIDENCE_BYTES {
            return Err(self.malformed("evidence too large"));
        }
        let body = self.evidence.call(from, Evidence { kind, body }).await?;
        Ok(Response::new(proto::EvidenceReply { body }))
    }
}

fn hashes(req: &proto::FetchRequest) -> Option<Vec<ContentHash>> {
    if req.hashes.len() > MAX_FETCH_HASHES {
        return None;
    }
    req.hashes.iter().map(|hash| hash.as_ref().try_into().ok().map(ContentHash)).collect()
}

/// The first objects that together stay within [`MAX_FETCH_BYTES`].
fn fitting(objects: Objects) -> Vec<proto::Object> {
    let mut left = MAX_FETCH_BYTES;
    let mut fitting = Vec::with_capacity(objects.len());
    for (hash, body) in objects {
        let Some(rest) = left.checked_sub(body.len()) else { break };
        left = rest;
        fitting.push(proto::Object { hash: Bytes::copy_from_slice(&hash.0), body });
    }
    fitting
}
