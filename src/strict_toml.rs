//! TOML reader that reports every problem in a file as a finding with its line, not only the first one.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue, Deserializer};
use toml::Spanned;

use crate::findings::Findings;
use crate::prelude::*;

/// Key that selects the variant of a table; the other keys can only be checked together with it.
const VARIANT_KEY: &str = "kind";

/// Maximum nesting depth that is checked; the files of this crate need less.
const MAX_DEPTH: usize = 16;

/// Maximum number of findings that are reported for the syntax and the types of one file.
const MAX_FINDINGS: usize = 1000;

/// Line of each item in a file, by its location such as `route[2].service`.
#[derive(Debug, Default)]
pub struct LineIndex(HashMap<String, usize>);

impl LineIndex {
    /// Adds to each finding the line of its location, or of the nearest enclosing item, and sorts them by line.
    pub fn annotate(&self, f: Findings) -> Findings {
        let mut items: Vec<_> = f
            .items
            .into_iter()
            .map(|x| (self.find_line(&x.location), x))
            .collect();
        items.sort_by_key(|(line, _)| *line);
        let mut out = Findings::default();
        for (line, x) in items {
            let location = match line {
                Some(line) => format!("line {line}, {}", x.location),
                None => x.location,
            };
            out.add(location, x.message, x.hint);
        }
        out
    }

    fn find_line(&self, mut location: &str) -> Option<usize> {
        loop {
            if let Some(line) = self.0.get(location) {
                return Some(*line);
            }
            location = &location[..location.rfind(['.', '['])?];
        }
    }
}

/// Deserializes a file into a type that has defaults for all fields.
///
/// # Errors
///
/// All findings, each with its line and location.
pub fn read<T>(text: &str) -> Result<(T, LineIndex), Findings>
where
    T: DeserializeOwned,
{
    let (root, syntax) = DeTable::parse_recoverable(text);
    let mut checker = Checker {
        newlines: text
            .bytes()
            .enumerate()
            .filter_map(|(i, b)| (b == b'\n').then_some(i))
            .collect(),
        lines: LineIndex::default(),
        problems: Vec::new(),
    };
    for e in &syntax {
        let span = e.span().unwrap_or_default();
        let (message, hint) = match (e.message(), text.get(span.clone())) {
            ("duplicate key", Some(key)) => (
                format!("duplicate key `{key}`"),
                "keep one of them, or write [[NAME]] for a list of tables",
            ),
            ("", _) => ("invalid syntax".to_owned(), "correct the TOML syntax"),
            (m, _) => (m.to_owned(), "correct the TOML syntax"),
        };
        checker.add(span.start, String::new(), &message, hint);
    }
    let syntax_count = checker.problems.len();
    checker.index_table(&root, "", 0);
    if syntax.is_empty() {
        match T::deserialize(Deserializer::from(root.clone())) {
            Ok(value) => return Ok((value, checker.lines)),
            Err(e) => {
                checker.check_table::<T>(&root, "", 0, &|t| t);
                if checker.problems.is_empty() {
                    checker.add_error("", &e);
                }
            }
        }
    } else {
        checker.check_table::<T>(&root, "", 0, &|t| t);
        // A line with a syntax error may be parsed into something else, so its other findings are dropped.
        let bad_lines: Vec<_> = checker.problems[..syntax_count]
            .iter()
            .map(|x| x.line)
            .collect();
        checker
            .problems
            .retain(|x| x.location.is_empty() || !bad_lines.contains(&x.line));
    }
    Err(checker.into_findings())
}

struct Problem {
    line: usize,
    location: String,
    message: String,
    hint: &'static str,
}

struct Checker {
    /// Byte offsets of the newlines in the file.
    newlines: Vec<usize>,
    lines: LineIndex,
    problems: Vec<Problem>,
}

type Table<'a> = Spanned<DeTable<'a>>;
type Value<'a> = Spanned<DeValue<'a>>;
/// Embeds a table of the document in an otherwise empty document.
type Embed<'w, 'a> = dyn Fn(Table<'a>) -> Table<'a> + 'w;

impl Checker {
    fn line_at(&self, offset: usize) -> usize {
        1 + self.newlines.partition_point(|n| *n < offset)
    }

    fn add(&mut self, offset: usize, location: String, message: &str, hint: &'static str) {
        // The parser loses offsets inside a table with a variant, so the line of the location is preferred.
        // Duplicates are skipped: a missing or wrong variant makes all other keys of its table fail with one message.
        let line = self
            .lines
            .find_line(&location)
            .unwrap_or_else(|| self.line_at(offset));
        let duplicate =
            |x: &Problem| x.message == message && (x.line == line || x.location == location);
        if self.problems.len() < MAX_FINDINGS && !self.problems.iter().any(duplicate) {
            self.problems.push(Problem {
                line,
                location,
                message: message.to_owned(),
                hint,
            });
        }
    }

    fn add_error(&mut self, location: &str, e: &toml::de::Error) {
        let offset = e.span().map_or(0, |s| s.start);
        self.add(
            offset,
            location.to_owned(),
            e.message(),
            hint_for(e.message()),
        );
    }

    fn index_table(&mut self, table: &Table<'_>, path: &str, depth: usize) {
        for (key, value) in table.get_ref() {
            let path = join(path, key.get_ref());
            self.index_item(&path, key.span());
            self.index_value(value, &path, depth);
        }
    }

    fn index_item(&mut self, path: &str, span: Range<usize>) {
        let line = self.line_at(span.start);
        self.lines.0.insert(path.to_owned(), line);
    }

    fn index_value(&mut self, value: &Value<'_>, path: &str, depth: usize) {
        match value.get_ref() {
            _ if depth > MAX_DEPTH => {}
            DeValue::Table(t) => {
                self.index_table(&Spanned::new(value.span(), t.clone()), path, depth + 1)
            }
            DeValue::Array(list) => {
                for (i, x) in list.iter().enumerate() {
                    let path = format!("{path}[{i}]");
                    self.index_item(&path, x.span());
                    self.index_value(x, &path, depth + 1);
                }
            }
            _ => {}
        }
    }

    /// Deserializes each leaf of a table on its own, so that one error does not hide another.
    fn check_table<'a, T>(
        &mut self,
        table: &Table<'a>,
        path: &str,
        depth: usize,
        embed: &Embed<'_, 'a>,
    ) where
        T: DeserializeOwned,
    {
        // Only tables in an array can have a variant.
        let variant: DeTable<'a> = table
            .get_ref()
            .iter()
            .filter(|(k, _)| path.ends_with(']') && k.get_ref() == VARIANT_KEY)
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect();
        let embed_table = |t: DeTable<'a>| embed(Spanned::new(table.span(), t));
        if (path.ends_with(']') || table.get_ref().is_empty())
            && !self.try_read::<T>(embed_table(variant.clone()), path)
        {
            return;
        }
        for (key, value) in table.get_ref() {
            let path = join(path, key.get_ref());
            let embed_value = |v: Value<'a>| {
                let mut t = variant.clone();
                t.insert(key.clone(), v);
                embed_table(t)
            };
            self.check_value::<T>(value, &path, depth + 1, &embed_value);
        }
    }

    fn check_value<'a, T>(
        &mut self,
        value: &Value<'a>,
        path: &str,
        depth: usize,
        embed: &dyn Fn(Value<'a>) -> Table<'a>,
    ) where
        T: DeserializeOwned,
    {
        let span = value.span();
        match value.get_ref() {
            DeValue::Table(t) if depth < MAX_DEPTH && !t.is_empty() => {
                let t = Spanned::new(span.clone(), t.clone());
                self.check_table::<T>(&t, path, depth, &|t| {
                    embed(Spanned::new(t.span(), DeValue::Table(t.into_inner())))
                });
            }
            DeValue::Array(list) if depth < MAX_DEPTH && !list.is_empty() => {
                for (i, x) in list.iter().enumerate() {
                    let embed_item = |x: Value<'a>| {
                        let list = std::iter::once(x).collect();
                        embed(Spanned::new(span.clone(), DeValue::Array(list)))
                    };
                    self.check_value::<T>(x, &format!("{path}[{i}]"), depth + 1, &embed_item);
                }
            }
            _ => drop(self.try_read::<T>(embed(value.clone()), path)),
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

    fn into_findings(mut self) -> Findings {
        self.problems.sort_by_key(|x| x.line);
        let mut out = Findings::default();
        for x in &self.problems {
            let line = x.line;
            let location = match x.location.as_str() {
                "" => format!("line {line}"),
                p => format!("line {line}, {p}"),
            };
            out.add(location, x.message.clone(), x.hint);
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

fn hint_for(message: &str) -> &'static str {
    match message {
        m if m.starts_with("unknown field") => "correct the name of the key or remove it",
        m if m.starts_with("unknown variant") => "use one of the expected values",
        m if m.starts_with("missing field") => "add the key",
        m if m.contains("socket address") => "write an address as IP:PORT",
        m if m.starts_with("invalid type") => "write a value of the expected type",
        _ => "correct the value",
    }
}
