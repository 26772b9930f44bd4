//! Strict TOML: every problem of a file becomes a finding with its line, not only the first one.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue, Deserializer};
use toml::Spanned;

use crate::findings::Findings;
use crate::prelude::*;

/// Key that selects the variant of a table; the other keys of the table are read together with it.
const TAG: &str = "kind";

/// Deepest nesting that is read; every file of this crate needs less.
const MAX_DEPTH: usize = 16;

/// Most findings that are reported for the syntax and types of one file.
const MAX_FINDINGS: usize = 1000;

/// Lines of the items of a file, by place such as `route[2].service`.
#[derive(Debug, Default)]
pub struct Places(HashMap<String, usize>);

impl Places {
    /// Adds to each finding the line of its place, or of the nearest enclosing item.
    pub fn locate(&self, f: Findings) -> Findings {
        let mut items: Vec<_> = f
            .items
            .into_iter()
            .map(|x| (self.line(&x.place), x))
            .collect();
        items.sort_by_key(|(line, _)| *line);
        let mut out = Findings::default();
        for (line, x) in items {
            let place = match line {
                Some(line) => format!("line {line}, {}", x.place),
                None => x.place,
            };
            out.add(place, x.message, x.remedy);
        }
        out
    }

    fn line(&self, mut place: &str) -> Option<usize> {
        loop {
            if let Some(line) = self.0.get(place) {
                return Some(*line);
            }
            place = &place[..place.rfind(['.', '['])?];
        }
    }
}

/// Reads a file whose type has defaults for all fields.
///
/// # Errors
///
/// All findings, each with its line and place.
pub fn read<T>(text: &str) -> Result<(T, Places), Findings>
where
    T: DeserializeOwned,
{
    let (root, syntax) = DeTable::parse_recoverable(text);
    let mut walk = Walk {
        newlines: text
            .bytes()
            .enumerate()
            .filter_map(|(i, b)| (b == b'\n').then_some(i))
            .collect(),
        places: Places::default(),
        found: Vec::new(),
    };
    for e in &syntax {
        let span = e.span().unwrap_or_default();
        let (message, remedy) = match (e.message(), text.get(span.clone())) {
            ("duplicate key", Some(key)) => (
                format!("duplicate key `{key}`"),
                "keep one of them, or write [[NAME]] for a list of tables",
            ),
            ("", _) => ("invalid syntax".to_owned(), "correct the TOML syntax"),
            (m, _) => (m.to_owned(), "correct the TOML syntax"),
        };
        walk.add(span.start, String::new(), &message, remedy);
    }
    let broken = walk.found.len();
    walk.mark_places(&root, "", 0);
    if syntax.is_empty() {
        match T::deserialize(Deserializer::from(root.clone())) {
            Ok(value) => return Ok((value, walk.places)),
            Err(e) => {
                walk.check_table::<T>(&root, "", 0, &|t| t);
                if walk.found.is_empty() {
                    walk.add_error("", &e);
                }
            }
        }
    } else {
        walk.check_table::<T>(&root, "", 0, &|t| t);
        // What was read from a line with a syntax error is not what was written there.
        let lines: Vec<_> = walk.found[..broken].iter().map(|x| x.line).collect();
        walk.found
            .retain(|x| x.place.is_empty() || !lines.contains(&x.line));
    }
    Err(walk.finish())
}

struct Found {
    line: usize,
    place: String,
    message: String,
    remedy: &'static str,
}

struct Walk {
    newlines: Vec<usize>,
    places: Places,
    found: Vec<Found>,
}

type Table<'a> = Spanned<DeTable<'a>>;
type Value<'a> = Spanned<DeValue<'a>>;
/// Places a part of the document into an otherwise empty document.
type Wrap<'w, 'a> = dyn Fn(Table<'a>) -> Table<'a> + 'w;

impl Walk {
    fn line(&self, at: usize) -> usize {
        1 + self.newlines.partition_point(|n| *n < at)
    }

    fn add(&mut self, at: usize, place: String, message: &str, remedy: &'static str) {
        // A missing or wrong variant makes every other key of its table fail with the same message.
        // The parser does not keep the position inside a table with a variant, but its place is known.
        let line = self.places.line(&place).unwrap_or_else(|| self.line(at));
        let known = |x: &Found| x.message == message && (x.line == line || x.place == place);
        if self.found.len() < MAX_FINDINGS && !self.found.iter().any(known) {
            self.found.push(Found {
                line,
                place,
                message: message.to_owned(),
                remedy,
            });
        }
    }

    fn add_error(&mut self, place: &str, e: &toml::de::Error) {
        let at = e.span().map_or(0, |s| s.start);
        self.add(at, place.to_owned(), e.message(), remedy(e.message()));
    }

    fn mark_places(&mut self, table: &Table<'_>, path: &str, depth: usize) {
        for (key, value) in table.get_ref() {
            let path = join(path, key.get_ref());
            self.mark(&path, key.span());
            self.mark_value(value, &path, depth);
        }
    }

    fn mark(&mut self, path: &str, span: Range<usize>) {
        let line = self.line(span.start);
        self.places.0.insert(path.to_owned(), line);
    }

    fn mark_value(&mut self, value: &Value<'_>, path: &str, depth: usize) {
        match value.get_ref() {
            _ if depth > MAX_DEPTH => {}
            DeValue::Table(t) => {
                self.mark_places(&Spanned::new(value.span(), t.clone()), path, depth + 1)
            }
            DeValue::Array(list) => {
                for (i, x) in list.iter().enumerate() {
                    let path = format!("{path}[{i}]");
                    self.mark(&path, x.span());
                    self.mark_value(x, &path, depth + 1);
                }
            }
            _ => {}
        }
    }

    /// Reads each leaf of a table on its own, so that one error does not hide another.
    fn check_table<'a, T>(
        &mut self,
        table: &Table<'a>,
        path: &str,
        depth: usize,
        wrap: &Wrap<'_, 'a>,
    ) where
        T: DeserializeOwned,
    {
        let tag: DeTable<'a> = table
            .get_ref()
            .iter()
            .filter(|(k, _)| path.ends_with(']') && k.get_ref() == TAG)
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect();
        let alone = |t: DeTable<'a>| wrap(Spanned::new(table.span(), t));
        if (path.ends_with(']') || table.get_ref().is_empty())
            && !self.try_read::<T>(alone(tag.clone()), path)
        {
            return;
        }
        for (key, value) in table.get_ref() {
            let path = join(path, key.get_ref());
            let with = |v: Value<'a>| {
                let mut t = tag.clone();
                t.insert(key.clone(), v);
                alone(t)
            };
            self.check_value::<T>(value, &path, depth + 1, &with);
        }
    }

    fn check_value<'a, T>(
        &mut self,
        value: &Value<'a>,
        path: &str,
        depth: usize,
        with: &dyn Fn(Value<'a>) -> Table<'a>,
    ) where
        T: DeserializeOwned,
    {
        let span = value.span();
        match value.get_ref() {
            DeValue::Table(t) if depth < MAX_DEPTH && !t.is_empty() => {
                let t = Spanned::new(span.clone(), t.clone());
                self.check_table::<T>(&t, path, depth, &|t| {
                    with(Spanned::new(t.span(), DeValue::Table(t.into_inner())))
                });
            }
            DeValue::Array(list) if depth < MAX_DEPTH && !list.is_empty() => {
                for (i, x) in list.iter().enumerate() {
                    let one = |x: Value<'a>| {
                        let list = std::iter::once(x).collect();
                        with(Spanned::new(span.clone(), DeValue::Array(list)))
                    };
                    self.check_value::<T>(x, &format!("{path}[{i}]"), depth + 1, &one);
                }
            }
            _ => drop(self.try_read::<T>(with(value.clone()), path)),
        }
    }

    fn try_read<T>(&mut self, doc: Table<'_>, path: &str) -> bool
    where
        T: DeserializeOwned,
    {
        match T::deserialize(Deserializer::from(doc)) {
            Ok(_) => true,
            Err(e) => {
                self.add_error(path, &e);
                false
            }
        }
    }

    fn finish(mut self) -> Findings {
        self.found.sort_by_key(|x| x.line);
        let mut out = Findings::default();
        for x in &self.found {
            let line = x.line;
            let place = match x.place.as_str() {
                "" => format!("line {line}"),
                p => format!("line {line}, {p}"),
            };
            out.add(place, x.message.clone(), x.remedy);
        }
        out
    }
}

fn join(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    }
}

fn remedy(message: &str) -> &'static str {
    match message {
        m if m.starts_with("unknown field") => "correct the name of the key or remove it",
        m if m.starts_with("unknown variant") => "use one of the expected values",
        m if m.starts_with("missing field") => "add the key",
        m if m.contains("socket address") => "write an address as IP:PORT",
        m if m.starts_with("invalid type") => "write a value of the expected type",
        _ => "correct the value",
    }
}
