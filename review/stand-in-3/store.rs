//! The platform's store, as PROTOCOL describes it: items, pages, watches; one counter of revisions.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;

const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Content {
    revision: u64,
    /// Value in base64, last revision, first revision.
    items: BTreeMap<String, (String, u64, u64)>,
    events: Vec<(u64, String)>,
}

/// The store; clones share the content.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn decode_query(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        let hex = |digit: Option<u8>| digit.and_then(|digit| char::from(digit).to_digit(16)).unwrap_or(0) as u8;
        bytes.push(match byte {
            b'%' => hex(rest.next()) << 4 | hex(rest.next()),
            b'+' => b' ',
            other => other,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn field(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| decode_query(value)).unwrap_or_default()
}

impl Store {
    /// Writes an item and returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let (content, changed) = &*self.content;
        let mut content = content.lock().expect("lock");
        content.revision += 1;
        let revision = content.revision;
        let value = base64(value.as_bytes());
        let created = content.items.get(key).map_or(revision, |(_, _, created)| *created);
        let event = format!(
            r#"{{"tls-key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
        );
        content.items.insert(key.to_string(), (value, revision, created));
        content.events.push((revision, event));
        changed.notify_all();
        Instant::now()
    }

    /// Listens at `address` until the process ends or [`Store::close`] is called with the result.
    pub fn listen(&self, address: SocketAddr) -> std::io::Result<Listening> {
        let listener = TcpListener::bind(address)?;
        let listening = Listening { address: listener.local_addr()?, closed: Arc::default() };
        let (store, closed) = (self.clone(), listening.closed.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if *closed.lock().expect("lock") {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(kept) = stream.try_clone() {
                    store.connections.lock().expect("lock").push(kept);
                }
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(listening)
    }

    /// Closes the listener and all open connections.
    pub fn close(&self, listening: &Listening) {
        *listening.closed.lock().expect("lock") = true;
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(listening.address);
        for stream in self.connections.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut input, false) {
            let (status, body) = self.answer(request.target());
            let fields = [("Content-Type", "application/json")];
            let response = http::encode(&format!("HTTP/1.1 {status}"), &fields, body.as_bytes());
            if output.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let path = target.split('?').next().unwrap_or_default();
        match path {
            "/-/kv-key" => self.key(&field(target, "tls-key")),
            "/-/kv-range" => self.range(&field(target, "path-prefix"), &field(target, "after")),
            "/-/kv-watch" => {
                let after = field(target, "after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field(target, "wait-ms").parse().unwrap_or(0));
                self.watch(&field(target, "path-prefix"), after, wait)
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let content = self.content.0.lock().expect("lock");
        let now = content.revision;
        match content.items.get(key) {
            Some((value, revision, created)) => (
                "200 OK",
                format!(
                    r#"{{"tls-key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0,"timestamp":{now}}}"#
                ),
            ),
            None => ("404 Not Found", "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let content = self.content.0.lock().expect("lock");
        let matching = || content.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = matching()
            .take(PAGE_ITEMS)
            .map(|(key, (value, revision, created))| {
                format!(
                    r#"{{"tls-key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
                )
            })
            .collect();
        let has_more = matching().count() > PAGE_ITEMS;
        let page =
            format!(r#"{{"items":[{}],"has-more":{has_more},"timestamp":{}}}"#, items.join(","), content.revision);
        ("200 OK", page)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let (content, changed) = &*self.content;
        let mut content = content.lock().expect("lock");
        loop {
            let is_wanted = |event: &&(u64, String)| {
                event.0 > after && event.1.starts_with(&format!(r#"{{"tls-key":"{prefix}"#))
            };
            let events: Vec<&str> = content.events.iter().filter(is_wanted).map(|(_, event)| &event[..]).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = content.revision;
                return ("200 OK", format!(r#"{{"events":[{}],"timestamp":{revision}}}"#, events.join(",")));
            }
            content = changed.wait_timeout(content, left).expect("lock").0;
        }
    }
}

/// An address at which a store listens.
pub struct Listening {
    /// The address.
    pub address: SocketAddr,
    closed: Arc<Mutex<bool>>,
}
