//! Reading settings field by field, so that one run finds every error.

use guava_types::{FastMap, FastSet};
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// One thing wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Line, from one; zero for a key that is missing.
    pub line: usize,
    /// The key with its sections, as in `callers.listen`.
    pub key: Box<str>,
    /// What was found.
    pub found: Box<str>,
    /// What is allowed.
    pub allowed: Box<str>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, key, found, allowed } = self;
        match line {
            0 => write!(out, "{key}: found {found}, allowed: {allowed}"),
            line => write!(out, "line {line}: {key}: found {found}, allowed: {allowed}"),
        }
    }
}

/// All that is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|error| writeln!(out, "{error}"))
    }
}

impl std::error::Error for SettingsErrors {}

#[derive(Clone, Debug)]
enum FoundValue {
    Text(Box<str>),
    Number(Box<str>),
    Flag(bool),
    List(Vec<FoundValue>),
    Other(&'static str),
}

impl fmt::Display for FoundValue {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => write!(out, "{text:?}"),
            Self::Number(number) => out.write_str(number),
            Self::Flag(flag) => write!(out, "{flag}"),
            Self::List(_) => out.write_str("a list"),
            Self::Other(what) => out.write_str(what),
        }
    }
}

struct FoundField {
    line: usize,
    value: FoundValue,
}

/// The fields found in a text, the errors so far, and which fields were asked for.
pub struct FieldReader {
    fields: FastMap<Box<str>, FoundField>,
    asked: FastSet<Box<str>>,
    errors: Vec<SettingsError>,
}

fn line_at(text: &str, position: usize) -> usize {
    text.get(..position).map_or(1, |before| before.matches('\n').count() + 1)
}

fn found_value(value: &Value<'_>) -> FoundValue {
    match value {
        Value::StringLit(text) => FoundValue::Text((&*text.value).into()),
        Value::NumberLit(number) => FoundValue::Number(number.value.into()),
        Value::BooleanLit(flag) => FoundValue::Flag(flag.value),
        Value::Array(list) => FoundValue::List(list.elements.iter().map(found_value).collect()),
        Value::Object(_) => FoundValue::Other("a section"),
        Value::NullKeyword(_) => FoundValue::Other("null"),
    }
}

fn syntax_error(line: usize, message: &str) -> SettingsErrors {
    SettingsErrors(vec![SettingsError {
        line,
        key: "(text)".into(),
        found: message.into(),
        allowed: "JSON with comments, without trailing commas".into(),
    }])
}

impl FieldReader {
    /// Parses the text.
    pub fn open(text: &str) -> Result<Self, SettingsErrors> {
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: false,
            ..ParseOptions::default()
        };
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options);
        let result = parsed.map_err(|error| {
            syntax_error(line_at(text, error.range().start), &error.kind().to_string())
        })?;
        let Some(Value::Object(root)) = result.value else {
            return Err(syntax_error(1, "no object"));
        };
        let mut reader =
            Self { fields: FastMap::default(), asked: FastSet::default(), errors: Vec::new() };
        reader.collect(text, "", &root);
        Ok(reader)
    }

    fn collect(&mut self, text: &str, section: &str, object: &Object<'_>) {
        for property in &object.properties {
            let key: Box<str> = format!("{section}{}", property.name.as_str()).into();
            if let Value::Object(inner) = &property.value {
                self.collect(text, &format!("{key}."), inner);
                continue;
            }
            let line = line_at(text, property.range().start);
            let value = found_value(&property.value);
            if self.fields.insert(key.clone(), FoundField { line, value }).is_some() {
                self.errors.push(SettingsError {
                    line,
                    key,
                    found: "the key a second time".into(),
                    allowed: "each key once".into(),
                });
            }
        }
    }

    fn take(&mut self, key: &str) -> Option<(usize, FoundValue)> {
        self.asked.insert(key.into());
        self.fields.get(key).map(|field| (field.line, field.value.clone()))
    }

    fn wrong(&mut self, line: usize, key: &str, found: impl fmt::Display, allowed: &str) {
        self.errors.push(SettingsError {
            line,
            key: key.into(),
            found: found.to_string().into(),
            allowed: allowed.into(),
        });
    }

    /// A text.
    pub fn text(&mut self, key: &str, allowed: &str) -> Box<str> {
        match self.take(key) {
            Some((_, FoundValue::Text(text))) if !text.is_empty() => return text,
            Some((line, value)) => self.wrong(line, key, value, allowed),
            None => self.wrong(0, key, "nothing", allowed),
        }
        "".into()
    }

    /// A value with a text form; `fallback` stands in after an error.
    pub fn parsed<T: FromStr>(&mut self, key: &str, allowed: &str, fallback: T) -> T {
        match self.take(key) {
            None => self.wrong(0, key, "nothing", allowed),
            Some(_) => return self.parsed_or(key, allowed, fallback),
        }
        fallback
    }

    /// A value with a text form, or a default if the key is absent.
    pub fn parsed_or<T: FromStr>(&mut self, key: &str, allowed: &str, fallback: T) -> T {
        match self.take(key) {
            None => {}
            Some((line, FoundValue::Text(text))) => match text.parse() {
                Ok(value) => return value,
                Err(_) => self.wrong(line, key, FoundValue::Text(text), allowed),
            },
            Some((line, value)) => self.wrong(line, key, value, allowed),
        }
        fallback
    }

    /// A value with a text form, if the key is there.
    pub fn optional<T: FromStr>(&mut self, key: &str, allowed: &str) -> Option<T> {
        let (line, value) = self.take(key)?;
        if let FoundValue::Text(text) = &value
            && let Ok(value) = text.parse()
        {
            return Some(value);
        }
        self.wrong(line, key, value, allowed);
        None
    }

    /// A hash of 64 hexadecimal digits.
    pub fn hash(&mut self, key: &str) -> Box<str> {
        const ALLOWED: &str = "64 hexadecimal digits";
        let text = self.text(key, ALLOWED);
        let is_hash = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hash && !text.is_empty() {
            let line = self.fields.get(key).map_or(0, |field| field.line);
            self.wrong(line, key, format!("{} bytes of other text", text.len()), ALLOWED);
        }
        text
    }

    /// A list of addresses.
    pub fn address_list(&mut self, key: &str, allowed: &str) -> Vec<SocketAddr> {
        let Some((line, value)) = self.take(key) else { return Vec::new() };
        let FoundValue::List(items) = value else {
            self.wrong(line, key, value, "a list of addresses");
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for item in items {
            match &item {
                FoundValue::Text(text) if text.parse::<SocketAddr>().is_ok() => {
                    addresses.extend(text.parse::<SocketAddr>());
                }
                _ => self.wrong(line, key, item, allowed),
            }
        }
        addresses
    }

    /// A whole number within bounds, or a default if the key is absent.
    pub fn number_or(&mut self, key: &str, least: u64, most: u64, fallback: u64) -> u64 {
        let Some((line, value)) = self.take(key) else { return fallback };
        if let FoundValue::Number(text) = &value
            && let Ok(number) = text.parse::<u64>()
            && (least..=most).contains(&number)
        {
            return number;
        }
        self.wrong(line, key, value, &format!("a whole number from {least} to {most}"));
        fallback
    }

    /// One of some texts, or a default if the key is absent.
    pub fn choice_or(&mut self, key: &str, choices: &[&str], fallback: &str) -> Box<str> {
        let Some((line, value)) = self.take(key) else { return fallback.into() };
        if let FoundValue::Text(text) = &value
            && choices.contains(&&**text)
        {
            return text.clone();
        }
        self.wrong(line, key, value, &choices.join(", "));
        fallback.into()
    }

    /// A flag, or a default if the key is absent.
    pub fn flag(&mut self, key: &str, fallback: bool) -> bool {
        match self.take(key) {
            None => fallback,
            Some((_, FoundValue::Flag(flag))) => flag,
            Some((line, value)) => {
                let known = self.errors.iter().any(|error| &*error.key == key);
                if !known {
                    self.wrong(line, key, value, "true or false");
                }
                fallback
            }
        }
    }

    /// Refuses keys that nobody asked for and returns all errors in the order of their lines.
    pub fn finish(mut self) -> Result<(), SettingsErrors> {
        let mut unknown: Vec<(usize, Box<str>)> = self
            .fields
            .iter()
            .filter(|(key, _)| !self.asked.contains(*key))
            .map(|(key, field)| (field.line, key.clone()))
            .collect();
        unknown.sort();
        for (line, key) in unknown {
            self.wrong(line, &key, "an unknown key", "the keys in docs/OPERATORS.md");
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort_by_key(|error| error.line);
        Err(SettingsErrors(self.errors))
    }
}
