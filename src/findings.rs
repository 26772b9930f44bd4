//! Findings: problems in an input, each with its place, collected and reported together.

use std::fmt;

/// One problem, the place where it stands and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path of the offending item, such as `route[2].service`.
    pub place: String,
    /// What is wrong.
    pub message: String,
    /// What to change.
    pub remedy: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.message, self.remedy)
    }
}

/// All problems found in one input. It is an error only when it is not empty.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// The problems, in the order of the input.
    pub items: Vec<Finding>,
}

impl Findings {
    /// Records one problem.
    pub fn add<P, M, R>(&mut self, place: P, message: M, remedy: R)
    where
        P: Into<String>,
        M: Into<String>,
        R: Into<String>,
    {
        self.items.push(Finding {
            place: place.into(),
            message: message.into(),
            remedy: remedy.into(),
        });
    }

    /// Returns `value` when nothing was found.
    ///
    /// # Errors
    ///
    /// The findings themselves, when there is at least one.
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
