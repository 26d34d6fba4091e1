//! The platform's store: reads by key and by prefix, and watches.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Reader;

/// Items of a page.
const PAGE: usize = 500;
/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and item of each change; no item for a removal.
    events: Vec<(u64, String, Option<Item>)>,
    /// It answers no call.
    is_silent: bool,
    /// Connections that were opened in an earlier generation have fallen silent.
    generation: u64,
}

/// A store; clones share its content.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Writes an item. Its return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: base64(value.as_bytes()), revision, created };
        state.items.insert(key.to_string(), item.clone());
        state.events.push((revision, key.to_string(), Some(item)));
        changed.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.events.push((revision, key.to_string(), None));
            changed.notify_all();
        }
    }

    /// Sets whether it is down: it then accepts calls and answers none. A connection on which an answer was
    /// not given says nothing more.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.0.lock().expect("no holder panics").is_silent = is_silent;
    }

    /// All open connections fall silent; new ones work.
    pub fn silence_open(&self) {
        self.shared.0.lock().expect("no holder panics").generation += 1;
    }

    fn is_silent(&self, generation: u64) -> bool {
        let state = self.shared.0.lock().expect("no holder panics");
        state.is_silent || state.generation != generation
    }

    /// Serves at a free port of `ip`.
    pub fn serve(&self, ip: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.connection(stream));
            }
        });
        Ok(address)
    }

    fn connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let generation = self.shared.0.lock().expect("no holder panics").generation;
        let mut reader = Reader::new(reading);
        while let Ok(head) = reader.head() {
            let (status, body) = self.answer(head.word(1));
            std::thread::sleep(ANSWER_TIME);
            if self.is_silent(generation) {
                loop {
                    std::thread::sleep(Duration::from_secs(3_600));
                }
            }
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/"))
        };
        match path {
            "/-/kv-key" => self.key(&parameter("tls-key").unwrap_or_default()),
            "/-/kv-range" => self.range(&parameter("path-prefix").unwrap_or_default(), parameter("after")),
            "/-/kv-watch" => {
                let number = |name| parameter(name).and_then(|text: String| text.parse().ok()).unwrap_or(0);
                self.watch(&parameter("path-prefix").unwrap_or_default(), number("after"), number("wait-ms"))
            }
            _ => (404, "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().expect("no holder panics");
        match state.items.get(key) {
            Some(item) => (200, format!("{{{},\"timestamp\":{}}}", fields(key, item), state.revision)),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> (u16, String) {
        let state = self.shared.0.lock().expect("no holder panics");
        let after = after.unwrap_or_default();
        let mut found = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && **key > after);
        let page: Vec<String> =
            found.by_ref().take(PAGE).map(|(key, item)| format!("{{{}}}", fields(key, item))).collect();
        let has_more = found.next().is_some();
        let body =
            format!("{{\"items\":[{}],\"has-more\":{has_more},\"timestamp\":{}}}", page.join(","), state.revision);
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => format!("{{{}}}", fields(key, item)),
                    None => format!("{{\"tls-key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"timestamp\":{}}}", events.join(","), state.revision);
                return (200, body);
            }
            state = changed.wait_timeout(state, left).expect("no holder panics").0;
        }
    }
}

fn fields(key: &str, item: &Item) -> String {
    format!(
        "\"tls-key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0",
        item.value, item.revision, item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = part.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for digit in 0..4 {
            let index = bits >> (18 - 6 * digit) & 63;
            text.push(if digit <= part.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
