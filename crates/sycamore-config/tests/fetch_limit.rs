//! Limits of fetches from peers that answer late or never, on faked time.

mod common;

use common::{route, service};
use std::time::Duration;
use sycamore_config::{Action, Apply, ApplySettings, Encoded, FetchAnswer, Input, Source};
use sycamore_types::prelude::*;

/// Time from the acknowledgement of a change within which it must be in force: the shorter one of
/// the large deployments.
const APPLY_WITHIN: Duration = Duration::from_millis(2_500);
/// Time of a fetch from a peer that answers at once.
const PROMPT: Duration = Duration::from_millis(60);
/// Longest time after which a test ends without a configuration.
const GIVE_UP: Duration = Duration::from_secs(60);

/// Outcome of a fetch from one peer.
#[derive(Clone, Copy)]
enum Peer {
    /// Sends the objects after this time, without a byte before.
    AnswersAfter(Duration),
    /// Refuses the fetch, or lacks the objects, after this time.
    RefusesAfter(Duration),
    Dead,
}

/// Fetches of a node that learned one head, from a different peer each time.
struct Fetches {
    /// Time from learning the head until the configuration was in force; `None` if it never was.
    in_force_after: Option<Duration>,
    /// Limits of the fetches from peers.
    limits: Vec<FetchLimit>,
}

/// Lets a node learn a head and fetch its configuration; `peer` is the peer asked by the fetch of
/// that number.
fn fetch_from(peer: impl Fn(usize) -> Peer) -> Fetches {
    let resources = [service("counter"), route("tickets", "counter", 100)];
    let encoded = Encoded::new(&resources, ConfigVersion(1));
    let head = encoded.head;
    let bodies = || std::iter::once(&encoded.manifest).chain(&encoded.resources).cloned().collect();
    let start = Time::from_secs(10);
    let mut apply = Apply::new(ApplySettings::default());
    apply.step(start, Input::Floor(ConfigVersion(0)));
    let mut limits = Vec::new();
    let from = Source::Peer;
    let mut now = start;
    let mut input = Input::HeadLearned { head, from, fetch_delay: Duration::ZERO };
    while now < start + GIVE_UP {
        let actions = apply.step(now, input);
        let is_applied = actions.iter().any(|action| matches!(action, Action::Apply(_)));
        if is_applied {
            return Fetches { in_force_after: Some(now.since(start)), limits };
        }
        let fetch = actions.into_iter().find_map(|action| match action {
            Action::Fetch { source, limit, .. } => Some((source, limit)),
            _ => None,
        });
        let Some((source, limit)) = fetch else {
            now = now.max(apply.next_tick().expect("a delayed fetch"));
            input = Input::Tick;
            continue;
        };
        let (time, answer) = match source {
            Source::Store => (PROMPT, FetchAnswer::Failed),
            Source::Peer => {
                limits.push(limit);
                match peer(limits.len() - 1) {
                    Peer::AnswersAfter(time) if time <= limit.silence => {
                        (time, FetchAnswer::Objects(bodies()))
                    }
                    Peer::RefusesAfter(time) => (time, FetchAnswer::Failed),
                    Peer::AnswersAfter(_) | Peer::Dead => (limit.silence, FetchAnswer::TimedOut),
                }
            }
        };
        now = now + time;
        input = Input::Fetched { head, answer };
    }
    Fetches { in_force_after: None, limits }
}

/// Returns the longest time that `dead` dead peers may cost before one that answers at once: the
/// first limit and the backoff for each.
fn max_cost(dead: u32) -> Duration {
    let settings = ApplySettings::default();
    let backoff: Duration = (0..dead).map(|at| settings.backoff.base * 2_u32.pow(at)).sum();
    settings.fetch_timeout * dead + backoff + PROMPT
}

/// Guards against limits that make a node wait longer for a dead peer, or for two, than the setting
/// `fetch_timeout` tells.
#[test]
fn dead_peers_are_left_after_the_first_limit() {
    for dead in [1, 2] {
        let fetches = fetch_from(|at| match at < dead {
            true => Peer::Dead,
            false => Peer::AnswersAfter(PROMPT),
        });
        let max = max_cost(u32::try_from(dead).expect("few peers"));
        let after = fetches.in_force_after.expect("a configuration");
        assert!(after <= max, "in force after {after:?} with {dead} dead peers, allowed {max:?}");
    }
}

/// Guards against a node that gives up every fetch for ever as the way from its peers takes longer
/// than the first limit.
#[test]
fn a_node_far_from_its_peers_applies_a_version_in_time() {
    let fetches = fetch_from(|_| Peer::AnswersAfter(Duration::from_millis(700)));
    let after = fetches.in_force_after;
    assert!(
        after.is_some_and(|after| after <= APPLY_WITHIN),
        "in force after {after:?} and {} fetches",
        fetches.limits.len()
    );
}

/// Guards against limits that grow without bound at a node that is cut off, so that its first fetch
/// after the cut goes to a dead peer for long.
#[test]
fn limits_of_fetches_are_bounded() {
    let fetches = fetch_from(|_| Peer::Dead);
    assert!(fetches.in_force_after.is_none());
    let settings = ApplySettings::default();
    let longest = fetches.limits.iter().map(|limit| limit.silence).max();
    assert_eq!(longest, Some(settings.max_fetch_timeout));
    assert!(fetches.limits.iter().all(|limit| limit.whole == settings.max_fetch_time));
}

/// Guards against limits that grow by answers that say nothing about the time which a peer takes,
/// so that the first dead peer among those without the objects costs more than one limit.
#[test]
fn refused_fetches_leave_the_limit() {
    let fetches = fetch_from(|_| Peer::RefusesAfter(PROMPT));
    let first = ApplySettings::default().fetch_timeout;
    assert!(fetches.limits.len() > 10, "{} fetches", fetches.limits.len());
    assert!(fetches.limits.iter().all(|limit| limit.silence == first), "{:?}", fetches.limits);
}
