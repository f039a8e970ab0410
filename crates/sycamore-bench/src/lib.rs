//! Development tool: stand-ins, emulated upstreams, load and measurements.
