//! Measures whether this process keeps up with its work.
//!
//! A task that is made ready now runs when all that was ready before has run. How long that
//! takes is sampled while requests come, at no cost to a process that has nothing to do.

use std::rc::Rc;
use std::time::Duration;

use olivegate_overload::ProcessPace;
use olivegate_types::Moment;
use tokio::task::spawn_local;

use crate::state::Node;
use olivegate_clock as clock;

/// Shortest time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(15);

/// Begins a sample if the last one is old enough.
pub fn sample(node: &Rc<Node>, now: Moment) {
    if now.since(node.lateness_sampled.get()) < SAMPLE_INTERVAL {
        return;
    }
    node.lateness_sampled.set(now);
    let node = node.clone();
    spawn_local(async move {
        let ran = clock::now();
        note(&node, ran.since(now), ran);
    });
}

/// Has gate and edge follow what a sample says.
fn note(node: &Node, lateness: Duration, now: Moment) {
    let before = node.pressure.borrow().admitted_fraction();
    let Some(pace) = node.pressure.borrow_mut().on_lateness(lateness, now) else { return };
    node.gate.on_process_pace(pace);
    let part = node.pressure.borrow().admitted_fraction();
    let began_or_ended = (before < 1.0) != (part < 1.0);
    if pace == ProcessPace::Late || began_or_ended {
        log::info!("event=process_pace pace={pace:?} part={part:.2} lateness_ms={}", lateness.as_millis());
    }
}
