//! Reads the operators' TOML form of a bundle and reports every error in it; checks bundles in
//! binary form.

use std::collections::BTreeSet;

use olivegate_checked::{FieldErrors, TableReader};
use olivegate_types::{Digest, GroupName, Importance, KindName, ServiceName};

use crate::error::BundleError;
use crate::model::{Bundle, Group, Kind, Limits, Objective, Service};

/// Maximum deadline that a bundle may allow, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 60_000;
/// Maximum number of retries that a bundle may allow for one root request.
pub const MAX_RETRIES: u64 = 20;

/// Parses and checks the TOML form.
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
    for (field, reason) in consistency_violations(&bundle) {
        reader.add_error(field, reason);
    }
    reader.finish()?;
    bundle.sort();
    Ok(bundle)
}

/// Checks a bundle in binary form: the consistency of its parts, the ranges that nodes rely
/// on, and the canonical order.
pub fn check_bundle(bundle: &Bundle) -> Result<(), BundleError> {
    let first = consistency_violations(bundle).into_iter().next();
    match first.or_else(|| range_violation(bundle)) {
        Some((field, reason)) => Err(BundleError::Invalid(format!("{field}: {reason}"))),
        None => Ok(()),
    }
}

/// Field that breaks a rule, and the reason.
type Violation = (&'static str, String);

/// Finds a value out of range or a list out of order. The TOML reader enforces ranges and order for
/// operators; this is for bundles that didn't go through it.
fn range_violation(bundle: &Bundle) -> Option<Violation> {
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
    let violated = rules.into_iter().find(|(_, is_met)| !is_met);
    violated.map(|(field, _)| (field, "out of range or out of order".to_string()))
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

/// Finds all violations of the rules between the parts of a bundle.
fn consistency_violations(bundle: &Bundle) -> Vec<Violation> {
    let mut violations: Vec<Violation> = Vec::new();
    let services: BTreeSet<_> = bundle.services.iter().map(|service| &service.name).collect();
    for kind in &bundle.kinds {
        if !services.contains(&kind.service) {
            violations.push((
                "kinds",
                format!("kind {} refers to service {} which is not listed", kind.name, kind.service),
            ));
        }
        if kind.deadline_ms > bundle.limits.max_deadline_ms {
            violations
                .push(("kinds", format!("deadline_ms of kind {} exceeds limits.max_deadline_ms", kind.name)));
        }
    }
    let mut require = |is_met: bool, field, reason: &str| {
        if !is_met {
            violations.push((field, reason.to_string()));
        }
    };
    let (groups, kinds) = (&bundle.groups, &bundle.kinds);
    require(services.len() == bundle.services.len(), "services", "two services have the same name");
    require(
        count_distinct(groups.iter().map(|group| &group.name)) == groups.len(),
        "groups",
        "two groups have the same name",
    );
    let credentials = count_distinct(groups.iter().map(|group| &group.credential));
    require(credentials == groups.len(), "groups", "two groups have the same credential");
    require(
        count_distinct(kinds.iter().map(|kind| &kind.name)) == kinds.len(),
        "kinds",
        "two kinds have the same name",
    );
    let paths = count_distinct(kinds.iter().map(|kind| (&kind.method, &kind.path_prefix)));
    require(paths == kinds.len(), "kinds", "two kinds have the same method and path prefix");
    let outlasts_deadline = bundle.limits.claim_memory_ms >= bundle.limits.max_deadline_ms;
    require(outlasts_deadline, "limits", "claim_memory_ms is shorter than max_deadline_ms");
    violations
}

/// Number of distinct items.
fn count_distinct<T: Ord>(items: impl Iterator<Item = T>) -> usize {
    items.collect::<BTreeSet<_>>().len()
}
