//! The cases.

use std::io::Result;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::Store;
use crate::world::{Verdict, World, route, store_address};

const REVOKE_MS: u64 = 5_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// Machines of the case in which the store moves; one of them is a share of 0.25.
const MACHINES: usize = 4;

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// The last tenant is taken out of the configuration. A request with its key must not run any more.
pub fn last_tenant(record: Record, folder: &Path, program: &Path) -> Result<Verdict> {
    let bounds = format!(
        "keys_proven_within_ms = {REVOKE_MS}\nquota_window_s = 5\nquota_overshoot = 0.25\nquota_slack = 20\n"
    );
    let mut world = World::new(record, folder, program, &["huvo11a", "huvo11a"], &bounds)?;
    let _instances =
        [world.start_instance(0, "i-7f3a91c2", "huvo11a")?, world.start_instance(1, "i-02d9e6b4", "huvo11a")?];
    let routes = [route("r-2axsrmb", "/leny950/", "huvo11a", false)];
    let tenant = |key: &str| {
        format!(r#"[{{"name":"pulo780","api-keys":["{key}"],"priority":1,"rate-per-s":260,"burst":260}}]"#)
    };
    let (held, unheld) = ("ruddedev3nax7u27gxpr", "ymh2rrytapjsujqurtyi");
    world.configure(7, &routes, Some(&tenant(held)));
    let _sidecars = world.start_sidecars()?;
    if !world.wait_until_ready() {
        return Ok(Verdict::NotRun);
    }
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    let (id, _) = world.request(0, "/leny950/1", &[("X-Credential", held)]);
    let (other, _) = world.request(0, "/leny950/2", &[("X-Credential", unheld)]);
    if !world.has_run(&id) || world.has_run(&other) {
        world.record.line("before the change the key is not accepted, or an unknown one is");
        return Ok(Verdict::NotRun);
    }
    // Without the disruption the key is taken away and another one given, so a tenant stays.
    let later = if world.has_trouble { "[]".to_string() } else { tenant("bek2n7s0xq41mdd8w3ha") };
    let acknowledged = world.configure(9, &routes, Some(&later));
    sleep_until(acknowledged + Duration::from_millis(REVOKE_MS + 2_000));
    let mut broken = false;
    for round in 0..5 {
        for machine in 0..2 {
            for (key, rule) in [
                (held, "CONFIG: ran with a key that was taken away"),
                (unheld, "ROUTE: ran with a key that no configuration has held"),
            ] {
                let (id, _) = world.request(machine, &format!("/leny950/{round}"), &[("X-Credential", key)]);
                if world.has_run(&id) {
                    let late = acknowledged.elapsed().as_millis();
                    world.record.line(format!("BROKEN {rule}: {id}, {late} ms after the acknowledgement"));
                    broken = true;
                }
            }
        }
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

/// The settings of all machines name another address of the platform's store, and one of them gets SIGHUP. What
/// the operator writes there afterwards must be in force in time.
pub fn store_moves(record: Record, folder: &Path, program: &Path) -> Result<Verdict> {
    let mut world = World::new(record, folder, program, &["huvo11a"; MACHINES], "")?;
    let _instances = (0..MACHINES)
        .map(|machine| world.start_instance(machine, &format!("i-7f3a91c{machine}"), "huvo11a"))
        .collect::<Result<Vec<_>>>()?;
    let first = route("r-2axsrmb", "/leny950/", "huvo11a", false);
    world.configure(7, std::slice::from_ref(&first), None);
    let mut sidecars = world.start_sidecars()?;
    if !world.wait_until_ready() {
        return Ok(Verdict::NotRun);
    }
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    let (id, _) = world.request(0, "/leny950/1", &[]);
    if !world.has_run(&id) {
        return Ok(Verdict::NotRun);
    }
    if world.has_trouble {
        // The same store, with the same content and revisions, at another address. The old one is closed later.
        let moved: Store = world.store.clone();
        let listening = moved.listen(store_address(2))?;
        world.record.line(format!("the store listens at {} too", listening.address));
        for machine in &mut world.machines {
            machine.store = listening.address;
            machine.write_settings(&world.folder)?;
        }
        world.record.line("the settings of all machines name the new address");
    }
    sidecars[0].signal("HUP")?;
    world.record.line("SIGHUP to sidecar-rose-hill-1");
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    if world.has_trouble {
        world.store.close(&world.listening);
        world.record.line("the store no longer listens at the old address");
    }
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    let second = route("r-8rfaktr", "/puka111/", "huvo11a", false);
    let acknowledged = world.configure(9, &[first, second], None);
    sleep_until(acknowledged + Duration::from_millis(CONFIG_APPLY_MS + CONTACT_MS + 1_000));
    let mut missing = [0; MACHINES];
    for round in 0..3 * MACHINES {
        let machine = round % MACHINES;
        let (_, response) = world.request(machine, &format!("/puka111/{round}"), &[]);
        missing[machine] += u32::from(response.is_some_and(|response| response.status() == 404));
        std::thread::sleep(Duration::from_millis(200));
    }
    if sidecars.iter_mut().any(|sidecar| !sidecar.is_running()) {
        world.record.line("a sidecar has ended");
        return Ok(Verdict::NotRun);
    }
    let late = acknowledged.elapsed().as_millis();
    world.record.line(format!("404 on the new route, by machine, of 3 requests each: {missing:?}"));
    if missing.iter().all(|missing| *missing == 0) {
        return Ok(Verdict::Held);
    }
    world.record.line(format!("BROKEN CONFIG: 404 until {late} ms after the acknowledgement"));
    Ok(Verdict::Broken)
}
