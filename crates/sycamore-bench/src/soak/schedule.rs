//! What happens when: drawn from a seed.

use crate::fleet::Hop;
use crate::proxy::{Fault, Way};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// Time between two events, in milliseconds. Events last longer than this, so that they overlap.
const GAP_MS: Range<u64> = 300..1_400;
/// Time that an event lasts, in milliseconds: from shorter than any timeout to longer than a node
/// takes to be given up.
const LASTS_MS: Range<u64> = 300..6_000;
/// Longest time that bytes of a call are held up, in milliseconds: below half of the fleet's
/// [`crate::fleet::KEY_MEMORY`], within which a repeat must arrive. (Where nobody confirms them, a
/// node's own connections are closed after two seconds; the proxy confirms.)
const HELD_MS: u64 = 1_400;
/// Time by which a delayed way is delayed, in milliseconds.
const DELAY_MS: Range<u64> = 5..400;
/// Furthest that the clocks of two nodes differ.
const MAX_SKEW_MS: u64 = 5_000;
/// Answers that the platform loses at once.
const LOST_ANSWERS: Range<u32> = 1..6;

/// A process of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The node.
    Node,
    /// The upstream.
    Upstream,
}

/// What an event does, and undoes at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deed {
    /// SIGKILL; started again at the end.
    Kill(Part),
    /// SIGTERM; started again at the end, once it has ended by itself.
    Stop(Part),
    /// SIGSTOP, and SIGCONT at the end.
    Pause(Part),
    /// SIGKILL; started again at the end with a clock ahead by so much.
    Skew(Duration),
    /// A way is disturbed.
    Disturb(Hop, Fault),
    /// Open connections of a way are reset.
    Reset(Hop),
    /// Open connections of a way go silent for good.
    Mute(Hop),
    /// The platform answers 503 to all.
    Outage,
    /// The platform's answers come so much later.
    Slow(Duration),
    /// The platform performs so many writes and loses the answers.
    LoseAnswers(u32),
    /// An operator writes a configuration.
    Change,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// When it begins, from the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The instance that it meets, where it meets one.
    pub instance: String,
    /// What it does.
    pub deed: Deed,
}

/// Events within `time` for `instances`, in order.
pub fn plan(seed: u64, time: Duration, instances: &[String]) -> Vec<Event> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(GAP_MS));
    while at < time {
        let drawn = Duration::from_millis(rng.random_range(LASTS_MS));
        let instance = instances.choose(&mut rng).cloned().unwrap_or_default();
        let deed = draw(&mut rng);
        let lasts = drawn.min(longest(deed)).min(time - at);
        events.push(Event { at, lasts, instance, deed });
        at += Duration::from_millis(rng.random_range(GAP_MS));
    }
    events
}

fn longest(deed: Deed) -> Duration {
    match deed {
        Deed::Disturb(Hop::Caller | Hop::Relay, Fault::Cut(_) | Fault::Silence) => {
            Duration::from_millis(HELD_MS)
        }
        _ => Duration::MAX,
    }
}

fn draw(rng: &mut SmallRng) -> Deed {
    let part = if rng.random() { Part::Node } else { Part::Upstream };
    let hop = *Hop::ALL.choose(rng).expect("there are hops");
    let ms = |rng: &mut SmallRng, range| Duration::from_millis(rng.random_range(range));
    match rng.random_range(0..20) {
        0..=2 => Deed::Kill(part),
        3 | 4 => Deed::Stop(part),
        5 | 6 => Deed::Pause(part),
        7 => Deed::Skew(ms(rng, 0..MAX_SKEW_MS)),
        8 | 9 => Deed::Disturb(hop, Fault::Delay(ms(rng, DELAY_MS))),
        10 => Deed::Disturb(hop, Fault::Cut(Way::There)),
        11 => Deed::Disturb(hop, Fault::Cut(Way::Back)),
        12 => Deed::Disturb(hop, Fault::Silence),
        13 => Deed::Reset(hop),
        14 => Deed::Mute(hop),
        15 => Deed::Outage,
        16 => Deed::Slow(ms(rng, DELAY_MS)),
        17 => Deed::LoseAnswers(rng.random_range(LOST_ANSWERS)),
        _ => Deed::Change,
    }
}
