//! Client accounts of calls: the key that a call brings, and whether the node may act on it.

use super::answer::{Answer, DEFAULT_RETRY_AFTER};
use super::state::State;
use crate::edge::{Credential, RequestInfo};
use http::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use sycamore_config::OutOfDate;
use sycamore_types::prelude::*;

/// Returns the account of a call on `route`; `None` where it needs no key.
///
/// # Errors
/// Returns the answer that refuses the call.
pub(super) fn identify(
    state: &State,
    snapshot: &Snapshot,
    route: &Route,
    info: &RequestInfo,
    peer: SocketAddr,
) -> Result<Option<Arc<ClientAccount>>, Answer> {
    let accounts = &snapshot.accounts;
    if accounts.is_empty() {
        return Ok(None);
    }
    let account = match info.credential {
        Credential::Key(key) => accounts.with_key(&key),
        Credential::Absent | Credential::Malformed => None,
    };
    match (account, info.credential) {
        (Some(_), _) if !is_proven(state) => Err(refuse_unproven(state)),
        (Some(account), _) => match &account.fault {
            None => Ok(Some(account.clone())),
            Some(_) if route.policy.is_open => Ok(None),
            Some(fault) => Err(Answer::faulty_entry(fault)),
        },
        (None, _) if route.policy.is_open => Ok(None),
        (None, Credential::Absent) if is_of_upstream(state, peer) => Ok(None),
        // Before its first announcement, the upstream's own calls can't be told from others.
        (None, Credential::Absent) if state.upstream().is_none() => {
            Err(Answer::refused(RefusalReason::NotReady, DEFAULT_RETRY_AFTER))
        }
        (None, Credential::Absent) => Err(refuse(state, "the call has no key")),
        (None, Credential::Malformed) => Err(refuse(state, "the call's key can't be read")),
        (None, Credential::Key(_)) => Err(refuse(state, "the key belongs to no account")),
    }
}

/// Returns whether the configuration is recent enough to act on a key that it holds.
fn is_proven(state: &State) -> bool {
    let max_age = state.hub.settings.accounts.max_proof_age();
    max_age.is_none_or(|max_age| state.hub.proof_age().is_some_and(|age| age <= max_age))
}

/// Returns the answer to a call with a key that may have been withdrawn. The next proof comes with the
/// next answer of a peer, at the interval of this node's requests.
fn refuse_unproven(state: &State) -> Answer {
    Answer::refused(RefusalReason::Unproven, state.hub.settings.config.max_age() / 2)
}

/// Returns whether a call comes from the local upstream, whose own calls carry no key.
fn is_of_upstream(state: &State, peer: SocketAddr) -> bool {
    let own = state.hub.settings.listen.caller.ip();
    let upstream = state.upstream().map(|upstream| upstream.address.ip());
    peer.ip() == own || upstream == Some(peer.ip())
}

/// Returns the answer to a call without an account. A caller takes 401 as final, so it is given only
/// if no newer configuration may have the key.
fn refuse(state: &State, detail: &str) -> Answer {
    let reason = match state.hub.out_of_date() {
        None => return Answer::rejected(StatusCode::UNAUTHORIZED, "no-account", detail),
        Some(OutOfDate::Rejected) => RefusalReason::ConfigurationRejected,
        Some(OutOfDate::Behind) => RefusalReason::ConfigurationBehind,
    };
    Answer::refused(reason, DEFAULT_RETRY_AFTER)
}
