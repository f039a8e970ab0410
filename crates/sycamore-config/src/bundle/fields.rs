//! The fields that each kind of resource knows, each checked alone so that all faults are found.

use super::Fault;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use sycamore_types::prelude::*;

/// A field of a JSON object.
struct Field {
    name: &'static str,
    required: bool,
    check: fn(&str, &Value) -> Vec<Fault>,
}

const SERVICE: &[Field] = &[
    Field { name: "kind", required: true, check: typed::<String> },
    Field { name: "name", required: true, check: typed::<ServiceName> },
    Field { name: "limits", required: false, check: limits },
    Field { name: "retry", required: false, check: retry },
];

const ROUTE: &[Field] = &[
    Field { name: "kind", required: true, check: typed::<String> },
    Field { name: "name", required: true, check: typed::<RouteName> },
    Field { name: "host", required: false, check: typed::<String> },
    Field { name: "prefix", required: true, check: typed::<String> },
    Field { name: "service", required: true, check: typed::<ServiceName> },
    Field { name: "split", required: false, check: typed::<Vec<WeightedService>> },
    Field { name: "timeout_ms", required: true, check: typed::<u64> },
    Field { name: "policy", required: false, check: policy },
];

const POLICY: &[Field] = &[
    Field { name: "repeat", required: false, check: typed::<Repeat> },
    Field { name: "attempts", required: false, check: typed::<u8> },
    Field { name: "objective_ms", required: false, check: typed::<u64> },
    Field { name: "rank", required: false, check: typed::<u8> },
];

const CALLERS: &[Field] = &[
    Field { name: "kind", required: true, check: typed::<String> },
    Field { name: "head_bytes", required: false, check: typed::<u64> },
    Field { name: "body_bytes", required: false, check: typed::<u64> },
    Field { name: "head_ms", required: false, check: typed::<u64> },
    Field { name: "idle_ms", required: false, check: typed::<u64> },
];

const LIMITS: &[Field] = &[
    Field { name: "queue", required: false, check: typed::<u16> },
    Field { name: "queue_ms", required: false, check: typed::<u64> },
    Field { name: "body_bytes", required: false, check: typed::<u64> },
];

const RETRY: &[Field] = &[
    Field { name: "attempts", required: false, check: typed::<u8> },
    Field { name: "budget_percent", required: false, check: typed::<u8> },
];

/// Faults of one resource's fields.
pub(super) fn faults(place: &str, resource: &Value) -> Vec<Fault> {
    match resource.get("kind").and_then(Value::as_str) {
        Some("service") => object(place, resource, SERVICE),
        Some("route") => object(place, resource, ROUTE),
        Some("callers") => object(place, resource, CALLERS),
        Some(kind) => {
            let reason = format!("{kind:?} is neither service, route nor callers");
            vec![fault(&format!("{place}.kind"), reason)]
        }
        None => vec![fault(place, "must be an object with a kind: service, route or callers")],
    }
}

fn fault(place: &str, reason: impl Into<String>) -> Fault {
    Fault { place: place.to_owned(), reason: reason.into() }
}

fn object(place: &str, value: &Value, fields: &[Field]) -> Vec<Fault> {
    match value {
        Value::Object(map) => known(place, map, fields),
        _ => vec![fault(place, "must be an object")],
    }
}

fn known(place: &str, map: &Map<String, Value>, fields: &[Field]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for key in map.keys() {
        if !fields.iter().any(|field| field.name == key) {
            let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
            let reason = format!("unknown field; known are {}", names.join(", "));
            faults.push(fault(&format!("{place}.{key}"), reason));
        }
    }
    for field in fields {
        let place = format!("{place}.{}", field.name);
        match map.get(field.name) {
            Some(value) => faults.extend((field.check)(&place, value)),
            None if field.required => faults.push(fault(&place, "is missing")),
            None => {}
        }
    }
    faults
}

fn typed<T: DeserializeOwned>(place: &str, value: &Value) -> Vec<Fault> {
    match serde_json::from_value::<T>(value.clone()) {
        Ok(_) => Vec::new(),
        Err(error) => vec![fault(place, error.to_string())],
    }
}

fn limits(place: &str, value: &Value) -> Vec<Fault> {
    object(place, value, LIMITS)
}

fn policy(place: &str, value: &Value) -> Vec<Fault> {
    object(place, value, POLICY)
}

fn retry(place: &str, value: &Value) -> Vec<Fault> {
    object(place, value, RETRY)
}
