//! Checks across keys and sections.

use crate::calls::EXCHANGE_BYTES;
use crate::operator::MIN_TOKEN_BYTES;
use crate::Settings;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Two settings that cannot both hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contradiction {
    /// The section of the key to change.
    pub section: &'static str,
    /// The key to change.
    pub key: &'static str,
    /// What is wrong, in a sentence.
    pub problem: String,
}

/// Every contradiction in `settings`.
pub fn contradictions(settings: &Settings) -> Vec<Contradiction> {
    let mut found = Vec::new();
    shared_addresses(settings, &mut found);
    operator_access(settings, &mut found);
    timing(settings, &mut found);
    memory(settings, &mut found);
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

fn shared_addresses(settings: &Settings, found: &mut Vec<Contradiction>) {
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
            add(found, "listen", key, "port 0 can't be found by others");
        }
        if let Some(other) = seen.insert(addr, key) {
            add(found, "listen", key, format!("{addr} is already the {other} listener's"));
        }
    }
}

fn operator_access(settings: &Settings, found: &mut Vec<Contradiction>) {
    let operator = &settings.operator;
    if !operator.beyond_loopback && !settings.listen.operator.ip().is_loopback() {
        let problem = "is beyond loopback; set beyond_loopback = true in [operator] to allow it";
        add(found, "listen", "operator", problem);
    }
    let open = settings.calls.upstream_beyond_loopback;
    if !open && !settings.listen.upstream.ip().is_loopback() {
        add(found, "listen", "upstream", "must be a loopback address: only the upstream beside it");
    }
    if !operator.token.is_empty() && operator.token.len() < MIN_TOKEN_BYTES {
        let problem = format!("is shorter than {MIN_TOKEN_BYTES} bytes");
        add(found, "operator", "token", problem);
    }
}

fn timing(settings: &Settings, found: &mut Vec<Contradiction>) {
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

/// A call whose both sides are one node has two exchanges there.
fn memory(settings: &Settings, found: &mut Vec<Contradiction>) {
    let least = 2 * EXCHANGE_BYTES;
    if settings.calls.body_memory < least {
        let problem = format!("must be at least {} KiB, for two exchanges", least >> 10);
        add(found, "calls", "body_memory", problem);
    }
}

/// The keys of the section that `section` holds.
pub(crate) fn keys_of(section: &impl Serialize) -> Vec<String> {
    match ::config::Config::try_from(section).and_then(|source| source.try_deserialize()) {
        Ok(keys) => {
            let keys: BTreeMap<String, String> = keys;
            keys.into_keys().collect()
        }
        Err(_) => Vec::new(),
    }
}
