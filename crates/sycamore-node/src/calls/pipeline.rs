//! A caller's connection: calls that may run side by side do, and are answered in the order in which
//! they came (RFC 9112, section 9.3.2).
//!
//! A call without a body that may run more than once does not wait for the ones before it. Any other
//! call has the connection to itself.

use super::forward::{self, own_answer, Call, Forwarded};
use super::message::{Inbound, Message};
use super::meta::CallMeta;
use super::serve;
use super::state::State;
use crate::edge::RequestWords;
use crate::hub::{InFlight, Phase};
use crate::tasks::Stop;
use futures::future::{select, Either, LocalBoxFuture};
use futures::stream::{FuturesOrdered, StreamExt};
use http::Method;
use monoio::time::timeout;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use sycamore_http::conn::ReadError;
use sycamore_types::prelude::*;

/// Calls of one connection that run side by side at most.
const MAX_DEPTH: usize = 16;

/// A call that was read and has its place in the order of answers.
struct Ended {
    words: RequestWords,
    meta: Option<CallMeta>,
    forwarded: Forwarded,
    /// The connection closes after its answer.
    closes: bool,
    _in_flight: InFlight,
}

/// What happened on the connection.
enum Event {
    /// The first of the calls under way has its answer.
    Ended(Box<Ended>),
    /// A request was read, or can't be.
    Read(Box<Result<Message, ReadError>>),
    /// The caller is gone, stays idle or takes too long, or the node stops.
    Over,
}

type Running<'a> = FuturesOrdered<LocalBoxFuture<'a, Ended>>;

/// Serves a caller's connection until the caller leaves, the request framing is lost, or `stop`.
pub(super) async fn connection(
    state: &Rc<State>,
    inbound: &mut Inbound,
    peer: SocketAddr,
    mut stop: Stop,
) {
    let mut running = Running::new();
    // After a request that closes the connection nothing more is read.
    let mut last_read = false;
    loop {
        last_read |= stop.is_stopped();
        let event = next(state, inbound, &mut running, last_read, &mut stop).await;
        let served = match event {
            Event::Over => return,
            Event::Ended(ended) => answer(state, inbound, *ended).await,
            Event::Read(read)
                if read.as_ref().as_ref().is_ok_and(|msg| runs_beside(state, msg)) =>
            {
                let Ok(msg) = *read else { continue };
                last_read = inbound.closes || state.hub.phase() >= Phase::Draining;
                inbound.closes = false;
                running.push_back(begin(state, inbound, msg, peer, last_read));
                Ok(())
            }
            Event::Read(read) => {
                let closes = inbound.closes;
                match answer_all(state, inbound, &mut running).await {
                    Err(err) => Err(err),
                    Ok(()) => {
                        inbound.closes |= closes;
                        serve::alone(state, inbound, *read, peer).await
                    }
                }
            }
        };
        if served.is_err() {
            return;
        }
        if inbound.closes {
            return serve::linger(inbound).await;
        }
    }
}

async fn next(
    state: &Rc<State>,
    inbound: &mut Inbound,
    running: &mut Running<'_>,
    last_read: bool,
    stop: &mut Stop,
) -> Event {
    if running.is_empty() {
        return read(state, inbound, stop).await;
    }
    let reads = !last_read && running.len() < MAX_DEPTH;
    let more = async {
        if reads {
            let (limits, _) = serve::head_limits(state, inbound.side);
            return Some(inbound.message(&limits).await);
        }
        inbound.reader.closed().await;
        None
    };
    let mut more = pin!(more);
    let first = select(running.next(), &mut more).await;
    match first {
        Either::Left((Some(ended), _)) => Event::Ended(Box::new(ended)),
        Either::Left((None, _)) | Either::Right((None | Some(Err(ReadError::Closed)), _)) => {
            Event::Over
        }
        Either::Right((Some(read), _)) => Event::Read(Box::new(read)),
    }
}

/// Reads the next request on an idle connection.
async fn read(state: &State, inbound: &mut Inbound, stop: &mut Stop) -> Event {
    let idle_time = serve::idle_time(state, inbound.side);
    let begun = stop.or(timeout(idle_time, inbound.reader.wait())).await;
    if !matches!(begun, Some(Ok(Ok(())))) {
        return Event::Over;
    }
    let (limits, limit) = serve::head_limits(state, inbound.side);
    match timeout(limit, inbound.message(&limits)).await {
        Ok(read) => Event::Read(Box::new(read)),
        Err(_) => Event::Over,
    }
}

/// Whether a call may run beside others of its connection.
fn runs_beside(state: &State, msg: &Message) -> bool {
    let snapshot = state.hub.snapshot.borrow();
    msg.head.method == Method::GET
        && msg.body_len() == Some(0)
        && serve::host(msg).is_ok_and(|host| {
            snapshot
                .route(host, msg.head.uri.path())
                .is_some_and(|route| route.policy.repeat != Repeat::Never)
        })
}

/// Starts a call without a body.
fn begin<'a>(
    state: &'a Rc<State>,
    inbound: &Inbound,
    mut msg: Message,
    peer: SocketAddr,
    closes: bool,
) -> LocalBoxFuture<'a, Ended> {
    let words = state.edges.calls.words(&msg.head);
    let in_flight = state.hub.call_in_flight();
    let identified = serve::begin(state, &mut msg, &words, peer, inbound.side);
    Box::pin(async move {
        let (meta, forwarded) = match identified {
            Err(answer) => (None, Forwarded::Own(answer)),
            Ok((mut meta, retry)) => {
                let call = Call { msg: &mut msg, meta: &mut meta, retry: &retry };
                let forwarded = forward::attempts(state, call, None).await;
                (Some(meta), forwarded)
            }
        };
        Ended { words, meta, forwarded, closes, _in_flight: in_flight }
    })
}

async fn answer_all(
    state: &Rc<State>,
    inbound: &mut Inbound,
    running: &mut Running<'_>,
) -> std::io::Result<()> {
    while let Some(ended) = running.next().await {
        answer(state, inbound, ended).await?;
    }
    Ok(())
}

async fn answer(state: &State, inbound: &mut Inbound, ended: Ended) -> std::io::Result<()> {
    inbound.words = ended.words;
    inbound.closes = ended.closes;
    inbound.head_only = false;
    match (ended.forwarded, ended.meta) {
        (Forwarded::Own(answer), _) => own_answer(state, inbound, &answer).await,
        (Forwarded::Answered(reply), Some(meta)) => {
            forward::relay(state, inbound, &meta, *reply).await
        }
        (Forwarded::CallerGone | Forwarded::Answered(_), _) => {
            Err(std::io::ErrorKind::ConnectionAborted.into())
        }
    }
}
