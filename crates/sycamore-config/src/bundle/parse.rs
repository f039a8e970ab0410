//! Decoding of resources from JSON.

use super::{fields, Fault, MAX_RESOURCES};
use serde_json::Value;
use sycamore_types::prelude::*;

/// Decodes the resources of a JSON array, or returns the faults of all of them.
pub(super) fn parse_resources(value: &Value) -> Result<Vec<Resource>, Vec<Fault>> {
    let Value::Array(items) = value else {
        return Err(vec![Fault {
            place: "resources".to_owned(),
            reason: "must be an array".to_owned(),
        }]);
    };
    if items.len() > MAX_RESOURCES {
        let reason = format!("has {} entries; at most {MAX_RESOURCES} are allowed", items.len());
        return Err(vec![Fault { place: "resources".to_owned(), reason }]);
    }
    let mut faults = Vec::new();
    let mut resources = Vec::with_capacity(items.len());
    for (i, item) in items.iter().enumerate() {
        match parse_resource(&format!("resources[{i}]"), item) {
            Ok(resource) => resources.push(resource),
            Err(found) => faults.extend(found),
        }
    }
    match faults.is_empty() {
        true => Ok(resources),
        false => Err(faults),
    }
}

fn parse_resource(place: &str, item: &Value) -> Result<Resource, Vec<Fault>> {
    let faults = fields::field_faults(place, item);
    if !faults.is_empty() {
        return Err(faults);
    }
    serde_json::from_value(item.clone())
        .map_err(|e| vec![Fault { place: place.to_owned(), reason: e.to_string() }])
}
