//! Checks of a whole set of tables before any of it is written.

use std::collections::BTreeMap;

use crate::row::Content;
use crate::{Account, Body, Error, Fault, Key, Kind, Name, Pool, PoolKind, Route};

/// Largest value that the platform holds, in bytes.
const VALUE_LIMIT: usize = 1 << 20;
/// Longest name, in bytes.
const NAME_LIMIT: usize = 128;
/// Most partitions of a pool.
const PARTITION_LIMIT: u32 = 1024;

/// Checks the whole content and reports every fault at once.
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
    check_same_match(content, &mut faults);
    check_same_key(content, &mut faults);
    if faults.is_empty() { Ok(()) } else { Err(Error { faults }) }
}

fn check_name(key: &Key, faults: &mut Vec<Fault>) {
    let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if key.name.is_empty() || key.name.len() > NAME_LIMIT || !key.name.chars().all(valid) {
        faults.push(Fault::Name { kind: key.kind, name: key.name.clone() });
    }
}

fn check_size(key: &Key, body: &Body, faults: &mut Vec<Fault>) {
    let size = body.to_value().to_string().len();
    if size > VALUE_LIMIT {
        faults.push(Fault::Size { key: key.clone(), size, limit: VALUE_LIMIT });
    }
}

fn check_route(key: &Key, route: &Route, content: &Content, faults: &mut Vec<Fault>) {
    if route.pools.is_empty() {
        faults.push(Fault::NoPool { route: key.name.clone() });
    }
    check_route_pools(key, route, content, faults);
    if !route.path.starts_with('/') {
        range(key, "path", "a path that starts with /", faults);
    }
    if route.timeout.is_zero() {
        range(key, "timeout_ms", "at least 1", faults);
    }
}

fn check_route_pools(key: &Key, route: &Route, content: &Content, faults: &mut Vec<Fault>) {
    // The first pool says what the others must be, unless the route names a model.
    let mut expected = route.model.as_ref().map(|_| PoolKind::Model);
    for (index, pool) in route.pools.iter().enumerate() {
        let fault = |fault: fn(Name, Name) -> Fault| fault(key.name.clone(), pool.clone());
        if route.pools[..index].contains(pool) {
            faults.push(fault(|route, pool| Fault::SamePool { route, pool }));
            continue;
        }
        let pool_key = Key { kind: Kind::Pool, name: pool.clone() };
        let Some(Body::Pool(body)) = content.get(&pool_key) else {
            faults.push(fault(|route, pool| Fault::UnknownPool { route, pool }));
            continue;
        };
        if *expected.get_or_insert(body.kind) != body.kind {
            faults.push(fault(|route, pool| Fault::PoolKind { route, pool }));
        }
    }
}

fn check_pool(key: &Key, pool: &Pool, faults: &mut Vec<Fault>) {
    if pool.limit == 0 {
        range(key, "limit", "at least 1", faults);
    }
    if pool.partitions == 0 || pool.partitions > PARTITION_LIMIT {
        range(key, "partitions", "1 to 1024", faults);
    }
}

fn check_account(key: &Key, account: &Account, faults: &mut Vec<Fault>) {
    if account.weight == 0 {
        range(key, "weight", "at least 1", faults);
    }
    let hash = &account.key_sha256;
    if hash.len() != 64 || !hash.chars().all(|c| c.is_ascii_hexdigit() && !c.is_uppercase()) {
        faults.push(Fault::KeyHash { account: key.name.clone() });
    }
}

fn range(key: &Key, field: &'static str, range: &'static str, faults: &mut Vec<Fault>) {
    faults.push(Fault::Range { key: key.clone(), field, range });
}

fn check_same_match(content: &Content, faults: &mut Vec<Fault>) {
    let mut seen: BTreeMap<(Name, Option<Name>), Name> = BTreeMap::new();
    for (key, body) in content {
        let Body::Route(route) = body else { continue };
        let matched = (route.path.clone(), route.model.clone());
        match seen.get(&matched) {
            Some(first) => {
                faults.push(Fault::SameMatch { first: first.clone(), second: key.name.clone() })
            }
            None => {
                seen.insert(matched, key.name.clone());
            }
        }
    }
}

fn check_same_key(content: &Content, faults: &mut Vec<Fault>) {
    let mut seen: BTreeMap<Name, Name> = BTreeMap::new();
    for (key, body) in content {
        let Body::Account(account) = body else { continue };
        match seen.get(&account.key_sha256) {
            Some(first) => {
                faults.push(Fault::SameKey { first: first.clone(), second: key.name.clone() });
            }
            None => {
                seen.insert(account.key_sha256.clone(), key.name.clone());
            }
        }
    }
}
