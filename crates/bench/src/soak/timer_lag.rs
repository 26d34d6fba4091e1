//! Measures whether the soak process itself keeps up. If it gets too little processor time, it neither sends
//! requests nor reads responses, which looks like a system that refuses requests.

use std::rc::Rc;
use std::time::Duration;

use super::harness::Harness;
use super::record::TimerLag;

/// Interval of the timer whose lag is measured.
const INTERVAL: Duration = Duration::from_millis(20);

/// Records how late each tick of the timer comes, until traffic ends.
pub async fn watch(harness: Rc<Harness>) {
    while !harness.traffic_ended() {
        let due_s = harness.now_s() + INTERVAL.as_secs_f64();
        tokio::time::sleep(INTERVAL).await;
        let lag_s = (harness.now_s() - due_s).max(0.0);
        harness.record.borrow_mut().timer_lags.push(TimerLag { due_s, lag_s });
    }
}
