//! Rates of client accounts over all nodes: the account's home lends calls, other nodes spend them.

mod borrower;
mod lender;
mod shares;

pub use borrower::{Borrower, Refusal, Spent};
pub use lender::{Lender, Loan};

use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time in which lent calls may start; what is left of a loan after it is void.
pub const LOAN_TIME: Duration = Duration::from_millis(300);

/// Request of a borrower to the account's home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// Number of the request; a repeated request has the same.
    pub number: u64,
    /// Number of calls wanted.
    pub wanted: u32,
    /// Number of calls that the borrower has spent without the home and not told it yet.
    pub spent: u32,
}

/// Returns the home of each of `accounts` among `members`: the one with the highest rank for the
/// account (rendezvous hashing), so that few accounts move when members come and go.
pub fn homes<'a>(
    accounts: impl Iterator<Item = &'a AccountName>,
    members: &[&'a Member],
) -> BTreeMap<AccountName, &'a Member> {
    let hashed: Vec<(u64, &Member)> =
        members.iter().map(|member| (hash(member.instance.as_str()), *member)).collect();
    let home = |account: &AccountName| {
        let own = hash(account.as_str());
        let highest = hashed.iter().max_by_key(|(hash, _)| mix(own ^ *hash))?;
        Some((account.clone(), highest.1))
    };
    accounts.filter_map(home).collect()
}

fn hash(name: &str) -> u64 {
    let bytes = ContentHash::of(name.as_bytes()).0;
    bytes[..8].iter().fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

/// Mixes all bits of `value` (the finaliser of SplitMix64), so that the ranks of two accounts don't
/// order the members alike.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
