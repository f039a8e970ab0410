//! Second attempts for the slowest calls: when one is sent, and which answer is taken.

use super::forward::{choose_upstream, try_once, Attempt, Call};
use super::meta::CallMeta;
use super::state::State;
use futures::future::{select, Either};
use monoio::time::sleep;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::hedge::HedgedCall;
use sycamore_call::route::{is_unproven, AttemptEnd};
use sycamore_call::{Choice, RetryBudget};
use sycamore_types::prelude::*;

/// Returns the time after which the call gets a second attempt beside the first one at `choice`; `None`
/// if it gets none. `is_watched` tells whether the attempt watches the caller's connection, which only
/// one can.
pub(super) fn plan(
    state: &State,
    out: &Call<'_>,
    is_watched: bool,
    choice: &Choice,
    attempt: u8,
) -> Option<Duration> {
    let mut hedge = state.hedge.borrow_mut();
    if !hedge.is_enabled() || attempt > 1 {
        return None;
    }
    let now = state.now();
    let call = HedgedCall {
        route: &out.meta.route,
        service: &out.meta.service,
        is_repeatable: out.meta.is_repeatable && !is_watched && out.msg.body_len() == Some(0),
        is_retry: out.meta.depth.is_retry,
        attempts: out.retry.attempts,
        is_unproven: is_unproven(&state.hub.shares.borrow(), &out.meta.service, &choice.version),
        utilisation: state.router.borrow().utilisation_of(now, &choice.instance),
        left: out.meta.left(now),
    };
    hedge.delay(now, &call)
}

/// Records the time from the beginning of an attempt to the head of its answer.
pub(super) fn record_time(state: &State, meta: &CallMeta, began: Time) {
    let mut hedge = state.hedge.borrow_mut();
    if hedge.is_enabled() {
        let now = state.now();
        hedge.record_time(now, &meta.route, now.since(began));
    }
}

/// Runs the first attempt at `first`, and a second one at another instance if that brings no answer
/// within `delay`. The first answer is taken; the other attempt is dropped, which cancels it down to its
/// upstream.
pub(super) async fn run(
    state: &Rc<State>,
    out: &mut Call<'_>,
    first: &Choice,
    delay: Duration,
    tried: &mut Vec<InstanceId>,
) -> Attempt {
    let began = state.now();
    let (mut msg, mut meta) = (out.msg.copy_without_body(), out.meta.clone());
    let retry = out.retry;
    let mut second_call = Call { msg: &mut msg, meta: &mut meta, retry };
    let mut running = pin!(try_once(state, out, None, first, 1));
    if let Either::Left((ended, _)) = select(&mut running, pin!(sleep(delay))).await {
        return ended;
    }
    let Some(second) = choose_second(state, &second_call, tried) else { return running.await };
    tried.push(second.instance.clone());
    state.metrics.count_attempt(2);
    second_call.meta.depth.is_retry = true;
    let other = pin!(try_once(state, &mut second_call, None, &second, 2));
    match select(running, other).await {
        Either::Left((Attempt::Failed(failed), other)) => match other.await {
            Attempt::Answered(reply) if !is_error(&reply) => {
                state.metrics.count_hedge("won");
                Attempt::Answered(reply)
            }
            _ => {
                state.metrics.count_hedge("failed");
                Attempt::Failed(failed)
            }
        },
        Either::Left((ended, _)) => {
            state.metrics.count_hedge("lost");
            ended
        }
        Either::Right((Attempt::Answered(reply), _)) if !is_error(&reply) => {
            state.metrics.count_hedge("won");
            leave_if_silent(state, began, &first.instance);
            Attempt::Answered(reply)
        }
        Either::Right((_, running)) => {
            state.metrics.count_hedge("failed");
            running.await
        }
    }
}

fn is_error(reply: &super::forward::Reply) -> bool {
    reply.answered.head.status.is_server_error()
}

/// Chooses the instance of the second attempt, within the limits on second attempts and retries.
fn choose_second(state: &State, call: &Call<'_>, tried: &[InstanceId]) -> Option<Choice> {
    let now = state.now();
    let service = &call.meta.service;
    let view = state.hub.members.borrow().clone();
    let utilisation = state.router.borrow().mean_utilisation_of(now, service, &view);
    let bans = state.bans.borrow().clone();
    let choice = choose_upstream(state, call, tried, &bans)?;
    let is_usable = state.router.borrow().may_hedge_to(now, &choice.instance)
        && !is_unproven(&state.hub.shares.borrow(), service, &choice.version);
    let is_allowed = is_usable
        && state.hedge.borrow_mut().spend(now, service, utilisation)
        && state.with_retry_budget(service, call.retry, RetryBudget::spend_hedge);
    if !is_allowed {
        // The choice counted as an attempt in flight.
        let mut router = state.router.borrow_mut();
        router.record_end(now, &choice.instance, AttemptEnd::Cancelled);
        return None;
    }
    Some(choice)
}

/// Counts the first attempt as failed if its instance has answered nobody since it `began`: it may be
/// lost, and the other calls under way to it would wait for their deadlines.
fn leave_if_silent(state: &State, began: Time, instance: &InstanceId) {
    let mut router = state.router.borrow_mut();
    if !router.has_answered_since(began, instance) {
        router.record_silence(state.now(), instance);
    }
}
