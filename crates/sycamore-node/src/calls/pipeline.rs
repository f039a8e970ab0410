//! HTTP/1.1 pipelining on a caller's connection: runs repeatable calls concurrently and answers in
//! the order of the requests (RFC 9112, section 9.3.2).
//!
//! A GET without a body whose route allows repeats doesn't wait for earlier calls of its
//! connection. Any other call starts after all earlier ones have been answered.

use super::answer::Outcome;
use super::credit;
use super::forward::{self, send_own_answer, Call, Forwarded};
use super::message::{Inbound, Message};
use super::meta::CallMeta;
use super::serve;
use super::state::State;
use crate::edge::RequestInfo;
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

/// Maximum number of calls of one connection that run concurrently.
const MAX_CONCURRENT_CALLS: usize = 16;

/// Concurrent call that has an answer, not yet sent to the caller.
struct FinishedCall {
    info: RequestInfo,
    /// Identity of the call; `None` if the request was refused before it got one.
    meta: Option<CallMeta>,
    forwarded: Forwarded,
    /// Whether the connection closes after the answer.
    closes: bool,
    _in_flight: InFlight,
}

/// Event on the connection.
enum Event {
    /// The oldest of the running calls has its answer.
    Finished(Box<FinishedCall>),
    /// A request was read, or reading it failed.
    Read(Box<Result<Message, ReadError>>),
    /// The connection ends: the caller disconnected or exceeded a timeout, or the node stops.
    End,
}

type Running<'a> = FuturesOrdered<LocalBoxFuture<'a, FinishedCall>>;

/// Serves a caller's connection until the caller disconnects, the request framing is lost, or
/// `stop`.
pub(super) async fn connection(
    state: &Rc<State>,
    inbound: &mut Inbound,
    peer: SocketAddr,
    mut stop: Stop,
) {
    let mut running = Running::new();
    // Set by a request that closes the connection: no further request is read.
    let mut read_last = false;
    loop {
        read_last |= stop.is_stopped();
        let event = next_event(state, inbound, &mut running, read_last, &mut stop).await;
        let served = match event {
            Event::End => return,
            Event::Finished(call) => answer(state, inbound, *call).await,
            Event::Read(read)
                if read.as_ref().as_ref().is_ok_and(|msg| may_run_concurrently(state, msg)) =>
            {
                let Ok(msg) = *read else { continue };
                read_last = inbound.closes || state.hub.phase() >= Phase::Draining;
                inbound.closes = false;
                running.push_back(start_call(state, inbound, msg, peer, read_last));
                Ok(())
            }
            Event::Read(read) => {
                let closes = inbound.closes;
                match answer_all(state, inbound, &mut running).await {
                    Err(err) => Err(err),
                    Ok(()) => {
                        inbound.closes |= closes;
                        serve::serve_exclusively(state, inbound, *read, peer).await
                    }
                }
            }
        };
        if served.is_err() {
            return;
        }
        if inbound.closes {
            return serve::lingering_close(inbound).await;
        }
    }
}

async fn next_event(
    state: &Rc<State>,
    inbound: &mut Inbound,
    running: &mut Running<'_>,
    read_last: bool,
    stop: &mut Stop,
) -> Event {
    if running.is_empty() {
        return read_next(state, inbound, stop).await;
    }
    let reads = !read_last && running.len() < MAX_CONCURRENT_CALLS;
    let more = async {
        if reads {
            let (limits, _) = serve::head_limits(state, inbound.listener);
            return Some(inbound.message(&limits).await);
        }
        inbound.reader.wait_until_closed().await;
        None
    };
    let mut more = pin!(more);
    let first = select(running.next(), &mut more).await;
    match first {
        Either::Left((Some(call), _)) => Event::Finished(Box::new(call)),
        Either::Left((None, _)) | Either::Right((None | Some(Err(ReadError::Closed)), _)) => {
            Event::End
        }
        Either::Right((Some(read), _)) => Event::Read(Box::new(read)),
    }
}

/// Reads the next request on an idle connection.
async fn read_next(state: &State, inbound: &mut Inbound, stop: &mut Stop) -> Event {
    let idle_timeout = serve::idle_timeout(state, inbound.listener);
    let begun = stop.or(timeout(idle_timeout, inbound.reader.wait_for_message())).await;
    if !matches!(begun, Some(Ok(Ok(())))) {
        return Event::End;
    }
    let (limits, head_timeout) = serve::head_limits(state, inbound.listener);
    match timeout(head_timeout, inbound.message(&limits)).await {
        Ok(read) => Event::Read(Box::new(read)),
        Err(_) => Event::End,
    }
}

/// Returns whether a call may run concurrently with others of its connection.
fn may_run_concurrently(state: &State, msg: &Message) -> bool {
    let snapshot = state.hub.snapshot.borrow();
    msg.head.method == Method::GET
        && msg.body_len() == Some(0)
        && serve::host(msg).is_ok_and(|host| {
            snapshot
                .route(host, msg.head.uri.path())
                .is_some_and(|route| route.policy.repeat != Repeat::Never)
        })
}

/// Returns the future of a call without a body, which runs concurrently with others.
fn start_call<'a>(
    state: &'a Rc<State>,
    inbound: &Inbound,
    mut msg: Message,
    peer: SocketAddr,
    closes: bool,
) -> LocalBoxFuture<'a, FinishedCall> {
    let info = state.edges.calls.request_info(&msg.head);
    let in_flight = state.hub.call_in_flight();
    let identified = serve::identify_call(state, &mut msg, &info, peer, inbound.listener);
    Box::pin(async move {
        let (meta, forwarded) = match identified {
            Err(answer) => (None, Forwarded::Own(answer)),
            Ok((mut meta, retry)) => {
                let forwarded = match credit::acquire(state, &meta).await {
                    Err(answer) => Forwarded::Own(answer),
                    Ok(()) => {
                        let call = Call { msg: &mut msg, meta: &mut meta, retry: &retry };
                        let forwarded = forward::run_attempts(state, call, None).await;
                        if matches!(&forwarded, Forwarded::Own(own) if own.outcome == Outcome::NotRun)
                        {
                            credit::give_back(state, &meta);
                        }
                        forwarded
                    }
                };
                (Some(meta), forwarded)
            }
        };
        FinishedCall { info, meta, forwarded, closes, _in_flight: in_flight }
    })
}

async fn answer_all(
    state: &Rc<State>,
    inbound: &mut Inbound,
    running: &mut Running<'_>,
) -> std::io::Result<()> {
    while let Some(call) = running.next().await {
        answer(state, inbound, call).await?;
    }
    Ok(())
}

async fn answer(state: &State, inbound: &mut Inbound, call: FinishedCall) -> std::io::Result<()> {
    inbound.info = call.info;
    inbound.closes = call.closes;
    inbound.head_only = false;
    match (call.forwarded, call.meta) {
        (Forwarded::Own(answer), _) => send_own_answer(state, inbound, &answer).await,
        (Forwarded::Answered(reply), Some(meta)) => {
            forward::relay_reply(state, inbound, &meta, *reply).await
        }
        (Forwarded::CallerGone | Forwarded::Answered(_), _) => {
            Err(std::io::ErrorKind::ConnectionAborted.into())
        }
    }
}
