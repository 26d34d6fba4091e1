//! Reads the operators' TOML form of a bundle and reports every mistake.

use std::collections::BTreeSet;

use olivegate_checked::{Mistakes, Reader};
use olivegate_types::{Digest, GroupName, Importance, KindName, ServiceName};

use crate::model::{Bundle, Group, Kind, Limits, Objective, Service};

/// Longest deadline that a bundle may allow, in milliseconds.
pub const LONGEST_DEADLINE_MS: u64 = 60_000;
/// Most retries that a bundle may allow for one root request.
pub const MOST_RETRIES: u64 = 20;

/// Reads and checks the TOML form.
pub fn bundle_from_toml(text: &str) -> Result<Bundle, Mistakes> {
    let mut reader = Reader::parse(text)?;
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
    check_references(&mut reader, &bundle);
    reader.finish()?;
    bundle.sort();
    Ok(bundle)
}

/// Checks a bundle that arrived in binary form by the same rules.
pub fn check_bundle(bundle: &Bundle) -> Result<(), Mistakes> {
    bundle_from_toml(&bundle_to_toml(bundle)).map(drop)
}

fn read_digest(reader: &mut Reader, field: &str) -> Option<Digest> {
    let text = reader.text_or(field, "");
    if text.is_empty() {
        return None;
    }
    let bytes: Option<[u8; 32]> = hex::decode(&text).ok().and_then(|bytes| bytes.try_into().ok());
    if bytes.is_none() {
        reader.mistake(field, "expected a digest of 64 hexadecimal digits");
    }
    bytes.map(Digest)
}

fn read_objective(reader: &mut Reader) -> Objective {
    Objective { max_queue_wait_ms: reader.integer_or("max_queue_wait_ms", 100, 1..=10_000) as u32 }
}

fn read_limits(reader: &mut Reader) -> Limits {
    Limits {
        retries_per_request: reader.integer_or("retries_per_request", 3, 0..=MOST_RETRIES) as u8,
        max_hops: reader.integer_or("max_hops", 12, 1..=32) as u8,
        max_deadline_ms: reader.integer_or("max_deadline_ms", 5_000, 1..=LONGEST_DEADLINE_MS) as u32,
        claim_memory_ms: reader.integer_or("claim_memory_ms", 30_000, 1_000..=600_000) as u32,
        max_request_body_bytes: reader.integer_or("max_request_body_bytes", 1 << 20, 0..=1 << 30) as u32,
    }
}

fn read_group(reader: &mut Reader) -> Group {
    Group {
        name: GroupName::new(reader.name("name")),
        weight: reader.integer("weight", 1..=1_000_000) as u32,
        credential: read_digest(reader, "credential_blake3"),
    }
}

fn read_service(reader: &mut Reader) -> Service {
    Service {
        name: ServiceName::new(reader.name("name")),
        slots: reader.integer("slots", 1..=100_000) as u32,
        connections: reader.integer("connections", 1..=100_000) as u32,
    }
}

fn read_kind(reader: &mut Reader) -> Kind {
    let kind = Kind {
        name: KindName::new(reader.name("name")),
        service: ServiceName::new(reader.name("service")),
        method: reader.text("method"),
        path_prefix: reader.text("path_prefix"),
        importance: Importance(reader.integer("importance", 0..=u64::from(Importance::PROTECTED.0)) as u8),
        repeat_safe: reader.boolean_or("repeat_safe", false),
        deadline_ms: reader.integer_or("deadline_ms", 1_000, 1..=LONGEST_DEADLINE_MS) as u32,
        expected_ms: reader.integer_or("expected_ms", 20, 1..=LONGEST_DEADLINE_MS) as u32,
    };
    if !kind.path_prefix.starts_with('/') || kind.path_prefix.starts_with("//") || kind.path_prefix.len() < 2 {
        reader.mistake("path_prefix", "a path prefix is '/' followed by at least one whole segment");
    }
    kind
}

fn check_references(reader: &mut Reader, bundle: &Bundle) {
    let services: BTreeSet<_> = bundle.services.iter().map(|service| service.name.clone()).collect();
    for kind in &bundle.kinds {
        if !services.contains(&kind.service) {
            reader.mistake(
                "kinds",
                format!("kind {} names service {} which is not listed", kind.name, kind.service),
            );
        }
        if kind.deadline_ms > bundle.limits.max_deadline_ms {
            reader.mistake("kinds", format!("deadline_ms of kind {} is over limits.max_deadline_ms", kind.name));
        }
    }
    if services.len() != bundle.services.len() {
        reader.mistake("services", "two services have the same name");
    }
    if distinct(bundle.groups.iter().map(|group| &group.name)) != bundle.groups.len() {
        reader.mistake("groups", "two groups have the same name");
    }
    if distinct(bundle.groups.iter().map(|group| &group.credential)) != bundle.groups.len() {
        reader.mistake("groups", "two groups have the same credential");
    }
    if distinct(bundle.kinds.iter().map(|kind| &kind.name)) != bundle.kinds.len() {
        reader.mistake("kinds", "two kinds have the same name");
    }
    if distinct(bundle.kinds.iter().map(|kind| (&kind.method, &kind.path_prefix))) != bundle.kinds.len() {
        reader.mistake("kinds", "two kinds have the same method and path prefix");
    }
    if bundle.limits.claim_memory_ms < bundle.limits.max_deadline_ms {
        reader.mistake("limits", "claim_memory_ms is shorter than max_deadline_ms");
    }
}

fn distinct<T: Ord>(items: impl Iterator<Item = T>) -> usize {
    items.collect::<BTreeSet<_>>().len()
}

/// The TOML form of a bundle.
pub fn bundle_to_toml(bundle: &Bundle) -> String {
    let mut lines = vec![
        format!("deployment = {:?}", bundle.deployment),
        format!("version = {}", bundle.version),
        format!("parent = \"{}\"", digest_text(&bundle.parent)),
        format!("[objective]\nmax_queue_wait_ms = {}", bundle.objective.max_queue_wait_ms),
        format!(
            "[limits]\nretries_per_request = {}\nmax_hops = {}\nmax_deadline_ms = {}\nclaim_memory_ms = {}\nmax_request_body_bytes = {}",
            bundle.limits.retries_per_request,
            bundle.limits.max_hops,
            bundle.limits.max_deadline_ms,
            bundle.limits.claim_memory_ms,
            bundle.limits.max_request_body_bytes
        ),
    ];
    for group in &bundle.groups {
        let credential = group.credential.map(|digest| format!("\ncredential_blake3 = \"{digest}\""));
        let credential = credential.unwrap_or_default();
        lines.push(format!("[[groups]]\nname = \"{}\"\nweight = {}{credential}", group.name, group.weight));
    }
    for service in &bundle.services {
        lines.push(format!(
            "[[services]]\nname = \"{}\"\nslots = {}\nconnections = {}",
            service.name, service.slots, service.connections
        ));
    }
    for kind in &bundle.kinds {
        lines.push(format!(
            "[[kinds]]\nname = \"{}\"\nservice = \"{}\"\nmethod = {:?}\npath_prefix = {:?}\nimportance = {}\nrepeat_safe = {}\ndeadline_ms = {}\nexpected_ms = {}",
            kind.name,
            kind.service,
            kind.method,
            kind.path_prefix,
            kind.importance.0,
            kind.repeat_safe,
            kind.deadline_ms,
            kind.expected_ms
        ));
    }
    lines.join("\n") + "\n"
}

fn digest_text(digest: &Digest) -> String {
    if *digest == Digest::default() { String::new() } else { digest.to_string() }
}
