//! The edges of a node: what callers, upstreams and operators say, translated into the node's own
//! terms and back.
//!
//! The node decides, keeps state and recovers; an edge only reads and writes. [`native`] is the
//! protocol of `docs/INTERFACES.md`; a program that runs on another platform brings its own.

pub mod native;

use crate::calls::Answer;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::Criticality;
use sycamore_http::{RequestHead, ResponseHead};
use sycamore_platform::StoreProtocol;
use sycamore_types::prelude::*;

/// Every edge of a node.
#[derive(Clone)]
pub struct Edges {
    /// Requests of callers and calls of upstreams.
    pub calls: Rc<dyn CallEdge>,
    /// What an upstream says of itself.
    pub upstream: Rc<dyn UpstreamEdge>,
    /// Rows that operators write into the platform's table; `None` where they only send commands.
    pub operators: Option<Rc<dyn OperatorEdge>>,
    /// The protocol of the platform's table and object store.
    pub store: Rc<dyn StoreProtocol>,
    /// Path at which readiness is asked for.
    pub readiness_path: &'static str,
}

impl Default for Edges {
    fn default() -> Self {
        Self {
            calls: Rc::new(native::Calls),
            upstream: Rc::new(native::Upstream),
            operators: None,
            store: Rc::new(sycamore_platform::NativeProtocol),
            readiness_path: "/ready",
        }
    }
}

/// What a request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestWords {
    /// The caller's identifier of the request; answers that carry another one belong elsewhere.
    pub id: Option<HeaderValue>,
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// How much the request matters.
    pub class: Criticality,
    /// The caller's name.
    pub caller: Option<HeaderValue>,
}

/// What an upstream must be told with a call.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCall<'a> {
    /// Time left for the call.
    pub left: Duration,
    /// The service of the instance at which the call began.
    pub origin: &'a ServiceName,
    /// The upstream's own name of its process, where it has one.
    pub upstream: Option<&'a str>,
    /// How deep the call is, as headers carry it.
    pub hops: &'a str,
}

/// What a connection carried before a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum History {
    /// Nothing: its first answer can only belong to the request.
    Fresh,
    /// Other requests: a late second answer to one of them may come first.
    Reused,
}

/// What an upstream's answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAnswer {
    /// The call has run; the answer is the caller's.
    Ran,
    /// The upstream shed the call before running it, and its answer says so to the caller.
    Shed,
    /// The call has not run, for this reason; the answer is not for the caller.
    NotRun(RefusalReason),
    /// The answer does not belong to this call or is not the upstream's whole answer.
    Foreign(&'static str),
}

/// Requests of callers and calls of upstreams.
pub trait CallEdge {
    /// Reads what a request says of itself.
    fn words(&self, head: &RequestHead) -> RequestWords;

    /// Writes what an upstream must know of a call into the fields of its request.
    fn for_upstream(&self, call: &UpstreamCall<'_>, fields: &mut HeaderMap);

    /// Says what an upstream's answer to the request with the fields `sent` means, on a connection
    /// with this `history`.
    fn judge(&self, sent: &HeaderMap, answer: &ResponseHead, history: History) -> UpstreamAnswer;

    /// The node's own answer as a caller reads it, to the request with `words`.
    fn answer(&self, answer: &Answer, words: &RequestWords) -> Response<Bytes>;
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamMessage {
    /// It is there.
    Announce(Announcement),
    /// It leaves and shuts down; calls under way may still end.
    Leave(Process),
}

/// One start of an upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Process {
    /// Its own name; `None` where it gives none.
    pub name: Option<String>,
    /// When it started, as civil time; `None` where it doesn't say.
    pub started: Option<WallTime>,
}

/// An upstream's announcement.
#[derive(Debug, Clone, PartialEq)]
pub struct Announcement {
    /// Which start of the upstream speaks.
    pub process: Process,
    /// Counts the announcements of one start; `None` where they are not numbered.
    pub sequence: Option<u64>,
    /// The service that it serves; `None` where it doesn't say.
    pub service: Option<ServiceName>,
    /// The version of its software.
    pub version: UpstreamVersion,
    /// Where it takes calls.
    pub address: std::net::SocketAddr,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Connections that it takes.
    pub connections: u16,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// It is leaving and asks for no new calls.
    pub draining: bool,
}

/// What an upstream says of itself.
pub trait UpstreamEdge {
    /// Whether a request of the upstream is meant for the node itself.
    fn is_for_node(&self, head: &RequestHead) -> bool;

    /// Reads a request that is meant for the node.
    ///
    /// # Errors
    /// What is wrong with it, in a sentence.
    fn read(&self, head: &RequestHead, body: &[u8]) -> Result<UpstreamMessage, String>;

    /// The answer that acknowledges a message, with `in_flight` calls under way.
    fn acknowledge(&self, in_flight: u16) -> Response<Bytes>;
}

/// A row that operators wrote.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRow {
    /// A whole configuration: its version and resources, or what is wrong with it.
    Config(Result<(ConfigVersion, Vec<Resource>), String>),
    /// An order to move a service to another version, or what is wrong with it.
    Release(Result<ReleaseOrder, String>),
    /// Nothing that this node knows.
    Other,
}

/// An order to move a service's calls to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that takes over.
    pub to: UpstreamVersion,
    /// Time from the order to the end of the move.
    pub duration: Duration,
}

/// Where an ordered move stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseState {
    /// It is under way.
    Running,
    /// The version has taken over.
    Done,
    /// The version has lost its traffic.
    TakenBack,
}

/// Rows that operators write into the platform's table, and read there.
pub trait OperatorEdge {
    /// The prefix of the keys of the rows that operators write.
    fn prefix(&self) -> &'static str;

    /// Reads a row under the prefix.
    fn read(&self, key: &str, value: &Value) -> OperatorRow;

    /// The row that tells operators where an order stands: its key and value.
    fn status(&self, order: &ReleaseOrder, state: ReleaseState) -> (String, Value);
}
