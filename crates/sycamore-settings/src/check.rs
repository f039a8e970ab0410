//! Checks of settings against limits and against other keys and sections.

use crate::calls::EXCHANGE_BYTES;
use crate::operator::MIN_TOKEN_BYTES;
use crate::shutdown::Shutdown;
use crate::Settings;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use sycamore_types::share::Share;

/// Smallest quantile of a route's times after which a second attempt may be sent.
const MIN_HEDGE_QUANTILE: Share = Share::from_basis_points(5_000);
/// Largest share of second attempts.
const MAX_HEDGE_EXTRA: Share = Share::from_basis_points(5_000);

/// Setting that is out of range or contradicts another setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contradiction {
    /// Section of the key to change.
    pub section: &'static str,
    /// Key to change.
    pub key: &'static str,
    /// Description of the problem and of the expected value.
    pub problem: String,
}

/// Returns all contradictions in `settings`.
pub fn contradictions(settings: &Settings) -> Vec<Contradiction> {
    let mut found = Vec::new();
    check_listen_addresses(settings, &mut found);
    check_access(settings, &mut found);
    check_timing_and_rates(settings, &mut found);
    check_body_memory(settings, &mut found);
    check_shutdown(settings, &mut found);
    check_hedge(settings, &mut found);
    found
}

fn add(
    found: &mut Vec<Contradiction>,
    section: &'static str,
    key: &'static str,
    problem: impl Into<String>,
) {
    found.push(Contradiction { section, key, problem: problem.into() });
}

fn check_listen_addresses(settings: &Settings, found: &mut Vec<Contradiction>) {
    let listen = &settings.listen;
    let listeners = [
        ("caller", listen.caller),
        ("upstream", listen.upstream),
        ("relay", listen.relay),
        ("peer", listen.peer),
        ("operator", listen.operator),
    ];
    let ready = listen.ready.map(|addr| ("ready", addr));
    let mut seen: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (key, addr) in listeners.into_iter().chain(ready) {
        if addr.port() == 0 {
            let problem = format!("{addr} has port 0; a fixed port is needed to connect to it");
            add(found, "listen", key, problem);
        }
        if let Some(other) = seen.insert(addr, key) {
            add(found, "listen", key, format!("{addr} is already used by the {other} listener"));
        }
    }
}

fn check_access(settings: &Settings, found: &mut Vec<Contradiction>) {
    let operator = &settings.operator;
    if !operator.beyond_loopback && !settings.listen.operator.ip().is_loopback() {
        let addr = settings.listen.operator;
        let problem = format!(
            "{addr} is not a loopback address; set beyond_loopback = true in [operator] to allow it"
        );
        add(found, "listen", "operator", problem);
    }
    let allowed = settings.calls.upstream_beyond_loopback;
    if !allowed && !settings.listen.upstream.ip().is_loopback() {
        let addr = settings.listen.upstream;
        let problem = format!(
            "{addr} is not a loopback address; set upstream_beyond_loopback = true in [calls] to \
             allow it"
        );
        add(found, "listen", "upstream", problem);
    }
    if !operator.token.is_empty() && operator.token.len() < MIN_TOKEN_BYTES {
        let problem = format!("must have at least {MIN_TOKEN_BYTES} bytes");
        add(found, "operator", "token", problem);
    }
}

fn check_timing_and_rates(settings: &Settings, found: &mut Vec<Contradiction>) {
    let peers = &settings.peers;
    if peers.probe_timeout >= peers.probe_interval {
        add(found, "peers", "probe_timeout", "must be shorter than probe_interval");
    }
    if settings.calls.hop_limit == 0 {
        add(found, "calls", "hop_limit", "must be at least 1");
    }
    if settings.platform.fleet_reads_per_s == 0 {
        add(found, "platform", "fleet_reads_per_s", "must be at least 1");
    }
    if settings.platform.fleet_writes_per_s == 0 {
        add(found, "platform", "fleet_writes_per_s", "must be at least 1");
    }
}

/// Checks that the body memory suffices for two exchanges. A call that a node both accepts from the
/// caller and forwards to its own upstream takes two.
fn check_body_memory(settings: &Settings, found: &mut Vec<Contradiction>) {
    let min = 2 * EXCHANGE_BYTES;
    if settings.calls.body_memory < min {
        let problem = format!("must be at least {} KB, for two exchanges", min >> 10);
        add(found, "calls", "body_memory", problem);
    }
}

/// Checks that second attempts are for few calls, and that a service has as many calls as they take.
fn check_hedge(settings: &Settings, found: &mut Vec<Contradiction>) {
    if settings.hedge.quantile < MIN_HEDGE_QUANTILE {
        let problem = "must be at least 50%: second attempts are for the slowest calls";
        add(found, "hedge", "quantile", problem);
    }
    let shares = settings.hedge.services.values().chain([&settings.hedge.extra]);
    if shares.copied().any(|share| share > MAX_HEDGE_EXTRA) {
        add(found, "hedge", "extra", "must be at most 50%, for a service too");
    }
}

/// Checks that the grace time suffices to end in order.
fn check_shutdown(settings: &Settings, found: &mut Vec<Contradiction>) {
    if let Err(least) = Shutdown::plan(&settings.calls) {
        let problem =
            format!("must be longer than {} ms, which a shutdown takes", least.as_millis());
        add(found, "calls", "grace", problem);
    }
}

/// Returns the names of the keys of `section`, sorted; empty if it does not serialise.
pub(crate) fn keys_of(section: &impl Serialize) -> Vec<String> {
    match ::config::Config::try_from(section).and_then(|source| source.try_deserialize()) {
        Ok(keys) => {
            let keys: BTreeMap<String, String> = keys;
            keys.into_keys().collect()
        }
        Err(_) => Vec::new(),
    }
}
