//! Validation of manifests: names, ranges, limits, and references between entries.

use http::{HeaderName, HeaderValue};

use super::manifest::{Manifest, Resource, Route};
use crate::findings::Findings;
use crate::prelude::*;

/// Maximum number of ranks; each has a queue at every node.
pub const MAX_RANKS: usize = 16;
/// Maximum number of services in a manifest.
pub const MAX_SERVICES: usize = 4096;
/// Maximum number of resources in a manifest.
pub const MAX_RESOURCES: usize = 4096;
/// Maximum number of routes in a manifest.
pub const MAX_ROUTES: usize = 32_768;
/// Maximum length of a name in a manifest or in the settings, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum length of the path of a route, in bytes.
pub const MAX_PATH_BYTES: usize = 1024;
/// Maximum length of the host of a route, in bytes (RFC 1035 limits a name to 253).
pub const MAX_HOST_BYTES: usize = 253;
/// Maximum deadline of a route, in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 3_600_000;
/// Maximum number of retries in a call tree.
pub const MAX_RETRIES: u8 = 10;
/// Maximum number of headers in a header set.
pub const MAX_SET_HEADERS: usize = 32;
/// Maximum length of a header value, in bytes.
pub const MAX_HEADER_VALUE_BYTES: usize = 1024;
/// Maximum number of concurrent requests that a caller limit may allow.
pub const MAX_CONCURRENT: u32 = 1_000_000;

/// Methods that a route may match.
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// Headers that the proxy or the HTTP connection sets; a header set must not replace them.
const RESERVED_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a string is a valid name: 1 to 63 ASCII letters, digits, `-`, `_` and `.`, beginning with a letter or digit.
pub fn is_name(s: &str) -> bool {
    s.len() <= MAX_NAME_BYTES
        && s.starts_with(|c: char| c.is_ascii_alphanumeric())
        && s.bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// Adds a finding when `s` is not a valid name.
pub fn check_name(f: &mut Findings, location: String, s: &str) {
    match s {
        "" => f.add(location, "name is missing or empty", "add a name"),
        _ if !is_name(s) => f.add(
            location,
            format!("{s:?} is not a valid name"),
            format!(
                "use 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' and '.', beginning with a letter or digit"
            ),
        ),
        _ => {}
    }
}

/// Checks the names, ranges, limits and references of a manifest.
///
/// # Errors
///
/// All findings, each with its location.
pub fn validate(m: &Manifest) -> Result<(), Findings> {
    let mut f = Findings::default();
    check_name(&mut f, "site".into(), &m.site);
    for (kind, n, max) in [
        ("rank", m.rank.len(), MAX_RANKS),
        ("service", m.service.len(), MAX_SERVICES),
        ("resource", m.resource.len(), MAX_RESOURCES),
        ("route", m.route.len(), MAX_ROUTES),
    ] {
        if n > max {
            let message = format!("{n} entries exceed the limit of {max}");
            f.add(kind, message, "remove or merge entries");
        }
    }
    check_ranks(&mut f, m);
    check_names(&mut f, "service", m.service.iter().map(|s| &s.name));
    check_names(&mut f, "resource", m.resource.iter().map(|r| r.name()));
    for (i, r) in m.resource.iter().enumerate() {
        check_resource(&mut f, &format!("resource[{i}]"), r);
    }
    check_names(&mut f, "route", m.route.iter().map(|r| &r.name));
    check_routes(&mut f, m);
    f.into_result(())
}

/// Checks that the names of a list are valid and unique.
fn check_names<'a, I>(f: &mut Findings, kind: &str, list: I)
where
    I: Iterator<Item = &'a SmolStr>,
{
    let mut seen: HashMap<&str, usize> = HashMap::default();
    for (i, name) in list.enumerate() {
        let location = format!("{kind}[{i}].name");
        if let Some(first) = seen.get(name.as_str()).filter(|_| !name.is_empty()) {
            let message = format!("name {name:?} is already used by {kind}[{first}]");
            f.add(location.clone(), message, "choose another name");
        } else {
            seen.insert(name, i);
        }
        check_name(f, location, name);
    }
}

fn check_ranks(f: &mut Findings, m: &Manifest) {
    check_names(f, "rank", m.rank.iter().map(|r| &r.name));
    let mut orders: HashMap<u8, usize> = HashMap::default();
    for (i, r) in m.rank.iter().enumerate() {
        if let Some(first) = orders.insert(r.order, i) {
            f.add(
                format!("rank[{i}].order"),
                format!("order {} is already used by rank[{first}]", r.order),
                "give each rank its own order",
            );
        }
    }
    let total: u32 = m.rank.iter().map(|r| u32::from(r.min_share_percent)).sum();
    if total > 100 {
        f.add(
            "rank",
            format!("the sum of min_share_percent is {total}"),
            "lower the shares to at most 100 together",
        );
    }
}

fn check_resource(f: &mut Findings, item: &str, r: &Resource) {
    match r {
        Resource::HeaderSet { headers, .. } => {
            let location = format!("{item}.headers");
            match headers.len() {
                0 => f.add(
                    location,
                    "the header set is empty",
                    "add a header or remove the header set",
                ),
                n if n > MAX_SET_HEADERS => f.add(
                    location,
                    format!("{n} headers exceed the limit of {MAX_SET_HEADERS}"),
                    "split the header set",
                ),
                _ => {}
            }
            for (name, value) in headers {
                check_header(f, format!("{item}.headers.{name}"), name, value);
            }
        }
        Resource::CallerLimit { concurrent, .. } => {
            if !(1..=MAX_CONCURRENT).contains(concurrent) {
                f.add(
                    format!("{item}.concurrent"),
                    format!("a limit of {concurrent} concurrent requests is out of range"),
                    format!("use 1 to {MAX_CONCURRENT}"),
                );
            }
        }
    }
}

fn check_header(f: &mut Findings, location: String, name: &str, value: &str) {
    let reserved = RESERVED_HEADERS.contains(&name) || name.starts_with("dq-");
    match name {
        // Not `from_static`, which panics on invalid names.
        _ if HeaderName::from_bytes(name.as_bytes()).is_err() => f.add(
            location.clone(),
            format!("{name:?} is not a valid header name"),
            "use letters, digits and '-'",
        ),
        _ if name.bytes().any(|b| b.is_ascii_uppercase()) => f.add(
            location.clone(),
            format!("header name {name:?} has upper-case letters"),
            "write it in lower case",
        ),
        _ if reserved => f.add(
            location.clone(),
            format!("header {name:?} is set by the proxy or the connection"),
            "remove it",
        ),
        _ => {}
    }
    let printable = value.bytes().all(|b| (0x20..0x7f).contains(&b));
    match value {
        _ if value.len() > MAX_HEADER_VALUE_BYTES => f.add(
            location,
            format!("a value of {} bytes is too long", value.len()),
            format!("use at most {MAX_HEADER_VALUE_BYTES} bytes"),
        ),
        _ if !printable || HeaderValue::from_str(value).is_err() => f.add(
            location,
            "the value has characters that are not allowed in a header",
            "use printable ASCII characters",
        ),
        _ => {}
    }
}

fn check_routes(f: &mut Findings, m: &Manifest) {
    let services: HashSet<_> = m.service.iter().map(|s| &s.name).collect();
    let ranks: HashSet<_> = m.rank.iter().map(|r| &r.name).collect();
    let resources: HashMap<_, _> = m.resource.iter().map(|r| (r.name(), r)).collect();
    let mut patterns: HashMap<_, usize> = HashMap::default();
    for (i, r) in m.route.iter().enumerate() {
        let item = format!("route[{i}]");
        check_route(f, &item, r);
        if let Some(first) = patterns.get(&(&r.method, &r.host, &r.path)) {
            f.add(
                format!("{item}.path"),
                format!("the route overlaps route[{first}]: same method, host and path"),
                "remove one of them or change its path",
            );
        } else {
            patterns.insert((&r.method, &r.host, &r.path), i);
        }
        if !services.contains(&r.service) {
            undeclared(f, format!("{item}.service"), "service", &r.service);
        }
        if !ranks.contains(&r.rank) {
            undeclared(f, format!("{item}.rank"), "rank", &r.rank);
        }
        check_route_resources(f, &item, r, &resources);
    }
}

fn undeclared(f: &mut Findings, location: String, kind: &str, name: &str) {
    f.add(
        location,
        format!("{kind} {name:?} is not declared"),
        format!("declare it with [[{kind}]] or use a declared one"),
    );
}

fn check_route_resources(
    f: &mut Findings,
    item: &str,
    r: &Route,
    resources: &HashMap<&SmolStr, &Resource>,
) {
    let mut seen = HashSet::default();
    let mut headers: HashMap<&str, &SmolStr> = HashMap::default();
    for (k, name) in r.resources.iter().enumerate() {
        let location = format!("{item}.resources[{k}]");
        if !seen.insert(name) {
            let message = format!("resource {name:?} is named twice");
            f.add(location, message, "remove one of them");
            continue;
        }
        match resources.get(name) {
            None => undeclared(f, location, "resource", name),
            Some(Resource::HeaderSet { headers: set, .. }) => {
                for h in set.keys() {
                    if let Some(other) = headers.insert(h, name) {
                        f.add(
                            location.clone(),
                            format!("header {h:?} is set by {other:?} and {name:?}"),
                            "keep it in one header set of the route",
                        );
                    }
                }
            }
            Some(Resource::CallerLimit { .. }) => {}
        }
    }
}

fn check_route(f: &mut Findings, item: &str, r: &Route) {
    if !METHODS.contains(&r.method.as_str()) {
        f.add(
            format!("{item}.method"),
            format!("{:?} is not a method that a route can match", r.method),
            format!("use one of {}", METHODS.join(", ")),
        );
    }
    if let Some((message, hint)) = check_path(&r.path) {
        f.add(format!("{item}.path"), message, hint);
    }
    let is_host_byte =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b".-:[]".contains(&b);
    match r.host.as_deref() {
        Some(h) if h.is_empty() || h.len() > MAX_HOST_BYTES || !h.bytes().all(is_host_byte) => f.add(
            format!("{item}.host"),
            format!("{h:?} is not a valid host"),
            format!("use a lower-case host of at most {MAX_HOST_BYTES} bytes, or omit the key for any host"),
        ),
        _ => {}
    }
    if !(1..=MAX_DEADLINE_MS).contains(&r.deadline_ms) {
        f.add(
            format!("{item}.deadline_ms"),
            format!("a deadline of {} ms is out of range", r.deadline_ms),
            format!("use 1 to {MAX_DEADLINE_MS}"),
        );
    }
    if r.retries > MAX_RETRIES {
        f.add(
            format!("{item}.retries"),
            format!("{} retries exceed the limit", r.retries),
            format!("use 0 to {MAX_RETRIES}"),
        );
    }
}

fn check_path(path: &str) -> Option<(&'static str, &'static str)> {
    let literal = path.strip_suffix("/*").unwrap_or(path);
    let is_allowed = |b: u8| b.is_ascii_graphic() && !b"?#*\"<>\\^`{|}".contains(&b);
    match path {
        _ if !path.starts_with('/') => Some(("the path does not begin with '/'", "add '/'")),
        _ if path.len() > MAX_PATH_BYTES => {
            Some(("the path is too long", "use at most 1024 bytes"))
        }
        _ if literal.contains('*') => Some((
            "'*' is only allowed in a final '/*'",
            "use an exact path or a prefix that ends in '/*'",
        )),
        _ if !literal.bytes().all(is_allowed) => Some((
            "the path has characters that are not allowed in a path",
            "percent-encode them",
        )),
        _ if literal.split('/').any(|s| s == "." || s == "..") => Some((
            "the path has a '.' or '..' segment",
            "write the resolved path",
        )),
        _ if path == "/.dq" || path.starts_with("/.dq/") => Some((
            "paths below '/.dq' are reserved for the proxy",
            "choose another path",
        )),
        _ => None,
    }
}
