//! Routes in order of precedence, with an index by host and path prefix.

use crate::resource::Route;
use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// Offset basis of the 64-bit FNV-1a hash.
const HASH_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Routes of a configuration, in order of precedence: the first one that matches takes the call.
///
/// The index is built once, from a `Vec`; clones share it.
#[derive(Clone, Default)]
pub struct RouteTable {
    shared: Arc<Indexed>,
}

impl RouteTable {
    /// Finds the first route for `path` at `host`: its prefix ends at a path segment of `path`, and
    /// its host is `host`, without regard to case, or absent. The work depends on the length of
    /// `host` and of the longest prefix, not on the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.candidates(host, path).filter(|at| matches(&self[*at], host, path)).min();
        first.map(|at| &self[at])
    }

    /// Returns the indices of the routes that [`RouteTable::find`] compares with a call: those
    /// whose hash equals that of `host`, or of no host, with a prefix of `path`.
    pub fn candidates<'a>(
        &'a self,
        host: &'a str,
        path: &'a str,
    ) -> impl Iterator<Item = usize> + 'a {
        let Indexed { slots, longest, .. } = &*self.shared;
        let hashes = move |host| prefix_hashes(host, path, *longest);
        hashes(Some(host)).chain(hashes(None)).flat_map(move |hash| probe(slots, hash))
    }
}

impl From<Vec<Route>> for RouteTable {
    fn from(routes: Vec<Route>) -> Self {
        let mut slots = HashMap::with_capacity(routes.len());
        for (at, route) in routes.iter().enumerate() {
            insert(&mut slots, &routes, at, route);
        }
        let longest = routes.iter().map(|route| route.prefix.len()).max().unwrap_or(0);
        Self { shared: Arc::new(Indexed { routes, slots, longest }) }
    }
}

impl Deref for RouteTable {
    type Target = [Route];

    fn deref(&self) -> &[Route] {
        &self.shared.routes
    }
}

impl PartialEq for RouteTable {
    fn eq(&self, other: &Self) -> bool {
        **self == **other
    }
}

impl fmt::Debug for RouteTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (**self).fmt(f)
    }
}

/// Index of the first route of each host and prefix by their hash, or by the next free number where
/// a route with another host or prefix has the same hash.
type Slots = HashMap<u64, usize>;

#[derive(Default)]
struct Indexed {
    routes: Vec<Route>,
    slots: Slots,
    /// Length of the longest prefix, in bytes.
    longest: usize,
}

fn insert(slots: &mut Slots, routes: &[Route], at: usize, route: &Route) {
    let host = route.host.as_deref();
    let mut slot = hash_prefix(host, &route.prefix);
    loop {
        match slots.entry(slot) {
            Entry::Vacant(entry) => {
                entry.insert(at);
                return;
            }
            Entry::Occupied(entry) if is_same_key(&routes[*entry.get()], route) => return,
            Entry::Occupied(_) => slot = slot.wrapping_add(1),
        }
    }
}

/// Returns the routes whose slots are reached from `hash`.
fn probe(slots: &Slots, hash: u64) -> impl Iterator<Item = usize> + '_ {
    (0..).map_while(move |step| slots.get(&hash.wrapping_add(step)).copied())
}

fn is_same_key(a: &Route, b: &Route) -> bool {
    let is_same_host = match (&a.host, &b.host) {
        (Some(a), Some(b)) => a.eq_ignore_ascii_case(b),
        (a, b) => a.is_none() && b.is_none(),
    };
    is_same_host && a.prefix == b.prefix
}

fn hash_prefix(host: Option<&str>, prefix: &str) -> u64 {
    hash_bytes(hash_host(host), prefix.as_bytes())
}

/// Returns the hashes of `host` with each prefix of `path` that ends at a segment and has at most
/// `longest` bytes, shortest first.
fn prefix_hashes<'a>(
    host: Option<&str>,
    path: &'a str,
    longest: usize,
) -> impl Iterator<Item = u64> + 'a {
    let (mut hash, mut start) = (hash_host(host), 0);
    boundaries(path, longest).map(move |end| {
        hash = hash_bytes(hash, &path.as_bytes()[start..end]);
        start = end;
        hash
    })
}

fn hash_host(host: Option<&str>) -> u64 {
    let Some(host) = host else { return HASH_OFFSET };
    let hash =
        host.bytes().fold(HASH_OFFSET, |hash, byte| hash_byte(hash, byte.to_ascii_lowercase()));
    // No byte of a text: the host ends here.
    hash_byte(hash, 0xFF)
}

fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| hash_byte(hash, *byte))
}

/// Adds `byte` to a hash by FNV-1a, which yields the hash of every prefix on the way.
fn hash_byte(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME)
}

/// Returns the lengths, up to `longest` bytes, of the prefixes of `path` that end at a path segment.
/// They depend on the bytes beside each end alone, so a prefix and the paths below it agree on them.
fn boundaries(path: &str, longest: usize) -> impl Iterator<Item = usize> + '_ {
    let bytes = path.as_bytes();
    (0..=bytes.len().min(longest)).filter(move |end| {
        let is_after_slash = *end > 0 && bytes[*end - 1] == b'/';
        is_after_slash || bytes.get(*end).is_none_or(|next| matches!(next, b'/' | b'?'))
    })
}

fn matches(route: &Route, host: &str, path: &str) -> bool {
    route.host.as_deref().is_none_or(|expected| expected.eq_ignore_ascii_case(host))
        && matches_prefix(path, &route.prefix)
}

fn matches_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        None => false,
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?']),
    }
}
