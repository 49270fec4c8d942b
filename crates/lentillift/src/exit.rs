//! Exit codes, which scripts rely on.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// It succeeded.
    Done,
    /// It found faults or failed, or a wait timed out.
    Failed,
    /// The command line is wrong.
    Usage,
    /// A process could not be reached.
    Unreachable,
}

/// The exit codes, for `--help`.
pub(crate) const HELP: &str = "\
Exit codes:
  0  done
  1  faults were found, or what was waited for did not come
  2  the command line is wrong
  3  a process could not be reached
";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
        })
    }
}
