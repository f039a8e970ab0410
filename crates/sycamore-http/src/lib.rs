//! HTTP/1.1 heads and body framing with strict checks, relayed in bounded pieces.
