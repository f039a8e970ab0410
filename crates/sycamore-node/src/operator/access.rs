//! Authorization of operators' commands and queries.

use super::OperatorError;
use http::{header, HeaderMap};
use sycamore_settings::operator::Operator;

/// Checks that a request with `headers` may run commands.
///
/// # Errors
/// [`OperatorError::Unauthorized`] unless the headers hold the operators' bearer token.
pub fn authorize_command(settings: &Operator, headers: &HeaderMap) -> Result<(), OperatorError> {
    let token = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .unwrap_or_default();
    match settings.token.matches(token) {
        true => Ok(()),
        false => Err(OperatorError::Unauthorized),
    }
}

/// Checks that a request with `headers` may run queries.
///
/// # Errors
/// [`OperatorError::Unauthorized`] if queries need a token and the headers don't hold it.
pub fn authorize_query(settings: &Operator, headers: &HeaderMap) -> Result<(), OperatorError> {
    match settings.open_queries {
        true => Ok(()),
        false => authorize_command(settings, headers),
    }
}
