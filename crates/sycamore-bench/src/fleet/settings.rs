//! Generates the settings files of nodes.

use super::{Addrs, InstanceSpec, KEY_MEMORY, TOKEN};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Returns the text of a node's settings file in INI format; `extra` entries (section, key and value)
/// replace generated ones.
pub fn ini(
    deployment: &str,
    spec: &InstanceSpec,
    addrs: &Addrs,
    platform: SocketAddr,
    extra: &[(String, String, String)],
) -> String {
    let mut sections: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    let mut set = |section: &str, key: &str, value: String| {
        sections.entry(section.to_owned()).or_default().insert(key.to_owned(), value);
    };
    set("node", "deployment", deployment.to_owned());
    set("node", "instance", spec.instance.clone());
    set("node", "service", spec.service.clone());
    set("node", "data_centre", spec.data_centre.clone());
    set("node", "region", spec.region.clone());
    set("listen", "caller", addrs.caller.to_string());
    set("listen", "upstream", addrs.upstream.to_string());
    set("listen", "relay", addrs.relay.to_string());
    set("listen", "peer", addrs.peer.to_string());
    set("listen", "operator", addrs.operator.to_string());
    set("platform", "table", platform.to_string());
    set("platform", "objects", platform.to_string());
    set("operator", "token", TOKEN.to_owned());
    set("calls", "key_memory", format!("{}ms", KEY_MEMORY.as_millis()));
    // All callers of the load generator share one address.
    set("calls", "connections_per_address", "4096".to_owned());
    for (section, key, value) in extra {
        set(section, key, value.clone());
    }
    render(&sections)
}

fn render(sections: &BTreeMap<String, BTreeMap<String, String>>) -> String {
    let mut text = String::new();
    for (section, keys) in sections {
        text.push_str(&format!("[{section}]\n"));
        for (key, value) in keys {
            text.push_str(&format!("{key} = {value}\n"));
        }
    }
    text
}
