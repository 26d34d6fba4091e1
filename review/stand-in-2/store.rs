//! The platform's metadata store: reads by key, range reads and watches, as the users' pages describe them.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_response};

#[derive(Default)]
struct State {
    revision: u64,
    /// Value in base64, revision of the last change, revision of the creation.
    items: BTreeMap<String, (String, u64, u64)>,
    /// Key, revision and JSON of each change.
    events: Vec<(String, u64, String)>,
}

/// The store; clones share their content.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn item_json(key: &str, item: &(String, u64, u64)) -> String {
    format!(
        "{{\"tls-key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0",
        item.0, item.1, item.2
    )
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for digit in 0..4 {
            let is_padding = digit > part.len();
            let index = (bits >> (18 - 6 * digit) & 63) as usize;
            text.push(if is_padding { '=' } else { DIGITS[index] as char });
        }
    }
    text
}

impl Store {
    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        let item = (base64(value.as_bytes()), revision, created);
        state.events.push((key.into(), revision, item_json(key, &item) + "}"));
        state.items.insert(key.into(), item);
        self.state.1.notify_all();
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            let event = format!("{{\"tls-key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            state.events.push((key.into(), revision, event));
            self.state.1.notify_all();
        }
    }

    /// Serves calls at a free port of `ip`.
    pub fn listen(&self, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("the store needs a port");
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut input) {
            let (status, body) = self.answer(&call);
            let fields = [("Content-Type", "application/json")];
            if write_response(&mut output, status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (&'static str, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_string()).next()
        };
        match path {
            "/-/kv-key" => self.key(&parameter("tls-key").unwrap_or_default()),
            "/-/kv-range" => {
                self.range(&parameter("path-prefix").unwrap_or_default(), parameter("after").as_deref())
            }
            "/-/kv-watch" => {
                let number = |name| parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                self.watch(&parameter("path-prefix").unwrap_or_default(), number("after"), number("wait-ms"))
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => ("200 OK", format!("{},\"timestamp\":{}}}", item_json(key, item), state.revision)),
            None => ("404 Not Found", format!("{{\"timestamp\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let is_listed = |key: &str| key.starts_with(prefix) && after.is_none_or(|after| key > after);
        let listed = state.items.iter().filter(|(key, _)| is_listed(key));
        let items: Vec<String> = listed.map(|(key, item)| item_json(key, item) + "}").collect();
        let items = items.join(",");
        ("200 OK", format!("{{\"items\":[{items}],\"has-more\":false,\"timestamp\":{}}}", state.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let is_new = |event: &&(String, u64, String)| event.1 > after && event.0.starts_with(prefix);
            let events: Vec<&str> = state.events.iter().filter(is_new).map(|event| event.2.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"timestamp\":{}}}", events.join(","), state.revision);
                return ("200 OK", body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
