//! Findings: the problems in an input, each with its location, collected so that all are reported at once.

use std::fmt;

/// A problem in an input: where it is, what is wrong and what to change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path of the offending item, such as `route[2].service`.
    pub location: String,
    /// What is wrong.
    pub message: String,
    /// What to change.
    pub hint: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.location, self.message, self.hint)
    }
}

/// All problems found in one input; an error only if there is at least one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// Problems in the order in which they were found.
    pub items: Vec<Finding>,
}

impl Findings {
    /// Records one problem.
    pub fn add<L, M, H>(&mut self, location: L, message: M, hint: H)
    where
        L: Into<String>,
        M: Into<String>,
        H: Into<String>,
    {
        self.items.push(Finding {
            location: location.into(),
            message: message.into(),
            hint: hint.into(),
        });
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// The findings, if there is at least one.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        match self.items.is_empty() {
            true => Ok(value),
            false => Err(self),
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, x) in self.items.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            x.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
