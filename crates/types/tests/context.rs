//! A request context is unchanged after encoding in a header, and headers not made with the key are rejected.

use olivegate_types::context::MAX_HEADER_LENGTH;
use olivegate_types::{
    ContextError, DeploymentKey, GroupName, Importance, KindName, NodeName, RequestContext, RequestId,
    SheddingRank,
};
use rstest::rstest;

fn context() -> RequestContext {
    RequestContext {
        request: RequestId(0xabc),
        root_node: NodeName::new("curepipe-0"),
        root_control: "127.0.0.1:9000".parse().unwrap(),
        group: GroupName::new("counter"),
        root_kind: KindName::new("reserve"),
        importance: Importance(3),
        rank: SheddingRank(7),
        deadline_unix_ms: 1_000,
        hop: 2,
        bundle_version: 5,
    }
}

#[test]
fn a_header_decodes_to_the_same_context() {
    let key = DeploymentKey::from_secret("a secret of this deployment");
    let header = context().to_header(&key);
    assert_eq!(RequestContext::from_header(&header, &key), Ok(context()));
}

#[rstest]
#[case::other_deployment(DeploymentKey::from_secret("another deployment's secret"), |text: String| text, ContextError::Authentication)]
#[case::changed_byte(DeploymentKey::from_secret("a secret of this deployment"), |text: String| format!("B{}", &text[1..]), ContextError::Authentication)]
#[case::empty(DeploymentKey::from_secret("a secret of this deployment"), |_| String::new(), ContextError::Authentication)]
#[case::not_base64(DeploymentKey::from_secret("a secret of this deployment"), |_| "~~~".to_string(), ContextError::Encoding)]
#[case::too_long(DeploymentKey::from_secret("a secret of this deployment"), |_| "A".repeat(MAX_HEADER_LENGTH + 1), ContextError::TooLong)]
fn forged_headers_are_refused(
    #[case] reader: DeploymentKey,
    #[case] change: fn(String) -> String,
    #[case] expected: ContextError,
) {
    let header = context().to_header(&DeploymentKey::from_secret("a secret of this deployment"));
    assert_eq!(RequestContext::from_header(&change(header), &reader), Err(expected));
}

#[test]
fn a_child_context_differs_only_in_its_hop() {
    let child = context().child();
    assert_eq!(child.hop, 3);
    assert_eq!(RequestContext { hop: 2, ..child }, context());
}
