//! Client accounts: who may call, with which keys, in which order and at which rate.

use crate::hash::ContentHash;
use crate::id::AccountName;
use crate::rate::RateLimit;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

/// Digest of a client's key, in whose place configurations and nodes hold it: the key itself is not
/// kept anywhere. Its debug form shows nothing of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(ContentHash);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(ContentHash::of(key))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Account of a client, as a configuration states it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name of the account, which upstreams are told.
    pub name: AccountName,
    /// Digests of the keys that belong to the account.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
    /// Priority of the account's calls, 0 being the highest, which goes before the route's; `None`
    /// leaves it to the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Calls per second that all nodes together take from the account; `None` for any number.
    #[serde(default, rename = "calls_per_s", skip_serializing_if = "Option::is_none")]
    pub rate: Option<RateLimit>,
    /// Calls that the account may make at once beyond its rate.
    #[serde(default)]
    pub burst: u32,
    /// Reason for which none of the account's calls is served, without its keys; `None` for a valid
    /// account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<String>,
}

impl ClientAccount {
    /// Creates an account whose calls are refused because of `fault`, which names none of the keys.
    pub fn faulty(name: AccountName, keys: Vec<KeyDigest>, fault: String) -> Self {
        Self { name, keys, rank: None, rate: None, burst: 0, fault: Some(fault) }
    }
}

/// Accounts of a configuration by name and by key; clones share it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountTable(Arc<Indexed>);

#[derive(Debug, Default, PartialEq)]
struct Indexed {
    by_name: BTreeMap<AccountName, Arc<ClientAccount>>,
    by_key: HashMap<KeyDigest, Arc<ClientAccount>>,
}

impl AccountTable {
    /// Returns whether the configuration has no accounts, so that calls need no key.
    pub fn is_empty(&self) -> bool {
        self.0.by_name.is_empty()
    }

    /// Returns the account that holds `key`. Digests are compared, whose bytes tell nothing of a
    /// key that differs in a few.
    pub fn with_key(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.0.by_key.get(key)
    }

    /// Returns the account named `name`.
    pub fn named(&self, name: &AccountName) -> Option<&Arc<ClientAccount>> {
        self.0.by_name.get(name)
    }

    /// Iterates over the accounts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &ClientAccount> {
        self.0.by_name.values().map(|account| &**account)
    }
}

impl FromIterator<ClientAccount> for AccountTable {
    fn from_iter<I: IntoIterator<Item = ClientAccount>>(accounts: I) -> Self {
        let mut indexed = Indexed::default();
        for account in accounts.into_iter().map(Arc::new) {
            let keys = account.keys.iter().map(|key| (*key, account.clone()));
            indexed.by_key.extend(keys);
            indexed.by_name.insert(account.name.clone(), account);
        }
        Self(Arc::new(indexed))
    }
}
