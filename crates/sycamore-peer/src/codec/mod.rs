//! Converts the messages of the membership state machine to and from protobuf, and checks every
//! bound when it decodes.

mod exchange;
mod fact;
mod item;
mod packet;

pub use exchange::{reply_from_wire, reply_to_wire, request_from_wire, request_to_wire};
pub use fact::{head_from_wire, head_to_wire};
pub use item::{item_from_wire, item_to_wire};
pub use packet::{decode_packet, deployment_tag, encode_packet};

use crate::{Error, Result};
use error_stack::Report;

/// Creates an [`Error::Malformed`] report; `what` says which part of the message is at fault.
pub(crate) fn malformed(what: &'static str) -> Report<Error> {
    Report::new(Error::Malformed).attach(what)
}

/// Parses an identifier of the kind that `what` names.
///
/// # Errors
/// [`Error::Malformed`] with `what` where `text` is no valid identifier.
fn parse_id<T: std::str::FromStr>(text: &str, what: &'static str) -> Result<T> {
    text.parse().map_err(|_| malformed(what))
}
