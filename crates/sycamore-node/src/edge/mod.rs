//! Protocol adapters ("edges") that translate the messages of callers, upstreams and operators into
//! the node's own types and back.
//!
//! Adapters only parse and format; decisions, state and recovery stay in the node. [`native`] holds
//! the protocol of `docs/INTERFACES.md`; a program for another platform passes its own adapters.

pub mod native;

use crate::calls::Answer;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::Criticality;
use sycamore_config::Fault;
use sycamore_http::{RequestHead, ResponseHead};
use sycamore_platform::StoreProtocol;
use sycamore_types::prelude::*;

/// Protocol adapters of a node.
#[derive(Clone)]
pub struct Edges {
    /// Adapter for calls: requests of callers, requests to upstreams and their answers.
    pub calls: Rc<dyn CallEdge>,
    /// Adapter for the upstream's announcements and drain requests.
    pub upstream: Rc<dyn UpstreamEdge>,
    /// Adapter for rows that operators write into the platform's table; `None` if operators only
    /// send commands.
    pub operators: Option<Rc<dyn OperatorEdge>>,
    /// Protocol of the platform's table and object store.
    pub store: Rc<dyn StoreProtocol>,
    /// HTTP path of the readiness probe.
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

/// Metadata of a request from its header fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Caller's identifier of the request, `None` if it has none; an answer that carries another
    /// one belongs to another request.
    pub id: Option<HeaderValue>,
    /// Time that the caller waits for the answer; `None` leaves it to the route.
    pub timeout: Option<Duration>,
    /// Importance of the request when not all calls can run.
    pub class: Criticality,
    /// Caller's name; `None` if the request doesn't name it.
    pub caller: Option<HeaderValue>,
    /// What the request brings to show whose it is.
    pub credential: Credential,
}

/// Credential of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request has none.
    #[default]
    Absent,
    /// The request has a key, of which this is the digest.
    Key(KeyDigest),
    /// The request has one that can't be read, or more than one.
    Malformed,
}

/// Metadata of a call that is passed to the upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCall<'a> {
    /// Time left until the call's deadline.
    pub left: Duration,
    /// Service of the instance at which the call began.
    pub origin: &'a ServiceName,
    /// Upstream's own name of its process; `None` if it announced none.
    pub upstream: Option<&'a str>,
    /// Depth of the call, as the value of the hops header field.
    pub hops: &'a str,
    /// Client account of the call; `None` if it has none.
    pub account: Option<&'a AccountName>,
}

/// Use of a connection before the current request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum History {
    /// The connection is new: its first answer can only belong to the current request.
    Fresh,
    /// The connection carried other requests: a late second answer to one of them may come first.
    Reused,
}

/// Meaning of an upstream's answer for its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAnswer {
    /// The call has run, and its answer is relayed to the caller.
    Ran,
    /// The upstream shed the call before running it, and its answer is relayed to the caller.
    Shed,
    /// The call has not run, for this reason; the node answers instead of relaying.
    NotRun(RefusalReason),
    /// The upstream answered the call, but the answer can't be relayed, for this reason.
    Invalid(&'static str),
    /// The answer belongs to another call, for this reason.
    Foreign(&'static str),
}

/// State that an upstream reports about itself in the head of an answer, whatever the answer says
/// about its call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamReport {
    /// Maximum rate at which the upstream takes requests at the moment.
    pub rate: ReportedRate,
    /// Whether the upstream is leaving and takes no new calls.
    pub leaving: bool,
}

/// Rate limit as an answer reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReportedRate {
    /// The answer names no limit: there is none at the moment.
    Unlimited,
    /// Limit that the answer names.
    Limit(RateLimit),
    /// The answer names a limit that can't be read, which says nothing about the limit in force.
    Malformed,
}

impl ReportedRate {
    /// Reads the rate from the header field `name`, which must occur at most once.
    pub fn from_field(fields: &HeaderMap, name: &str) -> Self {
        let mut values = fields.get_all(name).iter();
        let limit = match (values.next(), values.next()) {
            (None, _) => return Self::Unlimited,
            (Some(value), None) => value.to_str().ok().and_then(|text| text.parse().ok()),
            (Some(_), Some(_)) => None,
        };
        limit.map_or(Self::Malformed, Self::Limit)
    }
}

/// Protocol adapter for calls.
pub trait CallEdge {
    /// Reads the metadata of a request from its head.
    fn request_info(&self, head: &RequestHead) -> RequestInfo;

    /// Removes the client's key, and the account that the request names, from the header fields of a
    /// request where client accounts are configured.
    fn remove_credentials(&self, fields: &mut HeaderMap);

    /// Writes the metadata of a call into the header fields of the request to the upstream.
    fn for_upstream(&self, call: &UpstreamCall<'_>, fields: &mut HeaderMap);

    /// Classifies an upstream's answer to the request with the header fields `sent`, on a
    /// connection with this `history`.
    fn classify_answer(
        &self,
        sent: &HeaderMap,
        answer: &ResponseHead,
        history: History,
    ) -> UpstreamAnswer;

    /// Reads what an upstream reports about itself in the head of an answer.
    fn upstream_report(&self, answer: &ResponseHead) -> UpstreamReport;

    /// Formats an answer of the node itself for a caller whose request has the metadata `info`.
    fn answer(&self, answer: &Answer, info: &RequestInfo) -> Response<Bytes>;
}

/// Message of an upstream to its node.
#[derive(Debug, Clone, PartialEq)]
pub enum UpstreamMessage {
    /// The upstream is running and takes calls as announced.
    Announce(Announcement),
    /// The upstream is shutting down and takes no new calls; running calls may still finish.
    Leave(Process),
}

/// Identity of one start of an upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Process {
    /// Upstream's own name of the process; `None` if it gives none.
    pub name: Option<String>,
    /// Wall-clock time at which the process started; `None` if the message gives none.
    pub started: Option<WallTime>,
}

/// Announcement of an upstream, by which its node routes calls to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Announcement {
    /// Start of the upstream that sent the announcement.
    pub process: Process,
    /// Number of the announcement within the start; `None` if announcements are not numbered.
    pub sequence: Option<u64>,
    /// Service that the upstream belongs to; `None` if it doesn't name it.
    pub service: Option<ServiceName>,
    /// Version of the upstream's software.
    pub version: UpstreamVersion,
    /// Address at which the upstream takes calls.
    pub address: std::net::SocketAddr,
    /// Maximum number of calls that the upstream runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that the upstream accepts.
    pub connections: u16,
    /// Remaining warm-up time, in which the upstream answers more slowly.
    pub cold: Duration,
    /// Whether the upstream is shutting down and takes no new calls.
    pub draining: bool,
}

/// Protocol adapter for the upstream's announcements and drain requests.
pub trait UpstreamEdge {
    /// Returns whether a request of the upstream is a message to the node, and not a call.
    fn is_for_node(&self, head: &RequestHead) -> bool;

    /// Parses a message to the node.
    ///
    /// # Errors
    /// Returns a sentence that says why the message is malformed.
    fn read(&self, head: &RequestHead, body: &[u8]) -> Result<UpstreamMessage, String>;

    /// Formats the answer that acknowledges a message, with the number of running calls.
    fn acknowledge(&self, in_flight: u16) -> Response<Bytes>;
}

/// Parsed row that operators wrote into the platform's table.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRow {
    /// Whole configuration, or why the row is malformed.
    Config(Result<OperatorConfig, MalformedConfig>),
    /// Order to move a service to another version, or why the row is malformed.
    Release(Result<ReleaseOrder, String>),
    /// Order to take a data centre out of use until the row is removed, or why its name is malformed.
    OutOfUse(Result<DataCentre, String>),
    /// Row of a kind that this node doesn't use.
    Other,
}

/// Configuration as an operator wrote it, translated entry by entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OperatorConfig {
    /// Version that the row names.
    pub version: ConfigVersion,
    /// Entries; those that can't be applied as they are carry their fault, or are left out if no call
    /// could reach them.
    pub resources: Vec<Resource>,
    /// Faults of single entries, with their places in the row.
    pub faults: Vec<Fault>,
}

/// Configuration row that can't be translated into resources.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedConfig {
    /// Version that the row names; `None` if it names none.
    pub version: Option<ConfigVersion>,
    /// Description of the first fault.
    pub why: String,
}

/// Order of an operator to move a service's calls to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// Service whose calls move.
    pub service: ServiceName,
    /// Name of that service as the operator wrote it.
    pub service_name: String,
    /// Version that the calls move to.
    pub to: UpstreamVersion,
    /// Name of that version as the operator wrote it.
    pub to_name: String,
    /// Time from the order to the end of the move.
    pub duration: Duration,
}

/// State of an ordered move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseState {
    /// The move is in progress.
    Running,
    /// The version gets all calls of the service.
    Done,
    /// The version was taken back and gets no calls any more.
    TakenBack,
}

/// Protocol adapter for rows of the platform's table that operators write and read.
pub trait OperatorEdge {
    /// Returns the key prefix of the rows that operators write.
    fn prefix(&self) -> &'static str;

    /// Parses a row whose key has the prefix.
    fn read(&self, key: &str, value: &Value) -> OperatorRow;

    /// Returns the data centre that a row under `key` takes out of use; `None` for a row of another
    /// kind, or one whose name is malformed.
    fn data_centre_of(&self, key: &str) -> Option<DataCentre>;

    /// Returns the key and value of the row that shows operators the state of an order.
    fn status(&self, order: &ReleaseOrder, state: ReleaseState) -> (String, Value);
}
