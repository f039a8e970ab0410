//! Converts exchange requests and replies to and from their protobuf messages.

use super::item::{item_to_wire, items_from_wire};
use super::malformed;
use crate::limits::{MAX_BUCKETS, MAX_EXCHANGE_ITEMS};
use crate::proto;
use crate::Result;
use sycamore_member::message::{ExchangeReply, ExchangeRequest, Scope};

/// Converts an exchange request to its protobuf message.
pub fn request_to_wire(req: &ExchangeRequest) -> proto::ExchangeRequest {
    proto::ExchangeRequest {
        buckets: req.buckets.clone(),
        first: req.first,
        items: req.items.iter().map(item_to_wire).collect(),
        facts_only: req.scope == Scope::Facts,
    }
}

/// Converts a protobuf message to an exchange request.
///
/// # Errors
/// [`crate::Error::Malformed`] where it names more than [`MAX_BUCKETS`] buckets, has more than
/// [`MAX_EXCHANGE_ITEMS`] items, or has a malformed item.
pub fn request_from_wire(wire: proto::ExchangeRequest) -> Result<ExchangeRequest> {
    if wire.buckets.len() > MAX_BUCKETS {
        return Err(malformed("exchange request with more than MAX_BUCKETS buckets"));
    }
    Ok(ExchangeRequest {
        buckets: wire.buckets,
        first: wire.first,
        items: items_from_wire(wire.items, MAX_EXCHANGE_ITEMS)?,
        scope: if wire.facts_only { Scope::Facts } else { Scope::All },
    })
}

/// Converts an exchange reply to its protobuf message.
pub fn reply_to_wire(reply: &ExchangeReply) -> proto::ExchangeReply {
    proto::ExchangeReply {
        differing: reply.differing.clone(),
        items: reply.items.iter().map(item_to_wire).collect(),
        next: reply.next,
    }
}

/// Converts a protobuf message to an exchange reply.
///
/// # Errors
/// [`crate::Error::Malformed`] where it names more than [`MAX_BUCKETS`] buckets, has more than
/// [`MAX_EXCHANGE_ITEMS`] items, or has a malformed item.
pub fn reply_from_wire(wire: proto::ExchangeReply) -> Result<ExchangeReply> {
    if wire.differing.len() > MAX_BUCKETS {
        return Err(malformed("exchange reply with more than MAX_BUCKETS buckets"));
    }
    Ok(ExchangeReply {
        differing: wire.differing,
        items: items_from_wire(wire.items, MAX_EXCHANGE_ITEMS)?,
        next: wire.next,
    })
}
