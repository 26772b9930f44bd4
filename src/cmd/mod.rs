//! Subcommands, one module each.

pub mod check;
pub mod client;
pub mod commit;
pub mod dev;
pub mod devbackend;
pub mod devstore;
pub mod explain;
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

/// Exit codes shared by all subcommands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Exit code of a command that returns no error.
    Ok = 0,
    /// Any other failure.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The input or the operation was refused; the message gives the findings or the reason.
    Refused = 3,
    /// A concurrent commit or planned stop was accepted first.
    Conflict = 4,
    /// The outcome is unknown; running the same command again determines it.
    Unknown = 5,
    /// The node or the store cannot be reached.
    Unavailable = 6,
    /// The command timed out; the operation that it started continues.
    TimedOut = 7,
}

impl Exit {
    /// Name of the exit code in machine-readable output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Failed => "failed",
            Self::Usage => "usage",
            Self::Refused => "refused",
            Self::Conflict => "conflict",
            Self::Unknown => "unknown",
            Self::Unavailable => "unavailable",
            Self::TimedOut => "late",
        }
    }
}

/// Failure of a command: its exit code and the message to print.
#[derive(Debug)]
pub struct CmdError {
    /// Exit code of the process.
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

/// Returns an error with this exit code and message.
pub fn fail<T, M>(exit: Exit, message: M) -> CmdResult<T>
where
    M: Into<String>,
{
    Err(Report::new(CmdError {
        exit,
        message: message.into(),
    }))
}

/// Converts an error of the argument parser into a [`Exit::Usage`] error.
pub fn usage(e: lexopt::Error) -> Report<CmdError> {
    Report::new(CmdError {
        exit: Exit::Usage,
        message: format!("{e}; see --help"),
    })
}

/// Parses the command line of a command whose only argument is a path. Prints the usage text and returns `None` for
/// `--help`. `name` is the argument's name in the usage text.
///
/// # Errors
///
/// [`Exit::Usage`] when the path is missing or there are other arguments.
pub fn parse_path(
    mut parser: lexopt::Parser,
    usage_text: &str,
    name: &str,
) -> CmdResult<Option<PathBuf>> {
    use lexopt::Arg::{Long, Short, Value};
    let mut path = None;
    while let Some(arg) = parser.next().map_err(usage)? {
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

/// Returns an error that lists the findings of an input file, one per line.
pub fn fail_findings<T>(path: &Path, findings: &Findings) -> CmdResult<T> {
    let lines: Vec<_> = findings
        .items
        .iter()
        .map(|finding| format!("{}: {finding}", path.display()))
        .collect();
    fail(Exit::Refused, lines.join("\n"))
}

/// Reads and validates a manifest file.
///
/// # Errors
///
/// [`Exit::Failed`] when the file cannot be read, [`Exit::Refused`] with all findings when it is not valid.
pub fn read_manifest(path: &Path) -> CmdResult<Manifest> {
    let text = std::fs::read_to_string(path).or_else(|e| {
        let message = format!(
            "{}: {e}; give the path of a readable manifest file",
            path.display()
        );
        fail(Exit::Failed, message)
    })?;
    manifest::parse(&text).or_else(|findings| fail_findings(path, &findings))
}

/// Runs a future to its end on a new runtime with this number of worker threads; 0 and 1 use the current thread.
pub fn block_on<F, T>(threads: usize, future: F) -> CmdResult<T>
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
        Ok(rt) => rt.block_on(future),
        Err(e) => fail(Exit::Failed, format!("cannot start the runtime: {e}")),
    }
}
