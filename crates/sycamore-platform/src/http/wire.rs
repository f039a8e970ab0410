//! Encoding of paths and decoding of answers.

use crate::error::{Error, Result};
use crate::table::{Conflict, Revision, Transacted};
use error_stack::Report;
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Deserialize)]
struct TransactAnswer {
    committed: bool,
    #[serde(default)]
    revisions: BTreeMap<String, Revision>,
    #[serde(default)]
    conflicts: Vec<Conflict>,
}

/// Percent-encodes all but unreserved characters, `/` and `:` (RFC 3986, section 2.3).
pub(super) fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~/:".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            write!(escaped, "%{byte:02X}").expect("writing to a string succeeds");
        }
    }
    escaped
}

pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| Report::new(Error::Malformed(e.to_string())))
}

pub(super) fn transacted(body: &[u8]) -> Result<Transacted> {
    let answer: TransactAnswer = decode(body)?;
    Ok(match answer.committed {
        true => Transacted::Committed { revisions: answer.revisions },
        false => Transacted::Conflicted { conflicts: answer.conflicts },
    })
}

/// The error for a status that the protocol gives no meaning. Only 429 and 503 promise that the
/// request had no effect.
pub(super) fn refused(status: StatusCode) -> Report<Error> {
    Report::new(match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Error::Refused { status: status.as_u16() }
        }
        status => Error::Malformed(format!("status {}", status.as_u16())),
    })
}
