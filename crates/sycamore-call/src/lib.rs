//! Decisions on calls: routing, admission, retries, idempotency and quarantine.
