//! Exit of a daemon, with the result code in a log record and as the exit code.

use std::error::Error;
use std::process::ExitCode;

use lagoonproxy::result_code::ResultCode;

/// An error that ends a daemon.
pub trait DaemonError: Error {
    /// The result code of the error.
    fn code(&self) -> ResultCode;
}

impl<'a, E: DaemonError + 'a> From<E> for Box<dyn DaemonError + 'a> {
    fn from(error: E) -> Self {
        Box::new(error)
    }
}

/// Logs the error that ended a daemon, if any, and returns the exit code.
pub fn daemon_exit(result: Result<(), Box<dyn DaemonError>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let number = error.code().number();
            log::error!(code = number; "{error}");
            ExitCode::from(u8::try_from(number).unwrap_or(u8::MAX))
        }
    }
}
