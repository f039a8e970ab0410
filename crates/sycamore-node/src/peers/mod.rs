//! Runs fleet membership and the spreading of facts between nodes.

mod driver;
mod leave;
mod listener;
mod metrics;
mod register;
mod tasks;

use crate::hub::Hub;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use bytes::Bytes;
use driver::Driver;
use error_stack::{Report, ResultExt};
use futures::channel::mpsc;
use metrics::Metrics;
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_call::credit::Loan;
use sycamore_member::message::{Body, ProofAge};
use sycamore_peer::{Call, Counters, Datagrams, Evidence, FetchRequest, Fetched, PeersOptions};
use sycamore_types::prelude::*;

/// Receiver of peers' requests for configuration objects.
pub type FetchCalls = mpsc::Receiver<Call<FetchRequest, Fetched>>;
/// Receiver of peers' requests for deltas of the configuration, and of the answers to this node's.
pub type Deltas = tokio::sync::mpsc::Receiver<DeltaMessage>;
/// Receiver of peers' requests that deliver evidence.
pub type EvidenceCalls = mpsc::Receiver<Call<Evidence, Bytes>>;

/// Error of [`start`].
#[derive(Debug)]
pub enum PeersError {
    /// The peer address can't be bound.
    Bind,
    /// A metric of this subsystem can't be registered.
    Metrics,
}

impl fmt::Display for PeersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeersError::Bind => f.write_str("the peer address can't be bound"),
            PeersError::Metrics => f.write_str("the peer metrics can't be registered"),
        }
    }
}

impl std::error::Error for PeersError {}

/// Datagram from a peer about deltas of the configuration.
#[derive(Debug)]
pub struct DeltaMessage {
    /// Instance that sent the datagram.
    pub from: InstanceId,
    /// Address that the datagram came from.
    pub source: SocketAddr,
    /// Request or answer.
    pub body: DeltaBody,
}

/// Content of a [`DeltaMessage`].
#[derive(Debug)]
pub enum DeltaBody {
    /// Request for the difference from a configuration.
    Request {
        /// Manifest hash of the configuration.
        base: ContentHash,
        /// Time of the sender's clock, which the answer repeats; 0 if it needs no proof.
        asked_at: u64,
    },
    /// Encoded difference.
    Delta(Vec<u8>),
    /// Answer without a difference.
    Current {
        /// Head of the sender's configuration in force; `None` if it has none.
        head: Option<ConfigHead>,
        /// Revision of the platform's table up to which it holds.
        revision: u64,
        /// Age of the sender's knowledge of the table.
        age: Duration,
        /// Highest version above the one in force that the sender read and rejected; `None` if there
        /// is none.
        rejected: Option<ConfigVersion>,
        /// Proof of how recent the sender's configuration is; `None` if it has none, or wasn't asked.
        proof: Option<ProofAge>,
    },
}

/// Datagram from a peer about the rate of a client account.
#[derive(Debug)]
pub struct CreditMessage {
    /// Instance that sent the datagram.
    pub from: InstanceId,
    /// Address that the datagram came from.
    pub source: SocketAddr,
    /// Account that it is about.
    pub account: AccountName,
    /// Number of the request.
    pub number: u64,
    /// Request or answer.
    pub body: CreditBody,
}

/// Content of a [`CreditMessage`].
#[derive(Debug, Clone, Copy)]
pub enum CreditBody {
    /// Request for calls.
    Request {
        /// Number of calls wanted.
        wanted: u32,
        /// Number of calls spent without a home and not told to one yet.
        spent: u32,
    },
    /// Calls lent.
    Loan(Loan),
    /// Nothing lent: this address is that of the account's home.
    Home(SocketAddr),
}

/// Receiver of peers' datagrams about the rates of client accounts.
pub type Credits = tokio::sync::mpsc::Receiver<CreditMessage>;

/// Handle to the running membership subsystem.
pub struct Peers {
    calls: sycamore_peer::Peers,
    driver: Rc<Driver>,
    fetch: RefCell<Option<FetchCalls>>,
    deltas: RefCell<Option<Deltas>>,
    credits: RefCell<Option<Credits>>,
    evidence: RefCell<Option<EvidenceCalls>>,
}

impl Peers {
    /// Returns the client for requests to other nodes, which are addressed by the `peer` endpoint
    /// of their member.
    pub fn calls(&self) -> &sycamore_peer::Peers {
        &self.calls
    }

    /// Returns whether this node has compared its membership table with a peer's since it started.
    pub fn is_synced(&self) -> bool {
        self.driver.is_synced()
    }

    /// Takes the receiver of requests for configuration objects; `None` from the second call on.
    pub fn take_fetch(&self) -> Option<FetchCalls> {
        self.fetch.borrow_mut().take()
    }

    /// Sends `body` to the peer at `to` in a datagram, which may be lost.
    pub fn send_delta(&self, to: SocketAddr, body: DeltaBody) {
        let body = match body {
            DeltaBody::Request { base, asked_at } => Body::DeltaRequest { base, asked_at },
            DeltaBody::Delta(encoded) => Body::Delta { encoded },
            DeltaBody::Current { head, revision, age, rejected, proof } => {
                Body::Current { head, revision, age, rejected, proof }
            }
        };
        self.driver.send(to, body);
    }

    /// Sends `body` about request `number` for calls of `account` to the peer at `to` in a datagram,
    /// which may be lost.
    pub fn send_credit(&self, to: SocketAddr, account: AccountName, number: u64, body: CreditBody) {
        let body = match body {
            CreditBody::Request { wanted, spent } => {
                Body::CreditRequest { number, account, calls: wanted, spent }
            }
            CreditBody::Loan(Loan { calls, wait, alone_per_ks }) => {
                Body::Credit { number, account, calls, wait, alone_per_ks, home: None }
            }
            CreditBody::Home(home) => {
                let Loan { calls, wait, alone_per_ks } = Loan::default();
                Body::Credit { number, account, calls, wait, alone_per_ks, home: Some(home) }
            }
        };
        self.driver.send(to, body);
    }

    /// Takes the receiver of datagrams about credit; `None` from the second call on.
    pub fn take_credits(&self) -> Option<Credits> {
        self.credits.borrow_mut().take()
    }

    /// Takes the receiver of datagrams about deltas; `None` from the second call on.
    pub fn take_deltas(&self) -> Option<Deltas> {
        self.deltas.borrow_mut().take()
    }

    /// Takes the receiver of evidence; `None` from the second call on.
    pub fn take_evidence(&self) -> Option<EvidenceCalls> {
        self.evidence.borrow_mut().take()
    }
}

/// Binds the peer address and spawns the membership subsystem's tasks on `tasks`.
///
/// # Errors
/// [`PeersError`] if the peer address can't be bound or a metric can't be registered.
pub async fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    platform: &Rc<Platform>,
) -> Result<Rc<Peers>, Report<PeersError>> {
    let counters = Arc::new(Counters::default());
    let inbox = listener::start(hub, tasks, counters.clone()).change_context(PeersError::Bind)?;
    let node = &hub.settings.node;
    let datagrams = Datagrams::bind(hub.settings.listen.peer, &node.deployment, counters.clone())
        .change_context(PeersError::Bind)?;
    let calls = sycamore_peer::Peers::new(
        node.deployment.clone(),
        node.instance.clone(),
        PeersOptions::default(),
        counters.clone(),
    );
    let metrics = Metrics::register(&hub.registry).change_context(PeersError::Metrics)?;
    let (driver, deltas, credits) =
        Driver::start(hub, tasks, platform, calls.clone(), Rc::new(datagrams), metrics);
    listener::answer_heads(hub, tasks, inbox.head);
    tasks::start(&driver, tasks, inbox.exchange);
    register::start(&driver, platform, tasks);
    leave::start(&driver, platform, tasks);
    Ok(Rc::new(Peers {
        calls,
        driver,
        fetch: RefCell::new(Some(inbox.fetch)),
        deltas: RefCell::new(Some(deltas)),
        credits: RefCell::new(Some(credits)),
        evidence: RefCell::new(Some(inbox.evidence)),
    }))
}
