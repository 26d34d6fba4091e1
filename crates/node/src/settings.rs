//! The settings file of a node.

use std::net::SocketAddr;
use std::time::Duration;

use olivegate_bundle::SignOff;
use olivegate_checked::{FieldErrors, Table, TableReader, Value};
use olivegate_claims::majority;
use olivegate_types::{DeploymentKey, NodeName, ZoneName};

/// Command-line flags that override the settings file.
#[derive(Debug, Clone, Default)]
pub struct Overrides {
    /// `node`.
    pub node: Option<String>,
    /// `zone`.
    pub zone: Option<String>,
    /// `listen.caller`.
    pub caller: Option<String>,
    /// `listen.data`.
    pub data: Option<String>,
    /// `listen.control`.
    pub control: Option<String>,
    /// `listen.admin`.
    pub admin: Option<String>,
    /// `claims.new_deployment = true`.
    pub new_deployment: bool,
}

/// Addresses on which the node listens.
#[derive(Debug, Clone, Copy)]
pub struct ListenAddresses {
    /// Calls from callers and back ends.
    pub caller: SocketAddr,
    /// Calls from other nodes.
    pub data: SocketAddr,
    /// Control messages, TCP and UDP.
    pub control: SocketAddr,
    /// Status, metrics and request explanations.
    pub admin: SocketAddr,
}

/// The platform's read-only services.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddresses {
    /// Configuration service.
    pub configuration: SocketAddr,
    /// List of live and leaving machines.
    pub members: SocketAddr,
    /// Poll interval.
    pub poll: Duration,
}

/// A peer whose announced address must be dialled under another one from here.
#[derive(Debug, Clone, Copy)]
pub struct AddressTranslation {
    /// The address that the peer announces.
    pub announced: SocketAddr,
    /// The address to dial.
    pub dial: SocketAddr,
}

/// Checked settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of this node.
    pub node: NodeName,
    /// Zone of this node.
    pub zone: ZoneName,
    /// The deployment's shared key.
    pub key: DeploymentKey,
    /// Addresses to bind.
    pub listen: ListenAddresses,
    /// The keys that sign bundles, and how many signatures are required.
    pub sign_off: SignOff,
    /// Platform services.
    pub platform: PlatformAddresses,
    /// Control addresses of some other nodes, contacted at the start and again whenever no live member is
    /// known at them.
    pub seeds: Vec<SocketAddr>,
    /// Zone of each seat of the claim group; only nodes of that zone may hold it.
    pub seat_zones: Vec<ZoneName>,
    /// True for the first start of a new deployment, which has never served a request.
    pub new_deployment: bool,
    /// Worker threads; 1 runs everything on one thread.
    pub worker_threads: usize,
    /// Maximum time that a stop waits for calls in flight.
    pub stop_timeout: Duration,
    /// Translations of peers' announced addresses.
    pub reachable_as: Vec<AddressTranslation>,
}

/// Minimum length of the secret, in characters.
const MIN_SECRET_LENGTH: usize = 16;

impl NodeSettings {
    /// Parses and checks a settings file; `overrides` take precedence over it.
    pub fn from_toml(text: &str, overrides: &Overrides) -> Result<Self, FieldErrors> {
        let mut table = parse(text)?;
        apply_overrides(&mut table, overrides);
        let mut reader = TableReader::from_table(table);
        let settings = read(&mut reader);
        reader.finish()?;
        settings.ok_or_else(|| FieldErrors(Vec::new()))
    }

    /// The address to dial for an announced one.
    pub fn dial_address(&self, announced: SocketAddr) -> SocketAddr {
        let translation = self.reachable_as.iter().find(|translation| translation.announced == announced);
        translation.map_or(announced, |translation| translation.dial)
    }
}

fn parse(text: &str) -> Result<Table, FieldErrors> {
    TableReader::parse(text)?;
    Ok(text.parse().unwrap_or_default())
}

fn apply_overrides(table: &mut Table, overrides: &Overrides) {
    let texts = [
        ("", "node", &overrides.node),
        ("", "zone", &overrides.zone),
        ("listen", "caller", &overrides.caller),
        ("listen", "data", &overrides.data),
        ("listen", "control", &overrides.control),
        ("listen", "admin", &overrides.admin),
    ];
    for (section, field, text) in texts {
        if let Some(text) = text {
            set(table, section, field, Value::String(text.clone()));
        }
    }
    if overrides.new_deployment {
        set(table, "claims", "new_deployment", Value::Boolean(true));
    }
}

fn set(table: &mut Table, section: &str, field: &str, value: Value) {
    if section.is_empty() {
        table.insert(field.to_string(), value);
        return;
    }
    let entry = table.entry(section.to_string()).or_insert_with(|| Value::Table(Table::new()));
    if let Value::Table(section) = entry {
        section.insert(field.to_string(), value);
    }
}

fn read(reader: &mut TableReader) -> Option<NodeSettings> {
    let deployment = reader.name("deployment");
    let node = NodeName::new(reader.name("node"));
    let zone = ZoneName::new(reader.name("zone"));
    let secret = reader.text("secret");
    if !secret.is_empty() && secret.len() < MIN_SECRET_LENGTH {
        reader.add_error("secret", format!("a secret has at least {MIN_SECRET_LENGTH} characters"));
    }
    let listen = reader.section("listen", read_listen);
    let sign_off = reader.section("sign_off", read_sign_off);
    let platform = reader.section("platform", read_platform);
    let seeds = reader.section("membership", read_seeds);
    let (seat_zones, new_deployment) = reader.section("claims", read_claims);
    let (worker_threads, stop_timeout) = reader.section("runtime", |runtime| {
        let threads = runtime.integer_or("worker_threads", 1, 1..=256) as usize;
        (threads, runtime.millis_or("stop_timeout_ms", 10_000, 100..=120_000))
    });
    let reachable_as = reader.sections("reachable_as", read_address_translation).into_iter().flatten().collect();
    Some(NodeSettings {
        deployment,
        node,
        zone,
        key: DeploymentKey::from_secret(&secret),
        listen: listen?,
        sign_off,
        platform: platform?,
        seeds,
        seat_zones,
        new_deployment,
        worker_threads,
        stop_timeout,
        reachable_as,
    })
}

const ADDRESS_FORMAT: &str = "an address such as 127.0.0.1:8080";

fn read_listen(reader: &mut TableReader) -> Option<ListenAddresses> {
    let caller = reader.parsed("caller", ADDRESS_FORMAT);
    let data = reader.parsed("data", ADDRESS_FORMAT);
    let control = reader.parsed("control", ADDRESS_FORMAT);
    let admin = reader.parsed("admin", ADDRESS_FORMAT);
    Some(ListenAddresses { caller: caller?, data: data?, control: control?, admin: admin? })
}

fn read_platform(reader: &mut TableReader) -> Option<PlatformAddresses> {
    let configuration = reader.parsed("configuration", ADDRESS_FORMAT);
    let members = reader.parsed("members", ADDRESS_FORMAT);
    let poll = reader.millis_or("poll_ms", 500, 50..=60_000);
    Some(PlatformAddresses { configuration: configuration?, members: members?, poll })
}

fn read_sign_off(reader: &mut TableReader) -> SignOff {
    let texts = reader.texts("keys");
    let required = reader.integer("required", 1..=32) as usize;
    let keys: Vec<[u8; 32]> =
        texts.iter().filter_map(|text| hex::decode(text).ok().and_then(|bytes| bytes.try_into().ok())).collect();
    if keys.len() != texts.len() {
        reader.add_error("keys", "a public key is 64 hexadecimal digits");
    } else if keys.len() < required {
        reader.add_error("required", "more signatures are required than there are keys");
    }
    SignOff { keys, required }
}

fn read_seeds(reader: &mut TableReader) -> Vec<SocketAddr> {
    let texts = reader.texts("seeds");
    let seeds: Vec<SocketAddr> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    if seeds.len() != texts.len() {
        reader.add_error("seeds", format!("expected {ADDRESS_FORMAT} in each place"));
    }
    seeds
}

/// Reads the seats. No zone may hold a majority of them: a partitioned zone could otherwise form a quorum
/// of its own.
fn read_claims(reader: &mut TableReader) -> (Vec<ZoneName>, bool) {
    let zones: Vec<ZoneName> = reader.texts("seat_zones").iter().map(ZoneName::new).collect();
    let seats_of = |zone: &ZoneName| zones.iter().filter(|other| *other == zone).count();
    if zones.len() < 3 || zones.len().is_multiple_of(2) {
        reader.add_error("seat_zones", "expected an odd number of zones, at least three");
    } else if zones.iter().any(|zone| seats_of(zone) >= majority(zones.len())) {
        reader.add_error("seat_zones", "one zone holds a majority of the seats");
    }
    (zones, reader.boolean_or("new_deployment", false))
}

fn read_address_translation(reader: &mut TableReader) -> Option<AddressTranslation> {
    let announced = reader.parsed("announced", ADDRESS_FORMAT);
    let dial = reader.parsed("dial", ADDRESS_FORMAT);
    Some(AddressTranslation { announced: announced?, dial: dial? })
}
