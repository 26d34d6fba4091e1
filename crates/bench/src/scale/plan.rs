//! What happens when in a scale run.

use std::time::{Duration, Instant};

use olivegate_bundle::check::bundle_from_toml;
use olivegate_bundle::{Bundle, SignOff, SignedBundle, SigningKeyPair};
use olivegate_types::Moment;

use super::Row;
use super::world::{Cut, World};

/// Simulated time that settles probes before anything is measured.
const SETTLING: Duration = Duration::from_secs(5);
/// Simulated time of each measured part.
const MEASURED: Duration = Duration::from_secs(20);
/// Time between two changes: 53,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_630);
/// Restarts per node and second at the target (3,747 a day among 30,000 nodes), times
/// the factor by which the run is harsher.
const RESTART_RATE: f64 = 3_747.0 / 86_400.0 / 30_000.0 * 50.0;
/// Length of a cut.
const CUT: Duration = Duration::from_secs(20);
/// Longest time observed after a cut.
const LONGEST_HEALING: Duration = Duration::from_secs(60);

fn keys() -> Vec<SigningKeyPair> {
    vec![SigningKeyPair::from_secret([1; 32]), SigningKeyPair::from_secret([2; 32])]
}

fn sign_off() -> SignOff {
    SignOff { keys: keys().iter().map(SigningKeyPair::public_key).collect(), required: 2 }
}

fn first_bundle() -> Bundle {
    let text = "deployment = \"scale\"\nversion = 1\n[[groups]]\nname = \"all\"\nweight = 1\n\
                [[services]]\nname = \"s\"\nslots = 4\nconnections = 10\n";
    bundle_from_toml(text).unwrap_or_else(|mistakes| unreachable!("constant bundle is valid: {mistakes}"))
}

fn next_bundle(parent: &Bundle) -> Bundle {
    let mut next = parent.clone();
    next.parent = parent.stamp().digest;
    next.version += 1;
    next.objective.max_queue_wait_ms = 50 + (next.version % 50) as u32;
    next
}

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * 4096.0
}

/// Runs a fleet of `count` hollow nodes through the plan; cuts only if asked for, since
/// their simulation takes long in large fleets.
pub fn run(count: usize, seed: u64, with_cuts: bool) -> Row {
    let empty = resident_bytes();
    let mut bundle = first_bundle();
    let mut world = World::settled(count, sign_off(), &SignedBundle::signed_by(bundle.clone(), &keys()), seed);
    let mut row = Row { nodes: count, ..Row::default() };
    world.run(SETTLING);
    row.resident_bytes = (resident_bytes() - empty) / count as f64;
    (row.quiet_cpu_us, row.quiet_bytes, row.sync_bytes) = measure(&mut world, count, |world| world.run(MEASURED));
    let mut changes = Changes::default();
    (row.changing_cpu_us, row.changing_bytes, _) =
        measure(&mut world, count, |world| changes.run(world, &mut bundle, count));
    row.false_deaths = world.unseen();
    row.change_median_ms = changes.median_ms;
    row.change_last_ms = changes.last_ms;
    (row.death_first_ms, row.death_all_ms) = death(&mut world, count / 3);
    world.restart(count / 3, sign_off());
    world.run(SETTLING * 2);
    if !with_cuts {
        return row;
    }
    row.zone_heal_s = heal(&mut world, Cut::Zone(3));
    row.region_heal_s = heal(&mut world, Cut::Region(2));
    row
}

/// Processor time, datagram bytes and sync bytes, per node and simulated second.
fn measure(world: &mut World, count: usize, part: impl FnOnce(&mut World)) -> (f64, f64, f64) {
    let (datagrams, syncs, from) = (world.datagram_bytes, world.sync_bytes, world.now);
    let started = Instant::now();
    part(world);
    let cpu = started.elapsed().as_secs_f64() * 1e6;
    let scale = count as f64 * world.now.since(from).as_secs_f64();
    let (datagrams, syncs) = (world.datagram_bytes - datagrams, world.sync_bytes - syncs);
    (cpu / scale, datagrams as f64 / scale, syncs as f64 / scale)
}

#[derive(Default)]
struct Changes {
    median_ms: f64,
    last_ms: f64,
}

impl Changes {
    /// Changes and restarts at the target's rates.
    fn run(&mut self, world: &mut World, bundle: &mut Bundle, count: usize) {
        let rounds = MEASURED.as_secs_f64() / CHANGE_INTERVAL.as_secs_f64();
        let mut restarts = 0.0;
        let mut published = Vec::new();
        for round in 0..rounds as usize {
            *bundle = next_bundle(bundle);
            published.push((bundle.version, world.now));
            world.publish(round * 37 % count, SignedBundle::signed_by(bundle.clone(), &keys()));
            world.run(CHANGE_INTERVAL);
            restarts += RESTART_RATE * count as f64 * CHANGE_INTERVAL.as_secs_f64();
            while restarts >= 1.0 {
                restarts -= 1.0;
                world.restart((round * 101 + 7) % count, sign_off());
            }
        }
        world.run(SETTLING * 2);
        for (version, at) in published {
            self.note(world, version, at);
        }
    }

    /// Times until each node had `version` or a later one.
    fn note(&mut self, world: &World, version: u64, published: Moment) {
        let first = |log: &Vec<(u64, Moment)>| log.iter().find(|(later, _)| *later >= version).map(|(_, at)| *at);
        let millis = |at: Moment| at.since(published).as_secs_f64() * 1_000.0;
        let mut times: Vec<f64> =
            world.accepted.iter().map(|log| first(log).map_or(f64::INFINITY, millis)).collect();
        times.sort_by(f64::total_cmp);
        self.median_ms = self.median_ms.max(times[times.len() / 2]);
        self.last_ms = self.last_ms.max(times[times.len() - 1]);
    }
}

fn death(world: &mut World, node: usize) -> (f64, f64) {
    world.kill(node);
    let died = world.now;
    let millis = |until: Moment| until.since(died).as_secs_f64() * 1_000.0;
    for _ in 0..600 {
        world.run(Duration::from_millis(200));
        if world.all_hold_dead(node) {
            break;
        }
    }
    let first = world.first_suspected.map_or(f64::NAN, millis);
    (first, millis(world.now))
}

fn heal(world: &mut World, cut: Cut) -> Option<f64> {
    world.cut = cut;
    world.run(CUT);
    world.cut = Cut::None;
    let healed = world.now;
    while world.now.since(healed) < LONGEST_HEALING {
        if world.unseen() == 0 {
            return Some(world.now.since(healed).as_secs_f64());
        }
        world.run(Duration::from_millis(500));
    }
    None
}
