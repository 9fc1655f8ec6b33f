//! Reads the settings file at the start and when it has changed.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::host_settings::HostSettings;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_platform::host_file::decode_settings;

/// Time for which an invalid file is read again at the start. Its writer truncates it first; a host
/// that read the truncated file and gave up would be down until its next start. Writing 2 KB takes
/// less than a millisecond, or some hundred milliseconds on an overloaded machine.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two attempts at the start.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The settings file of this process.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Content as last read, valid or not.
    ///
    /// Changes are detected by the content. Modification times have a resolution of some
    /// milliseconds, so that the second of two writes in quick succession could remain unnoticed.
    text: Vec<u8>,
}

impl SettingsFile {
    /// Reads the settings at the start. Returns `None`, and logs the fault, if they are still
    /// invalid after [`START_RETRY_TIMEOUT`].
    pub async fn open(path: &Path) -> Option<(Self, HostSettings)> {
        let deadline = Instant::now() + START_RETRY_TIMEOUT;
        loop {
            match read(path) {
                Ok((text, settings)) => {
                    let path = path.to_owned();
                    return Some((Self { path, text }, settings));
                }
                Err(fault) if Instant::now() >= deadline => {
                    log_fault(path, &fault);
                    return None;
                }
                Err(_incomplete) => tokio::time::sleep(START_RETRY_INTERVAL).await,
            }
        }
    }

    /// Returns the settings if the content of the file has changed since it was last read. Invalid
    /// content is logged once, and the previous settings stay in force.
    pub fn read_if_changed(&mut self) -> Option<HostSettings> {
        let text = match std::fs::read(&self.path) {
            Ok(text) => text,
            Err(error) => {
                log_fault(&self.path, &error.to_string());
                return None;
            }
        };
        if text == self.text {
            return None;
        }
        self.text = text;
        match decode_settings(&self.text) {
            Ok(settings) => Some(settings),
            Err(fault) => {
                log_fault(&self.path, &fault.to_string());
                None
            }
        }
    }
}

/// Prints the settings and the policy, or their faults, for `--check`. Returns the exit code.
pub fn check(path: &Path, policy: &Result<PolicyConfig, Vec<String>>) -> ExitCode {
    let settings = read(path).map_err(|fault| format!("{}: {fault}", path.display()));
    if let (Ok((_text, settings)), Ok(policy)) = (&settings, policy) {
        println!("{settings:#?}");
        println!("{policy:#?}");
        return ExitCode::SUCCESS;
    }
    let faults = settings.err().into_iter();
    for fault in faults.chain(policy.clone().err().unwrap_or_default()) {
        eprintln!("{fault}");
    }
    exit_code(ResultCode::SettingsInvalid)
}

/// Converts a result code to an exit code.
pub fn exit_code(code: ResultCode) -> ExitCode {
    ExitCode::from(u8::try_from(code.number()).unwrap_or(u8::MAX))
}

/// Reads and decodes the settings file. Returns its content as well.
fn read(path: &Path) -> Result<(Vec<u8>, HostSettings), String> {
    let text = std::fs::read(path).map_err(|error| error.to_string())?;
    let settings = decode_settings(&text).map_err(|fault| fault.to_string())?;
    Ok((text, settings))
}

fn log_fault(path: &Path, fault: &str) {
    let code = ResultCode::SettingsInvalid.number();
    log::error!(code; "settings {}: {fault}", path.display());
}
