//! JSON values: a parser and a writer that are enough for the calls of the platform.

use std::fmt;

/// A JSON value. Numbers below 2^53 are exact.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut p = Parser { data: text.as_bytes(), at: 0 };
        let value = p.value()?;
        p.skip_blank();
        (p.at == p.data.len()).then_some(value)
    }

    /// Field of an object; `Null` if there is none.
    pub fn get(&self, key: &str) -> &Json {
        let found = match self {
            Json::Object(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        };
        found.unwrap_or(&Json::Null)
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Number(n) if *n >= 0.0 => Some(*n as u64),
            _ => None,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match self {
            Json::Text(t) => Some(t),
            _ => None,
        }
    }

    pub fn as_list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }
}

/// Quotes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Number(n) => write!(f, "{n}"),
            Json::Text(t) => write!(f, "{}", quote(t)),
            Json::List(l) => {
                let items: Vec<String> = l.iter().map(Json::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Json::Object(o) => {
                let items: Vec<String> = o.iter().map(|(k, v)| format!("{}:{v}", quote(k))).collect();
                write!(f, "{{{}}}", items.join(","))
            }
        }
    }
}

struct Parser<'a> {
    data: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_blank(&mut self) {
        while self.data.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.skip_blank();
        let end = self.at + text.len();
        (self.data.get(self.at..end)? == text.as_bytes()).then(|| self.at = end)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_blank();
        match self.data.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.data.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.data[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut out = Vec::new();
        loop {
            let b = *self.data.get(self.at)?;
            self.at += 1;
            match b {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let e = *self.data.get(self.at)?;
                    self.at += 1;
                    match e {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.data.get(self.at..self.at + 4)?).ok()?;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend_from_slice(c.to_string().as_bytes());
                            self.at += 4;
                        }
                        other => out.push(other),
                    }
                }
                b => out.push(b),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut out = Vec::new();
        if self.take("]").is_some() {
            return Some(Json::List(out));
        }
        loop {
            out.push(self.value()?);
            if self.take("]").is_some() {
                return Some(Json::List(out));
            }
            self.take(",")?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut out = Vec::new();
        if self.take("}").is_some() {
            return Some(Json::Object(out));
        }
        loop {
            self.skip_blank();
            let key = self.text()?;
            self.take(":")?;
            out.push((key, self.value()?));
            if self.take("}").is_some() {
                return Some(Json::Object(out));
            }
            self.take(",")?;
        }
    }
}
