//! Ends a daemon with a log record and an exit code that name the numbered result.

use std::error::Error;
use std::process::ExitCode;

use lagoonproxy::result_code::ResultCode;

/// An error that ends a daemon.
pub trait DaemonError: Error {
    /// The numbered result.
    fn code(&self) -> ResultCode;
}

impl<'a, E: DaemonError + 'a> From<E> for Box<dyn DaemonError + 'a> {
    fn from(error: E) -> Self {
        Box::new(error)
    }
}

/// Logs how a daemon ended and gives its exit code.
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
