//! Reads the operators' TOML form of a bundle and reports every mistake.

use std::collections::BTreeSet;

use olivegate_checked::{FieldErrors, TableReader};
use olivegate_types::{Digest, GroupName, Importance, KindName, ServiceName};

use crate::error::BundleError;
use crate::model::{Bundle, Group, Kind, Limits, Objective, Service};

/// Longest deadline that a bundle may allow, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 60_000;
/// Most retries that a bundle may allow for one root request.
pub const MAX_RETRIES: u64 = 20;

/// Reads and checks the TOML form.
pub fn bundle_from_toml(text: &str) -> Result<Bundle, FieldErrors> {
    let mut reader = TableReader::parse(text)?;
    let mut bundle = Bundle {
        deployment: reader.name("deployment"),
        version: reader.integer("version", 1..=i64::MAX as u64),
        parent: read_digest(&mut reader, "parent").unwrap_or_default(),
        objective: reader.section("objective", read_objective),
        limits: reader.section("limits", read_limits),
        groups: reader.sections("groups", read_group),
        services: reader.sections("services", read_service),
        kinds: reader.sections("kinds", read_kind),
    };
    for (field, reason) in broken_rules(&bundle) {
        reader.add_error(field, reason);
    }
    reader.finish()?;
    bundle.sort();
    Ok(bundle)
}

/// Checks a bundle that arrived in binary form: the rules between its parts, the ranges
/// that nodes rely on, and the canonical order.
pub fn check_bundle(bundle: &Bundle) -> Result<(), BundleError> {
    let first = broken_rules(bundle).into_iter().next();
    match first.or_else(|| out_of_range(bundle)) {
        Some((field, reason)) => Err(BundleError::Invalid(format!("{field}: {reason}"))),
        None => Ok(()),
    }
}

type BrokenRule = (&'static str, String);

/// Ranges that the TOML reader enforces for operators, for input that didn't pass it.
fn out_of_range(bundle: &Bundle) -> Option<BrokenRule> {
    let limits = &bundle.limits;
    let rules = [
        ("version", bundle.version >= 1),
        ("objective", (1..=10_000).contains(&bundle.objective.max_queue_wait_ms)),
        ("limits", u64::from(limits.retries_per_request) <= MAX_RETRIES),
        ("limits", (1..=32).contains(&limits.max_hops)),
        ("limits", (1..=MAX_DEADLINE_MS).contains(&u64::from(limits.max_deadline_ms))),
        ("groups", bundle.groups.iter().all(|group| group.weight >= 1)),
        ("services", bundle.services.iter().all(|service| service.slots >= 1 && service.connections >= 1)),
        ("kinds", bundle.kinds.iter().all(is_kind_in_range)),
        ("groups", bundle.groups.is_sorted_by(|left, right| left.name <= right.name)),
        ("services", bundle.services.is_sorted_by(|left, right| left.name <= right.name)),
        ("kinds", bundle.kinds.is_sorted_by(|left, right| left.name <= right.name)),
    ];
    let broken = rules.into_iter().find(|(_, holds)| !holds);
    broken.map(|(field, _)| (field, "out of range or out of order".to_string()))
}

fn is_kind_in_range(kind: &Kind) -> bool {
    kind.importance <= Importance::PROTECTED
        && kind.deadline_ms >= 1
        && kind.expected_ms >= 1
        && is_path_prefix(&kind.path_prefix)
}

fn is_path_prefix(path: &str) -> bool {
    path.starts_with('/') && !path.starts_with("//") && path.len() >= 2
}

fn read_digest(reader: &mut TableReader, field: &str) -> Option<Digest> {
    let text = reader.text_or(field, "");
    if text.is_empty() {
        return None;
    }
    let bytes: Option<[u8; 32]> = hex::decode(&text).ok().and_then(|bytes| bytes.try_into().ok());
    if bytes.is_none() {
        reader.add_error(field, "expected a digest of 64 hexadecimal digits");
    }
    bytes.map(Digest)
}

fn read_objective(reader: &mut TableReader) -> Objective {
    Objective { max_queue_wait_ms: reader.integer_or("max_queue_wait_ms", 100, 1..=10_000) as u32 }
}

fn read_limits(reader: &mut TableReader) -> Limits {
    Limits {
        retries_per_request: reader.integer_or("retries_per_request", 3, 0..=MAX_RETRIES) as u8,
        max_hops: reader.integer_or("max_hops", 12, 1..=32) as u8,
        max_deadline_ms: reader.integer_or("max_deadline_ms", 5_000, 1..=MAX_DEADLINE_MS) as u32,
        claim_memory_ms: reader.integer_or("claim_memory_ms", 30_000, 1_000..=600_000) as u32,
        max_request_body_bytes: reader.integer_or("max_request_body_bytes", 1 << 20, 0..=1 << 30) as u32,
    }
}

fn read_group(reader: &mut TableReader) -> Group {
    Group {
        name: GroupName::new(reader.name("name")),
        weight: reader.integer("weight", 1..=1_000_000) as u32,
        credential: read_digest(reader, "credential_blake3"),
    }
}

fn read_service(reader: &mut TableReader) -> Service {
    Service {
        name: ServiceName::new(reader.name("name")),
        slots: reader.integer("slots", 1..=100_000) as u32,
        connections: reader.integer("connections", 1..=100_000) as u32,
    }
}

fn read_kind(reader: &mut TableReader) -> Kind {
    let kind = Kind {
        name: KindName::new(reader.name("name")),
        service: ServiceName::new(reader.name("service")),
        method: reader.text("method"),
        path_prefix: reader.text("path_prefix"),
        importance: Importance(reader.integer("importance", 0..=u64::from(Importance::PROTECTED.0)) as u8),
        repeat_safe: reader.boolean_or("repeat_safe", false),
        deadline_ms: reader.integer_or("deadline_ms", 1_000, 1..=MAX_DEADLINE_MS) as u32,
        expected_ms: reader.integer_or("expected_ms", 20, 1..=MAX_DEADLINE_MS) as u32,
    };
    if !is_path_prefix(&kind.path_prefix) {
        reader.add_error("path_prefix", "a path prefix is '/' followed by at least one whole segment");
    }
    kind
}

/// Rules between the parts of a bundle that are broken, with the field concerned.
fn broken_rules(bundle: &Bundle) -> Vec<BrokenRule> {
    let mut broken: Vec<BrokenRule> = Vec::new();
    let services: BTreeSet<_> = bundle.services.iter().map(|service| &service.name).collect();
    for kind in &bundle.kinds {
        if !services.contains(&kind.service) {
            broken
                .push(("kinds", format!("kind {} names service {} which is not listed", kind.name, kind.service)));
        }
        if kind.deadline_ms > bundle.limits.max_deadline_ms {
            broken.push(("kinds", format!("deadline_ms of kind {} is over limits.max_deadline_ms", kind.name)));
        }
    }
    let mut require = |holds: bool, field, reason: &str| {
        if !holds {
            broken.push((field, reason.to_string()));
        }
    };
    let (groups, kinds) = (&bundle.groups, &bundle.kinds);
    require(services.len() == bundle.services.len(), "services", "two services have the same name");
    require(
        distinct(groups.iter().map(|group| &group.name)) == groups.len(),
        "groups",
        "two groups have the same name",
    );
    let credentials = distinct(groups.iter().map(|group| &group.credential));
    require(credentials == groups.len(), "groups", "two groups have the same credential");
    require(distinct(kinds.iter().map(|kind| &kind.name)) == kinds.len(), "kinds", "two kinds have the same name");
    let paths = distinct(kinds.iter().map(|kind| (&kind.method, &kind.path_prefix)));
    require(paths == kinds.len(), "kinds", "two kinds have the same method and path prefix");
    let remembered = bundle.limits.claim_memory_ms >= bundle.limits.max_deadline_ms;
    require(remembered, "limits", "claim_memory_ms is shorter than max_deadline_ms");
    broken
}

fn distinct<T: Ord>(items: impl Iterator<Item = T>) -> usize {
    items.collect::<BTreeSet<_>>().len()
}
