//! Reads a TOML table field by field and reports all errors at once.
//!
//! Use it for files that an operator writes: on an error each getter records a [`FieldError`] (field, value,
//! reason) and returns a default, so that reading continues. Unknown fields are errors.
//! [`TableReader::finish`] fails if any error was recorded.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

pub use toml::{Table, Value};

/// An invalid, missing or unknown field of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, such as `kinds[2].importance`.
    pub field: String,
    /// The value found, as TOML text; empty if the field is missing.
    pub value: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "field={} value={:?} reason={:?}", self.field, self.value, self.reason)
    }
}

/// All errors in one file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldErrors(pub Vec<FieldError>);

impl fmt::Display for FieldErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FieldErrors {}

/// Reads one table and its sub-tables.
#[derive(Debug)]
pub struct TableReader {
    table: Table,
    path: String,
    known: BTreeSet<String>,
    errors: Vec<FieldError>,
}

impl TableReader {
    /// Parses TOML text. A syntax error is a single error of the whole file.
    pub fn parse(text: &str) -> Result<Self, FieldErrors> {
        let table = text.parse::<Table>().map_err(|error| {
            FieldErrors(vec![FieldError {
                field: "(file)".into(),
                value: String::new(),
                reason: error.message().to_string(),
            }])
        })?;
        Ok(Self::from_table(table))
    }

    /// A reader of a parsed table.
    pub fn from_table(table: Table) -> Self {
        Self::new(table, String::new())
    }

    fn new(table: Table, path: String) -> Self {
        TableReader { table, path, known: BTreeSet::new(), errors: Vec::new() }
    }

    fn field_path(&self, field: &str) -> String {
        if self.path.is_empty() { field.to_string() } else { format!("{}.{field}", self.path) }
    }

    fn take(&mut self, field: &str) -> Option<Value> {
        self.known.insert(field.to_string());
        self.table.get(field).cloned()
    }

    /// Records an error in `field` of this table.
    pub fn add_error(&mut self, field: &str, reason: impl Into<String>) {
        let value = self.table.get(field).map(Value::to_string).unwrap_or_default();
        let field = self.field_path(field);
        self.errors.push(FieldError { field, value, reason: reason.into() });
    }

    /// True if the field is present.
    pub fn has(&self, field: &str) -> bool {
        self.table.contains_key(field)
    }

    /// Required non-empty string.
    pub fn text(&mut self, field: &str) -> String {
        match self.take(field) {
            Some(Value::String(text)) if !text.is_empty() => text,
            Some(_) => self.default_with_error(field, "expected a non-empty string"),
            None => self.default_with_error(field, "is missing"),
        }
    }

    /// Optional string.
    pub fn text_or(&mut self, field: &str, default: &str) -> String {
        match self.take(field) {
            Some(Value::String(text)) => text,
            Some(_) => self.default_with_error(field, "expected a string"),
            None => default.to_string(),
        }
    }

    /// Required name: letters, digits, `-`, `_` and `.`, at most 63 characters.
    pub fn name(&mut self, field: &str) -> String {
        let text = self.text(field);
        let fits = text.len() <= 63 && text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if !fits {
            self.add_error(field, "a name has at most 63 letters, digits, '-', '_' or '.'");
        }
        text
    }

    /// Required integer within `range`.
    pub fn integer(&mut self, field: &str, range: std::ops::RangeInclusive<u64>) -> u64 {
        match self.take(field) {
            Some(value) => self.integer_of(field, value, range),
            None => self.default_with_error(field, "is missing"),
        }
    }

    /// Optional integer within `range`.
    pub fn integer_or(&mut self, field: &str, default: u64, range: std::ops::RangeInclusive<u64>) -> u64 {
        match self.take(field) {
            Some(value) => self.integer_of(field, value, range),
            None => default,
        }
    }

    fn integer_of(&mut self, field: &str, value: Value, range: std::ops::RangeInclusive<u64>) -> u64 {
        let number = value.as_integer().and_then(|number| u64::try_from(number).ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let reason = format!("expected an integer from {} to {}", range.start(), range.end());
                self.default_with_error(field, &reason)
            }
        }
    }

    /// Optional duration given in milliseconds.
    pub fn millis_or(&mut self, field: &str, default: u64, range: std::ops::RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.integer_or(field, default, range))
    }

    /// Optional number within `range`, integer or floating point.
    pub fn number_or(&mut self, field: &str, default: f64, range: std::ops::RangeInclusive<f64>) -> f64 {
        let value = match self.take(field) {
            Some(Value::Integer(integer)) => integer as f64,
            Some(Value::Float(number)) => number,
            Some(_) => f64::NAN,
            None => return default,
        };
        if range.contains(&value) {
            return value;
        }
        self.default_with_error(field, &format!("expected a number from {} to {}", range.start(), range.end()))
    }

    /// Optional number within `range`; `None` if absent.
    pub fn opt_number(&mut self, field: &str, range: std::ops::RangeInclusive<f64>) -> Option<f64> {
        if self.has(field) { Some(self.number_or(field, *range.start(), range)) } else { None }
    }

    /// Optional boolean.
    pub fn boolean_or(&mut self, field: &str, default: bool) -> bool {
        match self.take(field) {
            Some(Value::Boolean(boolean)) => boolean,
            Some(_) => self.default_with_error(field, "expected true or false"),
            None => default,
        }
    }

    /// Required value parsed from a string, such as an address.
    pub fn parsed<T: std::str::FromStr>(&mut self, field: &str, what: &str) -> Option<T> {
        let missing = !self.has(field);
        let text = self.text(field);
        let parsed = text.parse().ok();
        if parsed.is_none() && !missing && !text.is_empty() {
            self.add_error(field, format!("expected {what}"));
        }
        parsed
    }

    /// Optional value parsed from a string; `None` if absent.
    pub fn opt_parsed<T: std::str::FromStr>(&mut self, field: &str, what: &str) -> Option<T> {
        if self.has(field) { self.parsed(field, what) } else { None }
    }

    /// Optional list of strings.
    pub fn texts(&mut self, field: &str) -> Vec<String> {
        let values = match self.take(field) {
            Some(Value::Array(values)) => values,
            Some(_) => return self.default_with_error(field, "expected a list of strings"),
            None => return Vec::new(),
        };
        let texts: Vec<String> = values.iter().filter_map(Value::as_str).map(str::to_string).collect();
        if texts.len() != values.len() {
            self.add_error(field, "expected a list of strings");
        }
        texts
    }

    /// A sub-table that is read by `read`; an absent one is read as empty.
    pub fn section<T>(&mut self, field: &str, read: impl FnOnce(&mut TableReader) -> T) -> T {
        let table = match self.take(field) {
            Some(Value::Table(table)) => table,
            Some(_) => {
                self.add_error(field, "expected a table");
                Table::new()
            }
            None => Table::new(),
        };
        let path = self.field_path(field);
        self.read_table(table, path, read)
    }

    /// Optional list of tables, each read by `read`.
    pub fn sections<T>(&mut self, field: &str, mut read: impl FnMut(&mut TableReader) -> T) -> Vec<T> {
        let values = match self.take(field) {
            Some(Value::Array(values)) => values,
            Some(_) => return self.default_with_error(field, "expected a list of tables"),
            None => return Vec::new(),
        };
        let mut items = Vec::new();
        for (index, value) in values.into_iter().enumerate() {
            let path = format!("{}[{index}]", self.field_path(field));
            match value {
                Value::Table(table) => items.push(self.read_table(table, path, &mut read)),
                _ => self.add_error(field, "expected a list of tables"),
            }
        }
        items
    }

    fn read_table<T>(&mut self, table: Table, path: String, read: impl FnOnce(&mut TableReader) -> T) -> T {
        let mut reader = TableReader::new(table, path);
        let item = read(&mut reader);
        reader.report_unknown_fields();
        self.errors.append(&mut reader.errors);
        item
    }

    fn default_with_error<T: Default>(&mut self, field: &str, reason: &str) -> T {
        self.add_error(field, reason);
        T::default()
    }

    fn report_unknown_fields(&mut self) {
        let unknown: Vec<String> = self.table.keys().filter(|key| !self.known.contains(*key)).cloned().collect();
        for field in unknown {
            self.add_error(&field, "unknown field");
        }
    }

    /// Finishes reading; fails with all errors found, including unknown fields.
    pub fn finish(mut self) -> Result<(), FieldErrors> {
        self.report_unknown_fields();
        if self.errors.is_empty() { Ok(()) } else { Err(FieldErrors(self.errors)) }
    }
}
