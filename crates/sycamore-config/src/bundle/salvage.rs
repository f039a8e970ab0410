//! Separation of the entries that can't be applied from the others of a configuration.

use super::check::{entry_faults, EntryFault};
use super::Fault;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Start of the name of the account that holds the keys of several accounts.
const SHARED_KEYS: &str = "keys-of-several-accounts";
/// Timeout of a route that refuses its calls: any valid one, as no call waits for it.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the entries of `resources` that are valid together, and the faults of the others:
///
/// - accounts of one name are one account, and a key of several accounts is refused;
/// - a route that no request can select, or that an earlier one hides, is left out;
/// - a route or account with another fault stays, with the fault in place of its policy;
/// - of services or limits that are listed twice, the first are taken.
pub(super) fn separate_faults(resources: Vec<Resource>) -> (Vec<Resource>, Vec<Fault>) {
    let mut faults = Vec::new();
    let resources = separate_accounts(resources, &mut faults);
    let mut of_entries: HashMap<usize, Vec<EntryFault>> = HashMap::new();
    for fault in entry_faults(&resources.iter().collect::<Vec<_>>()) {
        of_entries.entry(fault.at).or_default().push(fault);
    }
    let mut kept = Vec::with_capacity(resources.len());
    for (at, resource) in resources.into_iter().enumerate() {
        match of_entries.remove(&at) {
            None => kept.push(resource),
            Some(of_entry) => {
                kept.extend(to_refusing(resource, &of_entry));
                faults.extend(of_entry.into_iter().map(Fault::from));
            }
        }
    }
    (kept, faults)
}

/// Returns the entry with `faults` as one that refuses its calls; `None` if no call reaches it.
fn to_refusing(resource: Resource, faults: &[EntryFault]) -> Option<Resource> {
    let reasons: Vec<&str> = faults.iter().map(|fault| &*fault.reason).collect();
    let fault = reasons.join("; ");
    match resource {
        Resource::Route(_) if !faults.iter().all(leaves_route_selectable) => None,
        Resource::Route(route) => Some(Resource::Route(Route {
            split: Vec::new(),
            timeout: UNUSED_TIMEOUT,
            policy: RoutePolicy::default(),
            fault: Some(fault),
            ..route
        })),
        Resource::Account(ClientAccount { name, keys, .. }) => {
            Some(Resource::Account(ClientAccount::faulty(name, keys, fault)))
        }
        Resource::Service(_) | Resource::Callers(_) => None,
    }
}

/// Returns whether requests can select the route, which is no other's in the configuration.
fn leaves_route_selectable(fault: &EntryFault) -> bool {
    !matches!(&*fault.field, "name" | "host" | "prefix")
}

/// Merges accounts of one name, and moves keys of several accounts to one that refuses its calls, as
/// their owner isn't certain.
fn separate_accounts(resources: Vec<Resource>, faults: &mut Vec<Fault>) -> Vec<Resource> {
    let mut others = Vec::with_capacity(resources.len());
    let mut accounts: BTreeMap<AccountName, ClientAccount> = BTreeMap::new();
    for resource in resources {
        match resource {
            Resource::Account(account) => match accounts.get_mut(&account.name) {
                Some(first) => {
                    let reason = "listed more than once: all keys and the first limits count";
                    let place = format!("account {}", account.name);
                    faults.push(Fault { place, reason: reason.to_owned() });
                    first.keys.extend(account.keys);
                    first.fault = first.fault.take().or(account.fault);
                }
                None => drop(accounts.insert(account.name.clone(), account)),
            },
            other => others.push(other),
        }
    }
    let shared = take_shared_keys(&mut accounts);
    if !shared.is_empty() {
        let reason = format!("{} keys belong to several accounts", shared.len());
        faults.push(Fault { place: "accounts".to_owned(), reason: reason.clone() });
        let name = unused_name(&accounts);
        accounts.insert(name.clone(), ClientAccount::faulty(name, shared, reason));
    }
    others.extend(accounts.into_values().map(Resource::Account));
    others
}

/// Removes the keys that more than one of `accounts` has, and returns them. Each account keeps every
/// other key once.
fn take_shared_keys(accounts: &mut BTreeMap<AccountName, ClientAccount>) -> Vec<KeyDigest> {
    let mut owners: BTreeMap<KeyDigest, usize> = BTreeMap::new();
    for account in accounts.values_mut() {
        let mut seen = HashSet::new();
        account.keys.retain(|key| seen.insert(*key));
        for key in seen {
            *owners.entry(key).or_default() += 1;
        }
    }
    owners.retain(|_, count| *count > 1);
    for account in accounts.values_mut() {
        account.keys.retain(|key| !owners.contains_key(key));
    }
    owners.into_keys().collect()
}

/// Returns a name that none of `accounts` has.
fn unused_name(accounts: &BTreeMap<AccountName, ClientAccount>) -> AccountName {
    let name = |number: usize| {
        let name = AccountName::new(format!("{SHARED_KEYS}-{number}"));
        name.expect("letters, digits and hyphens")
    };
    let mut names = (0..=accounts.len()).map(name);
    names.find(|name| !accounts.contains_key(name)).expect("one name more than accounts")
}
