//! HTTP responses of the operators' listener.

use super::OperatorError;
use bytes::Bytes;
use http::{header, Response, StatusCode};
use http_body_util::Full;

/// HTTP response with a complete body.
pub type Answer = Response<Full<Bytes>>;

/// Creates a response with `status`, `content_type` and `body`.
pub fn answer(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    answer.headers_mut().insert(header::CONTENT_TYPE, content_type);
    answer
}

/// Creates the JSON response to a command or query with `result`.
pub fn json(result: Result<serde_json::Value, OperatorError>) -> Answer {
    const JSON: &str = "application/json";
    match result {
        Ok(value) => answer(StatusCode::OK, JSON, value.to_string()),
        Err(error) => answer(error.status(), JSON, error.body()),
    }
}
