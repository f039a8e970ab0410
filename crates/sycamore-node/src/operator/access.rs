//! Who may command and ask.

use super::OperatorError;
use http::{header, HeaderMap};
use sycamore_settings::operator::Operator;

/// Checks that the bearer of `headers` may give commands.
///
/// # Errors
/// [`OperatorError::Unauthorized`] unless the right token is given.
pub fn may_command(settings: &Operator, headers: &HeaderMap) -> Result<(), OperatorError> {
    let token = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .unwrap_or_default();
    match settings.token.matches(token) {
        true => Ok(()),
        false => Err(OperatorError::Unauthorized),
    }
}

/// Checks that the bearer of `headers` may ask.
///
/// # Errors
/// [`OperatorError::Unauthorized`] where queries are not open and the token is not right.
pub fn may_ask(settings: &Operator, headers: &HeaderMap) -> Result<(), OperatorError> {
    match settings.open_queries {
        true => Ok(()),
        false => may_command(settings, headers),
    }
}
