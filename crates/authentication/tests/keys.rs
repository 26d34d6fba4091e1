//! Keys, tenants and the errors of their configuration.

use std::time::Duration;

use olivegate_authentication::key_table::HashSecret;
use olivegate_authentication::{ApiKey, Denial, KeyTable, KeyTableError, ProofFreshness, Tenant, authenticate};
use olivegate_types::TenantName;
use rstest::rstest;

const SECRET: HashSecret = HashSecret([7; 32]);
const NO_MAX_AGE: ProofFreshness = ProofFreshness { age: None, max_age: None };

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: keys.iter().map(|key| ApiKey::new(*key)).collect(),
        priority: Some(1),
        rate_per_s: 10.0,
        burst: 10.0,
    }
}

fn table(tenants: &[Tenant]) -> KeyTable {
    KeyTable::new(Some(tenants), SECRET).unwrap()
}

fn name_of(table: &KeyTable, key: &str) -> Option<String> {
    table.holder(key.as_bytes()).map(|tenant| tenant.name.to_string())
}

#[rstest]
fn each_key_identifies_its_tenant() {
    let table = table(&[tenant("left", &["one", "two"]), tenant("right", &["three"]), tenant("none", &[])]);
    assert_eq!(name_of(&table, "one").as_deref(), Some("left"));
    assert_eq!(name_of(&table, "two").as_deref(), Some("left"));
    assert_eq!(name_of(&table, "three").as_deref(), Some("right"));
    assert_eq!(name_of(&table, "on"), None);
    assert_eq!(name_of(&table, ""), None);
}

#[rstest]
fn a_moved_key_identifies_its_new_tenant() {
    let before = table(&[tenant("left", &["one", "two"]), tenant("right", &["three"])]);
    let after = table(&[tenant("left", &["two"]), tenant("right", &["three", "one"])]);
    assert_eq!(name_of(&before, "one").as_deref(), Some("left"));
    assert_eq!(name_of(&after, "one").as_deref(), Some("right"));
}

#[rstest]
#[case::shared(vec![tenant("left", &["one"]), tenant("right", &["one"])],
    KeyTableError::SharedKey(TenantName::new("left"), TenantName::new("right")))]
#[case::empty(vec![tenant("left", &[""])], KeyTableError::BadKey(TenantName::new("left")))]
#[case::twice(vec![tenant("left", &["one"]), tenant("left", &["two"])],
    KeyTableError::DuplicateTenant(TenantName::new("left")))]
#[case::nameless(vec![tenant("", &["one"])], KeyTableError::EmptyName)]
#[case::negative(vec![Tenant { rate_per_s: -1.0, ..tenant("left", &["one"]) }],
    KeyTableError::BadRate(TenantName::new("left")))]
#[case::not_a_number(vec![Tenant { burst: f64::NAN, ..tenant("left", &["one"]) }],
    KeyTableError::BadRate(TenantName::new("left")))]
fn errors_name_the_tenant_but_no_key(#[case] tenants: Vec<Tenant>, #[case] expected: KeyTableError) {
    let error = KeyTable::new(Some(&tenants), SECRET).unwrap_err();
    assert_eq!(error, expected);
    assert!(!error.to_string().contains("one"), "{error}");
}

#[rstest]
fn a_key_is_never_shown() {
    let shown = format!("{:?} {:?}", tenant("left", &["a-secret"]), table(&[tenant("left", &["a-secret"])]));
    assert!(!shown.contains("a-secret"), "{shown}");
}

#[rstest]
#[case::public(None, true, Ok(None))]
#[case::keyless(None, false, Err(Denial::MissingKey))]
#[case::held(Some("one"), false, Ok(Some("left")))]
#[case::held_on_a_public_route(Some("one"), true, Ok(Some("left")))]
#[case::unknown(Some("other"), false, Err(Denial::UnknownKey))]
#[case::unknown_on_a_public_route(Some("other"), true, Err(Denial::UnknownKey))]
fn key_and_route_decide(
    #[case] key: Option<&str>,
    #[case] is_public: bool,
    #[case] expected: Result<Option<&str>, Denial>,
) {
    let table = table(&[tenant("left", &["one"])]);
    let caller = authenticate(&table, key.map(str::as_bytes), is_public, NO_MAX_AGE);
    let name = caller.map(|caller| caller.tenant().map(|tenant| tenant.name.to_string()));
    assert_eq!(name, expected.map(|name| name.map(str::to_string)));
}

/// Guards against an empty list that opens all routes, as if no keys were required. Without a list no key is
/// needed, but one that is carried is unknown.
#[rstest]
#[case::empty_list(Some(&[][..]), None, Err(Denial::MissingKey))]
#[case::tenant_without_keys(Some(&[tenant("left", &[])][..]), None, Err(Denial::MissingKey))]
#[case::no_list(None, None, Ok(()))]
#[case::key_and_empty_list(Some(&[][..]), Some("any"), Err(Denial::UnknownKey))]
#[case::key_and_tenant_without_keys(Some(&[tenant("left", &[])][..]), Some("any"), Err(Denial::UnknownKey))]
#[case::key_and_no_list(None, Some("any"), Err(Denial::UnknownKey))]
#[case::empty_key_and_no_list(None, Some(""), Err(Denial::UnknownKey))]
fn nobody_gets_in_with_a_key_that_is_not_held(
    #[case] tenants: Option<&[Tenant]>,
    #[case] key: Option<&str>,
    #[case] on_protected_route: Result<(), Denial>,
) {
    let table = KeyTable::new(tenants, SECRET).unwrap();
    let decide = |is_public| authenticate(&table, key.map(str::as_bytes), is_public, NO_MAX_AGE);
    assert_eq!(decide(false).map(|caller| assert!(caller.tenant().is_none())), on_protected_route);
    let on_public_route = if key.is_some() { Err(Denial::UnknownKey) } else { Ok(()) };
    assert_eq!(decide(true).map(|caller| assert!(caller.tenant().is_none())), on_public_route);
}

#[rstest]
#[case::nothing_proven(None, Err(Denial::Unproven))]
#[case::young(Some(4_999), Ok(()))]
#[case::at_the_bound(Some(5_000), Err(Denial::Unproven))]
fn a_key_is_accepted_only_while_the_proof_is_young(
    #[case] age_ms: Option<u64>,
    #[case] expected: Result<(), Denial>,
) {
    let proof =
        ProofFreshness { age: age_ms.map(Duration::from_millis), max_age: Some(Duration::from_millis(5_000)) };
    let table = table(&[tenant("left", &["one"])]);
    assert_eq!(authenticate(&table, Some(b"one"), false, proof).map(drop), expected);
    assert_eq!(authenticate(&table, Some(b"other"), false, proof), Err(Denial::UnknownKey));
    assert!(authenticate(&table, None, true, proof).is_ok(), "public routes need no proof");
}
