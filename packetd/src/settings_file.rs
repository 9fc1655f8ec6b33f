//! Reads the settings file, at the start, on request and when it changes on its own.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::host_settings::HostSettings;
use lagoonproxy_packet::policy_config::PolicyConfig;
use lagoonproxy_platform::host_file::decode_settings;

/// How long a file that cannot be read is tried again at the start. Whoever writes it empties it
/// first; a host that reads it then and gives up at once is away until it is started again.
/// Writing 2 KB takes less than a millisecond, and some hundred on a machine without time to spare.
const START_PATIENCE: Duration = Duration::from_secs(1);

/// Pause between two tries at the start.
const START_PAUSE: Duration = Duration::from_millis(20);

/// The settings file of this process.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// What was read last, whether it could be used or not.
    ///
    /// Compared whole: a file's time of change has steps of some milliseconds, and a file that is
    /// written twice within one looks unchanged for good.
    text: Vec<u8>,
}

impl SettingsFile {
    /// Reads the settings at the start; `None` if they stay faulty, which the log explains.
    pub async fn open(path: &Path) -> Option<(Self, HostSettings)> {
        let give_up = Instant::now() + START_PATIENCE;
        loop {
            match read(path) {
                Ok((text, settings)) => {
                    let path = path.to_owned();
                    return Some((Self { path, text }, settings));
                }
                Err(fault) if Instant::now() >= give_up => {
                    report(path, &fault);
                    return None;
                }
                Err(_half_written) => tokio::time::sleep(START_PAUSE).await,
            }
        }
    }

    /// The settings if the file says something else than when it was read last. A fault is logged
    /// once, and the settings of before hold.
    pub fn changed(&mut self) -> Option<HostSettings> {
        let text = match std::fs::read(&self.path) {
            Ok(text) => text,
            Err(error) => {
                report(&self.path, &error.to_string());
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
                report(&self.path, &fault.to_string());
                None
            }
        }
    }
}

/// Checks the settings, and the policy as it was read, for an operator.
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

/// The number of a result as an exit code.
pub fn exit_code(code: ResultCode) -> ExitCode {
    ExitCode::from(u8::try_from(code.number()).unwrap_or(u8::MAX))
}

fn read(path: &Path) -> Result<(Vec<u8>, HostSettings), String> {
    let text = std::fs::read(path).map_err(|error| error.to_string())?;
    let settings = decode_settings(&text).map_err(|fault| fault.to_string())?;
    Ok((text, settings))
}

fn report(path: &Path, fault: &str) {
    let code = ResultCode::SettingsInvalid.number();
    log::error!(code; "settings {}: {fault}", path.display());
}
