//! Measures scheduling lateness, to detect whether this process keeps up with its work.
//!
//! A newly spawned task runs after all tasks that were ready before it. How long that takes is sampled only
//! while requests arrive, so an idle process pays nothing.

use std::rc::Rc;
use std::time::Duration;

use olivegate_overload::ProcessPace;
use olivegate_types::Moment;
use tokio::task::spawn_local;

use crate::state::Node;
use olivegate_clock as clock;

/// Minimum time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(15);

/// Starts a sample if the last one is old enough.
pub fn sample(node: &Rc<Node>, now: Moment) {
    if now.since(node.lateness_sampled.get()) < SAMPLE_INTERVAL {
        return;
    }
    node.lateness_sampled.set(now);
    let node = node.clone();
    spawn_local(async move {
        let ran = clock::now();
        apply_sample(&node, ran.since(now), ran);
    });
}

/// Applies a sample to the pressure of the edge and the pace of the gate.
fn apply_sample(node: &Node, lateness: Duration, now: Moment) {
    let admitted_before = node.pressure.borrow().admitted_fraction();
    let Some(pace) = node.pressure.borrow_mut().on_lateness(lateness, now) else { return };
    node.gate.on_process_pace(pace);
    let admitted = node.pressure.borrow().admitted_fraction();
    let throttling_changed = (admitted_before < 1.0) != (admitted < 1.0);
    if pace == ProcessPace::Late || throttling_changed {
        log::info!("event=process_pace pace={pace:?} part={admitted:.2} lateness_ms={}", lateness.as_millis());
    }
}
