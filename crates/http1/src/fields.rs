//! Header fields in the order in which they were received.

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;

/// Hop-by-hop fields and the body length; never forwarded.
const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Field {
    /// Name, in its original case.
    pub name: Bytes,
    /// Value, without surrounding whitespace.
    pub value: Bytes,
}

/// Header fields in their order; names are case-insensitive.
#[derive(Debug, Clone, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Fields {
    list: Vec<Field>,
}

impl Fields {
    /// Adds a field at the end.
    pub fn add(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.list.push(Field { name: name.into(), value: value.into() });
    }

    /// Replaces all fields of this name with one field at the end.
    pub fn set(&mut self, name: &str, value: impl Into<Bytes>) {
        self.remove(name);
        self.add(Bytes::copy_from_slice(name.as_bytes()), value);
    }

    /// Removes all fields of this name.
    pub fn remove(&mut self, name: &str) {
        self.list.retain(|field| !field.name.eq_ignore_ascii_case(name.as_bytes()));
    }

    /// The value of the first field of this name.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        let named = |field: &&Field| field.name.eq_ignore_ascii_case(name.as_bytes());
        self.list.iter().find(named).map(|field| &field.value)
    }

    /// The value of the first field of this name, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The values of all fields of this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let matching = self.list.iter().filter(move |field| field.name.eq_ignore_ascii_case(name.as_bytes()));
        matching.map(|field| &field.value)
    }

    /// True when a field of this name lists `token` among its comma-separated values.
    pub fn lists_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .any(|value| value.split(',').any(|listed| listed.trim().eq_ignore_ascii_case(token)))
    }

    /// All fields.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.list.iter()
    }

    /// Removes hop-by-hop fields, including those named by `Connection`, and `Content-Length`.
    pub fn remove_connection_fields(&mut self) {
        let named: Vec<String> = self
            .all("connection")
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
            .collect();
        self.list.retain(|field| {
            let name = String::from_utf8_lossy(&field.name).to_ascii_lowercase();
            !CONNECTION_FIELDS.contains(&name.as_str()) && !named.contains(&name)
        });
    }
}
