//! Tests that the quarantine reports between gates fit into datagrams.

use olivegate_quarantine::{Age, ContentDigest, ReportedEnd, SuspectReport, SuspectedContent};
use olivegate_sidecar::gate_protocol;
use olivegate_sidecar::peers::suspects::{Purpose, SuspectUpdate, datagrams};
use olivegate_sidecar::peers::{MAX_DATAGRAM, PeerMessage};
use olivegate_types::{InstanceName, ServiceName};
use rstest::rstest;

fn report(number: u32, ends: usize) -> SuspectReport {
    let digest = ContentDigest::of(&number.to_le_bytes(), b"/", b"desk", b"");
    let end = |index| ReportedEnd {
        instance: InstanceName::new(format!("instance-with-quite-a-long-name-{number}-{index}")),
        ended: Age(index as u32),
        began: Age(index as u32),
    };
    SuspectReport {
        content: SuspectedContent { digest, prefix: Some(digest), was_answered: true },
        ends: (0..ends).map(end).collect(),
        answered: Some(Age(1)),
        probed: Some(Age(2)),
        seen: Age(3),
    }
}

#[rstest]
#[case::none(0, 1)]
#[case::an_instance_full_of_requests(130, 1)]
#[case::many_ends(300, 8)]
fn no_part_is_larger_than_a_datagram_and_none_is_lost(#[case] count: u32, #[case] ends: usize) {
    let reports: Vec<SuspectReport> = (0..count).map(|number| report(number, ends)).collect();
    let parts = datagrams(reports.clone());
    for part in &parts {
        let service = ServiceName::new("a-service");
        let update = SuspectUpdate { service, reports: part.clone(), purpose: Purpose::Notify };
        let size = gate_protocol::encode(&PeerMessage::Suspects(update)).len();
        assert!(size <= MAX_DATAGRAM, "{size} bytes");
    }
    assert_eq!(parts.concat(), reports);
}
