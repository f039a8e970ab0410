//! Exchange messages on the wire.

use super::item::{item_to_wire, items_from_wire};
use super::malformed;
use crate::limits::{MAX_BUCKETS, MAX_EXCHANGE_ITEMS};
use crate::proto;
use crate::Result;
use sycamore_member::message::{ExchangeReply, ExchangeRequest, Scope};

/// An exchange request as it goes on the wire.
pub fn request_to_wire(req: &ExchangeRequest) -> proto::ExchangeRequest {
    proto::ExchangeRequest {
        buckets: req.buckets.clone(),
        first: req.first,
        items: req.items.iter().map(item_to_wire).collect(),
        facts_only: req.scope == Scope::Facts,
    }
}

/// The exchange request in `wire`.
///
/// # Errors
/// [`crate::Error::Malformed`] where a bound is exceeded or an item is not well formed.
pub fn request_from_wire(wire: proto::ExchangeRequest) -> Result<ExchangeRequest> {
    if wire.buckets.len() > MAX_BUCKETS {
        return Err(malformed("too many buckets"));
    }
    Ok(ExchangeRequest {
        buckets: wire.buckets,
        first: wire.first,
        items: items_from_wire(wire.items, MAX_EXCHANGE_ITEMS)?,
        scope: if wire.facts_only { Scope::Facts } else { Scope::All },
    })
}

/// An exchange reply as it goes on the wire.
pub fn reply_to_wire(reply: &ExchangeReply) -> proto::ExchangeReply {
    proto::ExchangeReply {
        differing: reply.differing.clone(),
        items: reply.items.iter().map(item_to_wire).collect(),
        next: reply.next,
    }
}

/// The exchange reply in `wire`.
///
/// # Errors
/// [`crate::Error::Malformed`] where a bound is exceeded or an item is not well formed.
pub fn reply_from_wire(wire: proto::ExchangeReply) -> Result<ExchangeReply> {
    if wire.differing.len() > MAX_BUCKETS {
        return Err(malformed("too many buckets"));
    }
    Ok(ExchangeReply {
        differing: wire.differing,
        items: items_from_wire(wire.items, MAX_EXCHANGE_ITEMS)?,
        next: wire.next,
    })
}
