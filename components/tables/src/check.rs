//! Validates a whole set of tables before any row is written.

use std::collections::BTreeMap;

use crate::row::Content;
use crate::{Account, Body, Error, Fault, Key, Kind, Name, Pool, PoolKind, Route};

/// The platform's size limit for a value.
const MAX_VALUE_BYTES: usize = 1 << 20;
const MAX_NAME_BYTES: usize = 128;
const MAX_PARTITIONS: u32 = 1024;

/// Validates the content.
///
/// # Errors
///
/// All faults that were found.
///
/// ```
/// let content = tables::Content::new();
/// assert!(tables::check(&content).is_ok());
/// ```
pub fn check(content: &Content) -> Result<(), Error> {
    let mut faults = Vec::new();
    for (key, body) in content {
        check_name(key, &mut faults);
        check_size(key, body, &mut faults);
        match body {
            Body::Route(route) => check_route(key, route, content, &mut faults),
            Body::Pool(pool) => check_pool(key, pool, &mut faults),
            Body::Account(account) => check_account(key, account, &mut faults),
            Body::Zone(_) | Body::Server(_) | Body::Suspect(_) => {}
        }
    }
    check_duplicate_matches(content, &mut faults);
    check_duplicate_keys(content, &mut faults);
    if faults.is_empty() { Ok(()) } else { Err(Error { faults }) }
}

fn check_name(key: &Key, faults: &mut Vec<Fault>) {
    let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if key.name.is_empty() || key.name.len() > MAX_NAME_BYTES || !key.name.chars().all(valid) {
        faults.push(Fault::InvalidName { kind: key.kind, name: key.name.clone() });
    }
}

fn check_size(key: &Key, body: &Body, faults: &mut Vec<Fault>) {
    let size = body.to_value().to_string().len();
    if size > MAX_VALUE_BYTES {
        faults.push(Fault::TooLarge { key: key.clone(), size, limit: MAX_VALUE_BYTES });
    }
}

fn check_route(key: &Key, route: &Route, content: &Content, faults: &mut Vec<Fault>) {
    if route.pools.is_empty() {
        faults.push(Fault::NoPools { route: key.name.clone() });
    }
    check_route_pools(key, route, content, faults);
    if !route.path.starts_with('/') {
        push_range_fault(key, "path", "a path that starts with /", faults);
    }
    if route.timeout.is_zero() {
        push_range_fault(key, "timeout_ms", "at least 1", faults);
    }
}

fn check_route_pools(key: &Key, route: &Route, content: &Content, faults: &mut Vec<Fault>) {
    // The first pool determines the kind of all others, unless the route names a model.
    let mut expected = route.model.as_ref().map(|_| PoolKind::Model);
    for (index, pool) in route.pools.iter().enumerate() {
        let fault = |fault: fn(Name, Name) -> Fault| fault(key.name.clone(), pool.clone());
        if route.pools[..index].contains(pool) {
            faults.push(fault(|route, pool| Fault::DuplicatePool { route, pool }));
            continue;
        }
        let pool_key = Key { kind: Kind::Pool, name: pool.clone() };
        let Some(Body::Pool(body)) = content.get(&pool_key) else {
            faults.push(fault(|route, pool| Fault::UnknownPool { route, pool }));
            continue;
        };
        if *expected.get_or_insert(body.kind) != body.kind {
            faults.push(fault(|route, pool| Fault::PoolKindMismatch { route, pool }));
        }
    }
}

fn check_pool(key: &Key, pool: &Pool, faults: &mut Vec<Fault>) {
    if pool.limit == 0 {
        push_range_fault(key, "limit", "at least 1", faults);
    }
    if pool.partitions == 0 || pool.partitions > MAX_PARTITIONS {
        push_range_fault(key, "partitions", "1 to 1024", faults);
    }
}

fn check_account(key: &Key, account: &Account, faults: &mut Vec<Fault>) {
    if account.weight == 0 {
        push_range_fault(key, "weight", "at least 1", faults);
    }
    let hash = &account.key_sha256;
    if hash.len() != 64 || !hash.chars().all(|c| c.is_ascii_hexdigit() && !c.is_uppercase()) {
        faults.push(Fault::InvalidKeyHash { account: key.name.clone() });
    }
}

fn push_range_fault(key: &Key, field: &'static str, range: &'static str, faults: &mut Vec<Fault>) {
    faults.push(Fault::OutOfRange { key: key.clone(), field, range });
}

fn check_duplicate_matches(content: &Content, faults: &mut Vec<Fault>) {
    let mut seen: BTreeMap<(Name, Option<Name>), Name> = BTreeMap::new();
    for (key, body) in content {
        let Body::Route(route) = body else { continue };
        let route_match = (route.path.clone(), route.model.clone());
        match seen.get(&route_match) {
            Some(first) => faults
                .push(Fault::DuplicateMatch { first: first.clone(), second: key.name.clone() }),
            None => {
                seen.insert(route_match, key.name.clone());
            }
        }
    }
}

fn check_duplicate_keys(content: &Content, faults: &mut Vec<Fault>) {
    let mut seen: BTreeMap<Name, Name> = BTreeMap::new();
    for (key, body) in content {
        let Body::Account(account) = body else { continue };
        match seen.get(&account.key_sha256) {
            Some(first) => {
                faults.push(Fault::DuplicateKey { first: first.clone(), second: key.name.clone() });
            }
            None => {
                seen.insert(account.key_sha256.clone(), key.name.clone());
            }
        }
    }
}
