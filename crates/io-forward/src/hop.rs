//! Hop-by-hop headers, which apply to a single connection and are not forwarded.

use http::{HeaderMap, Version, header, response};

const HOP_BY_HOP_HEADERS: [header::HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
    header::HeaderName::from_static("keep-alive"),
    header::HeaderName::from_static("proxy-connection"),
];

/// Strips hop-by-hop headers from a target's response head and sets the version to HTTP/1.1.
pub(crate) fn end_to_end_parts(mut parts: response::Parts) -> response::Parts {
    strip_hop_by_hop_headers(&mut parts.headers);
    parts.version = Version::HTTP_11;
    parts
}

/// Removes the known hop-by-hop headers and those listed in `Connection`.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&connection_options) {
        headers.remove(name);
    }
}
