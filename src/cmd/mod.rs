//! Subcommands, one file each.

pub mod check;
pub mod client;
pub mod commit;
pub mod dev;
pub mod devbackend;
pub mod devstore;
pub mod load;
pub mod node;
pub mod quarantine;
pub mod sidecar;
pub mod status;
pub mod stop;

use std::fmt;
use std::path::{Path, PathBuf};

use error_stack::Report;

use crate::findings::Findings;
use crate::version::manifest::{self, Manifest};

/// Exit codes of all subcommands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Ok = 0,
    /// Any other failure.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The input was refused; the findings say why.
    Refused = 3,
    /// Another commit or plan came first.
    Conflict = 4,
    /// The outcome is unknown; the same command run again finds it.
    Unknown = 5,
    /// A service that the command needs cannot be reached.
    Unavailable = 6,
    /// The time that the command was given ran out; what it started goes on.
    Late = 7,
}

impl Exit {
    /// Label for machine-readable output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Failed => "failed",
            Self::Usage => "usage",
            Self::Refused => "refused",
            Self::Conflict => "conflict",
            Self::Unknown => "unknown",
            Self::Unavailable => "unavailable",
            Self::Late => "late",
        }
    }
}

/// A failed command: its exit code and what to print.
#[derive(Debug)]
pub struct CmdError {
    /// Exit code.
    pub exit: Exit,
    /// What went wrong, where, and what to do.
    pub message: String,
}

impl fmt::Display for CmdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CmdError {}

/// Result of a subcommand.
pub type CmdResult<T = ()> = Result<T, Report<CmdError>>;

/// A failure with this exit code and message.
pub fn fail<T, M>(exit: Exit, message: M) -> CmdResult<T>
where
    M: Into<String>,
{
    Err(Report::new(CmdError {
        exit,
        message: message.into(),
    }))
}

/// Maps an error of the argument parser.
pub fn usage(e: lexopt::Error) -> Report<CmdError> {
    Report::new(CmdError {
        exit: Exit::Usage,
        message: format!("{e}; see --help"),
    })
}

/// Reads the only argument of a command, a path; `None` after the usage text was asked for and printed. `name` is the
/// argument's name in the usage text.
///
/// # Errors
///
/// [`Exit::Usage`] when the argument is missing or followed by others.
pub fn only_path(
    mut args: lexopt::Parser,
    usage_text: &str,
    name: &str,
) -> CmdResult<Option<PathBuf>> {
    use lexopt::Arg::{Long, Short, Value};
    let mut path = None;
    while let Some(arg) = args.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => {
                print!("{usage_text}");
                return Ok(None);
            }
            Value(v) if path.is_none() => path = Some(PathBuf::from(v)),
            other => return Err(usage(other.unexpected())),
        }
    }
    match path {
        Some(path) => Ok(Some(path)),
        None => fail(Exit::Usage, format!("{name} is missing; see --help")),
    }
}

/// Reports the findings of an input file.
pub fn refused<T>(path: &Path, f: &Findings) -> CmdResult<T> {
    let lines: Vec<_> = f
        .items
        .iter()
        .map(|x| format!("{}: {x}", path.display()))
        .collect();
    fail(Exit::Refused, lines.join("\n"))
}

/// Reads and checks a manifest file.
///
/// # Errors
///
/// [`Exit::Failed`] when the file cannot be read, [`Exit::Refused`] with all findings.
pub fn read_manifest(path: &Path) -> CmdResult<Manifest> {
    let text = std::fs::read_to_string(path).or_else(|e| {
        let message = format!("{}: {e}; name a readable manifest file", path.display());
        fail(Exit::Failed, message)
    })?;
    manifest::parse(&text).or_else(|f| refused(path, &f))
}

/// Runs a future on a runtime with this number of threads.
pub fn block_on<F, T>(threads: usize, f: F) -> CmdResult<T>
where
    F: std::future::Future<Output = CmdResult<T>>,
{
    let rt = match threads {
        0 | 1 => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build(),
        n => tokio::runtime::Builder::new_multi_thread()
            .worker_threads(n)
            .enable_all()
            .build(),
    };
    match rt {
        Ok(rt) => rt.block_on(f),
        Err(e) => fail(Exit::Failed, format!("cannot start the runtime: {e}")),
    }
}
