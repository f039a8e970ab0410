//! Messages between nodes and their transport: tonic over monoio.
