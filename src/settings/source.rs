//! A settings file with overrides from the command line.

use std::path::PathBuf;

use super::{read, validate, Settings};
use crate::findings::Findings;

/// A settings file, and settings that replace those of the file.
#[derive(Debug, Clone)]
pub struct Source {
    /// The settings file.
    pub path: PathBuf,
    overrides: Vec<(String, String)>,
}

impl Source {
    /// Creates a source without overrides.
    pub fn new(path: PathBuf) -> Self {
        Self {
            path,
            overrides: Vec::new(),
        }
    }

    /// Adds an override `section.key=value`; one without a value is ignored.
    ///
    /// # Errors
    ///
    /// Description of what is wrong with the text.
    pub fn add_override(&mut self, text: &str) -> Result<(), String> {
        let (key, value) = text.split_once('=').ok_or("write KEY=VALUE")?;
        if !key.contains('.') {
            return Err(format!("{key} is no setting; write SECTION.KEY"));
        }
        if !value.is_empty() {
            self.overrides.push((key.into(), value.into()));
        }
        Ok(())
    }

    /// Reads the file and applies the overrides.
    ///
    /// # Errors
    ///
    /// All findings, each with its location.
    pub fn read(&self) -> Result<Settings, Findings> {
        let settings = read(&self.path)?;
        if self.overrides.is_empty() {
            return Ok(settings);
        }
        let settings = apply_overrides(&settings, &self.overrides).map_err(|(key, message)| {
            let mut f = Findings::default();
            f.add(key, message, "correct the --set option");
            f
        })?;
        validate(&settings)?;
        Ok(settings)
    }
}

/// Replaces settings by dotted keys. An error names the key.
fn apply_overrides(
    settings: &Settings,
    overrides: &[(String, String)],
) -> Result<Settings, (String, String)> {
    let mut result = settings.clone();
    for (key, value) in overrides {
        let failed = |e: String| (key.clone(), e);
        let mut root = toml::Table::try_from(&result).map_err(|e| failed(e.to_string()))?;
        let mut table = &mut root;
        let (sections, name) = key.rsplit_once('.').unwrap_or(("", key));
        for section in sections.split('.') {
            let inner = table.get_mut(section).and_then(toml::Value::as_table_mut);
            table = inner.ok_or_else(|| failed("unknown section".into()))?;
        }
        // A value that is no TOML, such as an address, is a string.
        let value = match toml::from_str::<toml::Table>(&format!("x = {value}")) {
            Ok(mut parsed) => parsed.remove("x"),
            Err(_) => None,
        }
        .unwrap_or_else(|| toml::Value::String(value.clone()));
        table.insert(name.to_owned(), value);
        result = root.try_into().map_err(|e| failed(e.to_string()))?;
    }
    Ok(result)
}
