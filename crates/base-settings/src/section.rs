//! Typed reads of the keys of a TOML table, which collect faults instead of failing at the first.

use std::{
    cell::RefCell,
    net::SocketAddr,
    ops::{Range, RangeInclusive},
    time::Duration,
};

use serde::de::DeserializeOwned;
use toml::{
    Spanned,
    de::{DeTable, DeValue, ValueDeserializer},
};

use crate::SettingsFault;

const NAME_BYTES_MAX: usize = 64;

/// Largest edit distance at which a known key is suggested for an unknown one.
const SUGGESTION_DISTANCE_MAX: usize = 3;

type SpannedValue<'a, 'i> = &'a Spanned<DeValue<'i>>;

/// Keys under which a time may be set, one for each unit; at most one of them may be used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DurationKeys {
    pub(crate) millis: &'static str,
    pub(crate) seconds: &'static str,
}

/// The text of a file and the faults found in it so far.
#[derive(Debug)]
pub(crate) struct FaultList<'i> {
    text: &'i str,
    faults: RefCell<Vec<SettingsFault>>,
}

impl<'i> FaultList<'i> {
    pub(crate) fn new(text: &'i str) -> Self {
        Self { text, faults: RefCell::default() }
    }

    /// Records a fault; `span` is its position in the text, in bytes.
    pub(crate) fn push(
        &self,
        span: Option<Range<usize>>,
        key: &str,
        problem: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) {
        let line = span.map(|span| self.line_at(span.start));
        let fault =
            SettingsFault { line, key: key.into(), problem: problem.into(), remedy: remedy.into() };
        self.faults.borrow_mut().push(fault);
    }

    /// Records errors of the TOML syntax, which belong to no key.
    pub(crate) fn push_syntax(&self, errors: &[toml::de::Error]) {
        for error in errors {
            self.push(error.span(), "", error.message(), "correct the TOML syntax");
        }
    }

    pub(crate) fn into_faults(self) -> Vec<SettingsFault> {
        self.faults.into_inner()
    }

    fn line_at(&self, offset: usize) -> usize {
        let head = &self.text.as_bytes()[..offset.min(self.text.len())];
        head.iter().filter(|byte| **byte == b'\n').count() + 1
    }
}

/// A table of the file. Keys that no method has read by the time of [`Self::finish`] are unknown.
#[derive(Debug)]
pub(crate) struct SettingsSection<'a, 'i> {
    path: Box<str>,
    table: &'a DeTable<'i>,
    faults: &'a FaultList<'i>,
    read_keys: RefCell<Vec<&'static str>>,
}

impl<'a, 'i> SettingsSection<'a, 'i> {
    pub(crate) fn root(table: &'a DeTable<'i>, faults: &'a FaultList<'i>) -> Self {
        Self { path: "".into(), table, faults, read_keys: RefCell::default() }
    }

    /// Dotted path of a key from the root of the file.
    pub(crate) fn key_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Position of a key's value in the text; absent when the table does not have the key.
    pub(crate) fn value_span(&self, name: &str) -> Option<Range<usize>> {
        self.table.get(name).map(Spanned::span)
    }

    /// Records a fault of a key's value.
    pub(crate) fn report_fault(
        &self,
        name: &str,
        problem: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) {
        self.faults.push(self.value_span(name), &self.key_path(name), problem, remedy);
    }

    /// A subtable; `None` when the file does not have it.
    pub(crate) fn section(&self, name: &'static str) -> Option<Self> {
        let value = self.read_value(name)?;
        let Some(table) = value.get_ref().as_table() else {
            self.report_wrong_type(
                name,
                value,
                "a table",
                &format!("write it as [{}]", self.key_path(name)),
            );
            return None;
        };
        let path = self.key_path(name).into();
        Some(Self { path, table, faults: self.faults, read_keys: RefCell::default() })
    }

    /// A subtable that is required.
    pub(crate) fn required_section(&self, name: &'static str) -> Option<Self> {
        if !self.table.contains_key(name) {
            self.read_keys.borrow_mut().push(name);
            let key = self.key_path(name);
            self.faults.push(None, &key, "is missing", format!("add the table [{key}]"));
        }
        self.section(name)
    }

    /// The tables of an array, each written as `[[name]]`; empty when the file has no such array.
    pub(crate) fn sections(&self, name: &'static str) -> Vec<Self> {
        let mut sections = Vec::new();
        for (index, item) in self.array_items(name).enumerate() {
            let Some(table) = item.get_ref().as_table() else {
                let remedy = format!("write each as [[{}]]", self.key_path(name));
                self.report_wrong_type(name, item, "a table", &remedy);
                continue;
            };
            let path = format!("{}[{index}]", self.key_path(name)).into();
            let read_keys = RefCell::default();
            sections.push(Self { path, table, faults: self.faults, read_keys });
        }
        sections
    }

    /// The strings of an array; empty when the file has no such array.
    pub(crate) fn strings(&self, name: &'static str) -> Vec<&'a str> {
        let mut strings = Vec::new();
        for item in self.array_items(name) {
            match item.get_ref().as_str() {
                Some(string) => strings.push(string),
                None => self.report_wrong_type(name, item, "a string", "put it in double quotes"),
            }
        }
        strings
    }

    fn array_items(&self, name: &'static str) -> impl Iterator<Item = SpannedValue<'a, 'i>> {
        let value = self.read_value(name);
        let items = value.and_then(|value| value.get_ref().as_array());
        if let (Some(value), None) = (value, items) {
            self.report_wrong_type(name, value, "an array", "write its items between `[` and `]`");
        }
        items.into_iter().flat_map(|items| items.iter())
    }

    /// A string, without a fault when it is missing; for checks of keys that were already read.
    pub(crate) fn peek_string(&self, name: &str) -> Option<&'a str> {
        self.table.get(name)?.get_ref().as_str()
    }

    /// A string that is optional.
    pub(crate) fn string(&self, name: &'static str) -> Option<&'a str> {
        let value = self.read_value(name)?;
        let string = value.get_ref().as_str();
        if string.is_none() {
            self.report_wrong_type(name, value, "a string", "put it in double quotes");
        }
        string
    }

    /// A required string.
    pub(crate) fn required_string(&self, name: &'static str) -> Option<&'a str> {
        if !self.table.contains_key(name) {
            self.read_keys.borrow_mut().push(name);
            self.faults.push(
                None,
                &self.key_path(name),
                "is missing",
                format!("add `{}`", self.key_path(name)),
            );
            return None;
        }
        self.string(name)
    }

    /// A required name: 1 to 64 letters, digits, `-`, `_` or `.`.
    pub(crate) fn required_name(&self, name: &'static str) -> Option<&'a str> {
        let text = self.required_string(name)?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if text.is_empty() || text.len() > NAME_BYTES_MAX || !text.chars().all(allowed) {
            self.report_fault(
                name,
                "is not a valid name",
                "use 1 to 64 letters, digits, `-`, `_` or `.`",
            );
            return None;
        }
        Some(text)
    }

    /// A required IP address and port.
    pub(crate) fn required_address(&self, name: &'static str) -> Option<SocketAddr> {
        let text = self.required_string(name)?;
        self.parse_address(name, text)
    }

    /// An optional IP address and port.
    pub(crate) fn address(&self, name: &'static str) -> Option<SocketAddr> {
        let text = self.string(name)?;
        self.parse_address(name, text)
    }

    /// An integer or float above zero and at most `max`; `default` when absent or faulty.
    pub(crate) fn ratio(&self, name: &'static str, default: f64, max: f64) -> f64 {
        self.number(
            name,
            default,
            |ratio| ratio > 0.0 && ratio <= max,
            || format!("use a number above 0 and at most {max}"),
        )
    }

    /// An integer or float from zero to `max`; `default` when absent or faulty.
    pub(crate) fn amount(&self, name: &'static str, default: f64, max: f64) -> f64 {
        self.number(
            name,
            default,
            |amount| (0.0..=max).contains(&amount),
            || format!("use a number from 0 to {max}, or omit it for the default of {default}"),
        )
    }

    /// The whole part of an integer or float from zero to `max`; `default` when absent or faulty.
    pub(crate) fn count(&self, name: &'static str, default: u32, max: u32) -> u32 {
        self.amount(name, f64::from(default), f64::from(max)) as u32
    }

    /// The whole part of an integer or float from one to `max`; `None` when absent or faulty.
    pub(crate) fn optional_count(&self, name: &'static str, max: u32) -> Option<u32> {
        let count = self.number(
            name,
            0.0,
            |count| (1.0..=f64::from(max)).contains(&count),
            || format!("use a number from 1 to {max}, or omit it"),
        );
        (count > 0.0).then_some(count as u32)
    }

    /// A time of `min` to `max`, an integer or float under one of two keys; `default` when both are absent or one is
    /// faulty.
    pub(crate) fn duration(
        &self,
        keys: DurationKeys,
        default: Duration,
        range: &RangeInclusive<Duration>,
    ) -> Duration {
        let DurationKeys { millis, seconds } = keys;
        if self.value_span(millis).is_some() && self.value_span(seconds).is_some() {
            let key = self.key_path(millis);
            self.report_fault(seconds, format!("is set beside `{key}`"), "remove one of them");
        }
        let read = |name, unit: f64| {
            let [min, max] = [range.start(), range.end()].map(|time| time.as_secs_f64() / unit);
            let is_allowed = |time: f64| (min..=max).contains(&time);
            let remedy = || {
                let default = default.as_secs_f64() / unit;
                format!("use a number from {min} to {max}, or omit it for the default of {default}")
            };
            let time = self.number(name, f64::NAN, is_allowed, remedy);
            // A product with the unit may exceed a bound of the range by its last digit.
            (!time.is_nan())
                .then(|| Duration::from_secs_f64(time * unit).clamp(*range.start(), *range.end()))
        };
        let time = read(millis, 1e-3);
        read(seconds, 1.0).or(time).unwrap_or(default)
    }

    /// An integer or float that is allowed; `default` when absent or faulty.
    fn number(
        &self,
        name: &'static str,
        default: f64,
        is_allowed: impl FnOnce(f64) -> bool,
        remedy: impl FnOnce() -> String,
    ) -> f64 {
        let Some(value) = self.read_value(name) else { return default };
        let (text, number) = match value.get_ref() {
            DeValue::Integer(number) => {
                let digits = number.as_str().replace('_', "");
                let integer = i128::from_str_radix(&digits, number.radix());
                (number.as_str(), integer.ok().map(|integer| integer as f64))
            }
            DeValue::Float(number) => {
                (number.as_str(), number.as_str().replace('_', "").parse().ok())
            }
            _ => {
                self.report_wrong_type(name, value, "a number", "write it without quotes");
                return default;
            }
        };
        match number {
            Some(number) if is_allowed(number) => number,
            _ => {
                self.report_fault(name, format!("is {text}"), remedy());
                default
            }
        }
    }

    /// An integer or float above zero and at most `max`; `None` when absent or faulty.
    pub(crate) fn optional_ratio(&self, name: &'static str, max: f64) -> Option<f64> {
        let ratio = self.ratio(name, 0.0, max);
        (ratio > 0.0).then_some(ratio)
    }

    /// IP addresses and ports in an optional array; empty when absent.
    pub(crate) fn addresses(&self, name: &'static str) -> Vec<SocketAddr> {
        self.strings(name).into_iter().filter_map(|text| self.parse_address(name, text)).collect()
    }

    /// `true` or `false`; `default` when absent or faulty.
    pub(crate) fn flag(&self, name: &'static str, default: bool) -> bool {
        let Some(value) = self.read_value(name) else { return default };
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.report_wrong_type(name, value, "a boolean", "write true or false without quotes");
        }
        flag.unwrap_or(default)
    }

    /// An integer above zero and at most `max`; `default` when absent or faulty.
    pub(crate) fn positive_integer(&self, name: &'static str, default: u64, max: u64) -> u64 {
        let Some(value) = self.read_value(name) else { return default };
        let Some(number) = value.get_ref().as_integer() else {
            self.report_wrong_type(name, value, "an integer", "write it without quotes");
            return default;
        };
        let digits = number.as_str().replace('_', "");
        let parsed = i128::from_str_radix(&digits, number.radix()).ok();
        match parsed.and_then(|number| u64::try_from(number).ok()) {
            Some(number) if (1..=max).contains(&number) => number,
            _ => {
                let remedy = format!(
                    "use a number from 1 to {max}, or omit it for the default of {default}"
                );
                self.report_fault(name, format!("is {}", number.as_str()), remedy);
                default
            }
        }
    }

    /// One of a fixed set of words; `default` when absent or faulty.
    pub(crate) fn choice<T: Copy>(
        &self,
        name: &'static str,
        default: T,
        choices: &[(&str, T)],
    ) -> T {
        let Some(text) = self.string(name) else { return default };
        let found = choices.iter().find(|(word, _)| *word == text);
        if let Some((_, choice)) = found {
            return *choice;
        }
        let words: Vec<String> = choices.iter().map(|(word, _)| format!("\"{word}\"")).collect();
        self.report_fault(name, format!("is \"{text}\""), format!("use {}", words.join(", ")));
        default
    }

    /// The tables of an array such as `[[pool]]`, each deserialized, with one fault per table that
    /// fails.
    pub(crate) fn entries<T: DeserializeOwned>(&self, name: &'static str) -> Vec<T> {
        let Some(value) = self.read_value(name) else { return Vec::new() };
        let Some(entries) = value.get_ref().as_array() else {
            let remedy = format!("write each as [[{}]]", self.key_path(name));
            self.report_wrong_type(name, value, "an array of tables", &remedy);
            return Vec::new();
        };
        entries.iter().filter_map(|entry| self.deserialize_entry(name, entry)).collect()
    }

    /// Records a fault for every key of this table that was not read.
    pub(crate) fn finish(self) {
        for name in self.table.keys() {
            if self.read_keys.borrow().contains(&&**name.get_ref()) {
                continue;
            }
            let key = self.key_path(name.get_ref());
            self.faults.push(
                Some(name.span()),
                &key,
                "is unknown",
                self.unknown_key_remedy(name.get_ref()),
            );
        }
    }

    /// Value of a key; marks the key as read.
    fn read_value(&self, name: &'static str) -> Option<SpannedValue<'a, 'i>> {
        self.read_keys.borrow_mut().push(name);
        self.table.get(name)
    }

    /// Position of a field in the array entry with a given name, or of that entry when the field is
    /// absent.
    pub(crate) fn entry_span(&self, array: &str, name: &str, field: &str) -> Option<Range<usize>> {
        let entries = self.table.get(array)?.get_ref().as_array()?;
        let named = |entry: &&Spanned<DeValue<'i>>| {
            entry.get_ref().get("name").and_then(|value| value.get_ref().as_str()) == Some(name)
        };
        let entry = entries.iter().find(named)?;
        let field = entry.get_ref().get(field).map(Spanned::span);
        Some(field.unwrap_or_else(|| entry.span()))
    }

    fn deserialize_entry<T: DeserializeOwned>(
        &self,
        name: &str,
        entry: SpannedValue<'a, 'i>,
    ) -> Option<T> {
        match T::deserialize(ValueDeserializer::from(entry.clone())) {
            Ok(entry) => Some(entry),
            Err(error) => {
                let span = error.span().unwrap_or_else(|| entry.span());
                self.faults.push(
                    Some(span),
                    &self.key_path(name),
                    error.message(),
                    "correct the entry",
                );
                None
            }
        }
    }

    fn parse_address(&self, name: &str, text: &str) -> Option<SocketAddr> {
        let Ok(address) = text.parse::<SocketAddr>() else {
            let problem = format!("is \"{text}\", which is not an IP address with a port");
            self.report_fault(
                name,
                problem,
                "write it like \"192.0.2.7:8080\" or \"[2001:db8::7]:8080\"",
            );
            return None;
        };
        if address.port() == 0 {
            self.report_fault(name, "has port 0", "use a port from 1 to 65535");
            return None;
        }
        Some(address)
    }

    fn report_wrong_type(
        &self,
        name: &str,
        value: SpannedValue<'a, 'i>,
        expected: &str,
        remedy: &str,
    ) {
        let problem = format!("has type {}, expected {expected}", value.get_ref().type_str());
        self.report_fault(name, problem, remedy);
    }

    fn unknown_key_remedy(&self, name: &str) -> String {
        let read_keys = self.read_keys.borrow();
        let closest = read_keys
            .iter()
            .map(|other| (edit_distance(name, other), other))
            .filter(|(distance, _)| *distance <= SUGGESTION_DISTANCE_MAX)
            .min();
        match closest {
            Some((_, other)) => format!("did you mean `{other}`?"),
            None => "remove it".to_owned(),
        }
    }
}

/// Levenshtein distance in bytes.
fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, byte) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, other) in right.bytes().enumerate() {
            let substituted = diagonal + usize::from(byte != other);
            diagonal = row[column + 1];
            row[column + 1] = substituted.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
