//! Whether the soak itself keeps up: one that is starved of the processor sends nothing and reads
//! no answer, which looks like a system that refuses.

use std::rc::Rc;
use std::time::Duration;

use super::harness::World;
use super::record::Lateness;

/// Interval of the soak's looks at itself.
const INTERVAL: Duration = Duration::from_millis(20);

/// Notes how late each look comes, until the soak ends.
pub async fn watch(world: Rc<World>) {
    while !world.is_over() {
        let due_s = world.now_s() + INTERVAL.as_secs_f64();
        tokio::time::sleep(INTERVAL).await;
        let late_s = (world.now_s() - due_s).max(0.0);
        world.record.borrow_mut().lateness.push(Lateness { due_s, late_s });
    }
}
