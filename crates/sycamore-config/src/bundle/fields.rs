//! Field schemas of the resource kinds. Each field is decoded separately, so that one validation
//! reports the faults of all fields.

use super::Fault;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use sycamore_types::prelude::*;

/// Schema of one field of a JSON object.
struct Field {
    name: &'static str,
    required: bool,
    check: fn(&str, &Value) -> Vec<Fault>,
}

/// Fields of a service.
const SERVICE: &[Field] = &[
    Field { name: "kind", required: true, check: check_type::<String> },
    Field { name: "name", required: true, check: check_type::<ServiceName> },
    Field { name: "limits", required: false, check: check_limits },
    Field { name: "retry", required: false, check: check_retry },
    Field { name: "warm_up_calls_per_s", required: false, check: check_type::<RateLimit> },
];

/// Fields of a route.
const ROUTE: &[Field] = &[
    Field { name: "kind", required: true, check: check_type::<String> },
    Field { name: "name", required: true, check: check_type::<RouteName> },
    Field { name: "host", required: false, check: check_type::<String> },
    Field { name: "prefix", required: true, check: check_type::<String> },
    Field { name: "service", required: true, check: check_type::<ServiceName> },
    Field { name: "split", required: false, check: check_type::<Vec<WeightedService>> },
    Field { name: "timeout_ms", required: true, check: check_type::<u64> },
    Field { name: "policy", required: false, check: check_policy },
];

/// Fields of a route's call policy.
const POLICY: &[Field] = &[
    Field { name: "repeat", required: false, check: check_type::<Repeat> },
    Field { name: "attempts", required: false, check: check_type::<u8> },
    Field { name: "objective_ms", required: false, check: check_type::<u64> },
    Field { name: "rank", required: false, check: check_type::<u8> },
    Field { name: "is_open", required: false, check: check_type::<bool> },
];

/// Fields of the limits on client requests.
const CALLERS: &[Field] = &[
    Field { name: "kind", required: true, check: check_type::<String> },
    Field { name: "head_bytes", required: false, check: check_type::<u64> },
    Field { name: "body_bytes", required: false, check: check_type::<u64> },
    Field { name: "head_ms", required: false, check: check_type::<u64> },
    Field { name: "idle_ms", required: false, check: check_type::<u64> },
];

/// Fields of a client account.
const ACCOUNT: &[Field] = &[
    Field { name: "kind", required: true, check: check_type::<String> },
    Field { name: "name", required: true, check: check_type::<AccountName> },
    Field { name: "keys", required: false, check: check_type::<Vec<KeyDigest>> },
    Field { name: "rank", required: false, check: check_type::<u8> },
    Field { name: "calls_per_s", required: false, check: check_type::<RateLimit> },
    Field { name: "burst", required: false, check: check_type::<u32> },
];

/// Fields of a service's queue and body limits.
const LIMITS: &[Field] = &[
    Field { name: "queue", required: false, check: check_type::<u16> },
    Field { name: "queue_ms", required: false, check: check_type::<u64> },
    Field { name: "body_bytes", required: false, check: check_type::<u64> },
];

/// Fields of a service's retry policy.
const RETRY: &[Field] = &[
    Field { name: "attempts", required: false, check: check_type::<u8> },
    Field { name: "budget_percent", required: false, check: check_type::<u8> },
];

/// Returns the faults of all fields of one resource.
pub(super) fn field_faults(place: &str, resource: &Value) -> Vec<Fault> {
    match resource.get("kind").and_then(Value::as_str) {
        Some("service") => check_object(place, resource, SERVICE),
        Some("route") => check_object(place, resource, ROUTE),
        Some("callers") => check_object(place, resource, CALLERS),
        Some("account") => check_object(place, resource, ACCOUNT),
        Some(kind) => {
            let reason =
                format!("unknown kind {kind:?}; expected service, route, callers or account");
            vec![fault(&format!("{place}.kind"), reason)]
        }
        None => {
            vec![fault(
                place,
                "must be an object with a field kind: service, route, callers or account",
            )]
        }
    }
}

fn fault(place: &str, reason: impl Into<String>) -> Fault {
    Fault { place: place.to_owned(), reason: reason.into() }
}

/// Returns the faults of `value`, which must be an object with the given fields.
fn check_object(place: &str, value: &Value, fields: &[Field]) -> Vec<Fault> {
    match value {
        Value::Object(map) => check_fields(place, map, fields),
        _ => vec![fault(place, "must be an object")],
    }
}

/// Returns the faults of unknown, missing and invalid fields.
fn check_fields(place: &str, map: &Map<String, Value>, fields: &[Field]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for key in map.keys() {
        if !fields.iter().any(|field| field.name == key) {
            let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
            let reason = format!("unknown field; expected one of {}", names.join(", "));
            faults.push(fault(&format!("{place}.{key}"), reason));
        }
    }
    for field in fields {
        let place = format!("{place}.{}", field.name);
        match map.get(field.name) {
            Some(value) => faults.extend((field.check)(&place, value)),
            None if field.required => faults.push(fault(&place, "required field is missing")),
            None => {}
        }
    }
    faults
}

/// Returns a fault if `value` can't be decoded as a `T`.
fn check_type<T: DeserializeOwned>(place: &str, value: &Value) -> Vec<Fault> {
    match serde_json::from_value::<T>(value.clone()) {
        Ok(_) => Vec::new(),
        Err(error) => vec![fault(place, error.to_string())],
    }
}

fn check_limits(place: &str, value: &Value) -> Vec<Fault> {
    check_object(place, value, LIMITS)
}

fn check_policy(place: &str, value: &Value) -> Vec<Fault> {
    check_object(place, value, POLICY)
}

fn check_retry(place: &str, value: &Value) -> Vec<Fault> {
    check_object(place, value, RETRY)
}
