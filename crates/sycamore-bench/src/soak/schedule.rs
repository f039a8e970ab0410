//! Draws the schedule of fault events from a seed.

use crate::fleet::Hop;
use crate::proxy::{Direction, Fault};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// Time between the starts of two events, in milliseconds. Most events last longer, so that they
/// overlap.
const GAP_MS: Range<u64> = 300..1_400;
/// Duration of an event, in milliseconds: from shorter than any timeout to longer than it takes
/// until a node is considered dead.
const LASTS_MS: Range<u64> = 300..6_000;
/// Longest time for which the bytes of a call are held back, in milliseconds: below half of the
/// fleet's [`crate::fleet::KEY_MEMORY`], within which a repeated call must arrive. A node closes a
/// connection whose bytes stay unacknowledged for two seconds, but the proxy acknowledges them.
const MAX_CALL_HOLD_MS: u64 = 1_400;
/// Added delay of a link or of the platform's answers, in milliseconds.
const DELAY_MS: Range<u64> = 5..400;
/// Largest difference between the clocks of two nodes, in milliseconds.
const MAX_SKEW_MS: u64 = 5_000;
/// Rate limit that an upstream reports, in requests per second: from a few calls in a period that is
/// checked to about as many as it gets.
const RATE_LIMIT: Range<u32> = 1..9;
/// Minimum duration of a rate limit, in milliseconds, after which it is checked at all.
const MIN_LIMIT_MS: u64 = 4_000;
/// Minimum duration of a departure, in milliseconds, after which its requests are checked at all.
const MIN_DEPART_MS: u64 = 5_000;
/// Time between the starts of two departures, floods or writes of odd rows, in milliseconds.
const OTHER_GAP_MS: Range<u64> = 1_000..4_000;
/// Bits by which the seed of those events differs from that of the others.
const OTHER_SEED: u64 = 0x6f64_6420_726f_7773;
/// Number of consecutive answers that the platform loses.
const LOST_ANSWERS: Range<u32> = 1..6;

/// Process of an instance that an event acts on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Process of the instance's node.
    Node,
    /// Process of the instance's upstream.
    Upstream,
}

/// What a caller sends without a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flooding {
    /// Request whose body comes in chunks of one byte and doesn't end.
    Chunks,
    /// Requests that the node refuses at once.
    Requests,
}

/// Fault or change that an event causes and, where it lasts, undoes at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Kills a process with SIGKILL; restarts it at the event's end.
    Kill(Part),
    /// Sends SIGTERM to a process; restarts it at the event's end, a node once it has exited.
    Stop(Part),
    /// Pauses a process with SIGSTOP; resumes it with SIGCONT at the event's end.
    Pause(Part),
    /// Kills a node with SIGKILL; restarts it at the event's end with its clock ahead by this much.
    Skew(Duration),
    /// Disturbs a link; restores it at the event's end.
    Disturb(Hop, Fault),
    /// Resets the open connections of a link.
    Reset(Hop),
    /// Makes the open connections of a link silent for good.
    Mute(Hop),
    /// Lets the platform answer every request with 503 for the event's duration.
    Outage,
    /// Delays the platform's answers by this much until the event's end.
    Slow(Duration),
    /// Lets the platform perform this many writes without answering them.
    LoseAnswers(u32),
    /// Applies a new configuration as an operator.
    Change,
    /// Has an upstream report this rate limit, in requests per second, until the event's end.
    Limit(u32),
    /// Has an upstream report that it is leaving; replaces it at the event's end.
    Leave,
    /// Has an upstream leave while it goes on announcing itself, and kills its node once the leave is
    /// acknowledged; replaces the upstream at the event's end.
    Depart,
    /// Does the same while the platform is out, and kills all nodes once the leave is acknowledged.
    DepartInOutage,
    /// Floods the node's callers' listener until the event's end.
    Flood(Flooding),
    /// Writes rows that hold no valid entry among those of the members and of the moves.
    OddRows,
}

/// Scheduled fault of a fleet or change of its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Start of the event, counted from the start of the load.
    pub at: Duration,
    /// Duration of the event.
    pub lasts: Duration,
    /// Name of the instance that the event acts on; drawn but unused for events of the platform.
    pub instance: String,
    /// Fault or change that the event causes.
    pub action: Action,
}

/// Draws the events within `time` for `instances`, in order of their start.
pub fn plan(seed: u64, time: Duration, instances: &[String]) -> Vec<Event> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events = draw_events(&mut rng, time, instances, GAP_MS, draw_action);
    // From a generator of their own, so that a seed keeps the events that it had before these kinds.
    let mut rng = SmallRng::seed_from_u64(seed ^ OTHER_SEED);
    events.extend(draw_events(&mut rng, time, instances, OTHER_GAP_MS, draw_other_action));
    events.sort_by_key(|event| event.at);
    events
}

fn draw_events(
    rng: &mut SmallRng,
    time: Duration,
    instances: &[String],
    gap_ms: Range<u64>,
    draw: impl Fn(&mut SmallRng) -> Action,
) -> Vec<Event> {
    let mut events = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(gap_ms.clone()));
    while at < time {
        let drawn = Duration::from_millis(rng.random_range(LASTS_MS));
        let instance = instances.choose(rng).cloned().unwrap_or_default();
        let action = draw(rng);
        let lasts = drawn.max(min_duration(action)).min(max_duration(action)).min(time - at);
        events.push(Event { at, lasts, instance, action });
        at += Duration::from_millis(rng.random_range(gap_ms.clone()));
    }
    events
}

/// Returns the shortest duration of an event with `action`, unless the schedule ends before.
fn min_duration(action: Action) -> Duration {
    match action {
        Action::Limit(_) => Duration::from_millis(MIN_LIMIT_MS),
        Action::Depart | Action::DepartInOutage => Duration::from_millis(MIN_DEPART_MS),
        _ => Duration::ZERO,
    }
}

/// Returns the longest duration of an event with `action`.
fn max_duration(action: Action) -> Duration {
    match action {
        Action::Disturb(Hop::Caller | Hop::Relay, Fault::Cut(_) | Fault::Silence) => {
            Duration::from_millis(MAX_CALL_HOLD_MS)
        }
        _ => Duration::MAX,
    }
}

fn draw_other_action(rng: &mut SmallRng) -> Action {
    match rng.random_range(0..8) {
        0..=2 => Action::Depart,
        3 => Action::DepartInOutage,
        4 | 5 => Action::Flood(Flooding::Chunks),
        6 => Action::Flood(Flooding::Requests),
        _ => Action::OddRows,
    }
}

fn draw_action(rng: &mut SmallRng) -> Action {
    let part = if rng.random() { Part::Node } else { Part::Upstream };
    let hop = *Hop::ALL.choose(rng).expect("there are hops");
    let ms = |rng: &mut SmallRng, range| Duration::from_millis(rng.random_range(range));
    match rng.random_range(0..23) {
        0..=2 => Action::Kill(part),
        3 | 4 => Action::Stop(part),
        5 | 6 => Action::Pause(part),
        7 => Action::Skew(ms(rng, 0..MAX_SKEW_MS)),
        8 | 9 => Action::Disturb(hop, Fault::Delay(ms(rng, DELAY_MS))),
        10 => Action::Disturb(hop, Fault::Cut(Direction::Forward)),
        11 => Action::Disturb(hop, Fault::Cut(Direction::Return)),
        12 => Action::Disturb(hop, Fault::Silence),
        13 => Action::Reset(hop),
        14 => Action::Mute(hop),
        15 => Action::Outage,
        16 => Action::Slow(ms(rng, DELAY_MS)),
        17 => Action::LoseAnswers(rng.random_range(LOST_ANSWERS)),
        18 | 19 => Action::Limit(rng.random_range(RATE_LIMIT)),
        20 => Action::Leave,
        _ => Action::Change,
    }
}
