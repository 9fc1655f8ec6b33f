//! Reads the settings file, at the start, on request and when it changes on its own.

use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::host_settings::HostSettings;
use lagoonproxy_platform::host_file::decode_settings;

use crate::host_state::HostState;

/// Reads the settings; says in the log why if that fails.
pub fn read_settings(path: &Path) -> Option<HostSettings> {
    let code = ResultCode::SettingsInvalid.number();
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) => {
            log::error!(code; "settings {}: {error}", path.display());
            return None;
        }
    };
    match decode_settings(&text) {
        Ok(settings) => Some(settings),
        Err(fault) => {
            log::error!(code; "settings {}: {fault}", path.display());
            None
        }
    }
}

/// Checks the settings for an operator.
pub fn check(path: &Path) -> ExitCode {
    let fault = match std::fs::read(path) {
        Ok(text) => match decode_settings(&text) {
            Ok(settings) => {
                println!("{settings:#?}");
                return ExitCode::SUCCESS;
            }
            Err(fault) => fault.to_string(),
        },
        Err(error) => error.to_string(),
    };
    eprintln!("{}: {fault}", path.display());
    exit_code(ResultCode::SettingsInvalid)
}

/// The number of a result as an exit code.
pub fn exit_code(code: ResultCode) -> ExitCode {
    ExitCode::from(u8::try_from(code.number()).unwrap_or(u8::MAX))
}

/// Puts changed settings in force; faulty ones are left out, and those of before hold.
pub fn reload(state: &HostState, path: &Path) {
    let Some(settings) = read_settings(path) else {
        return;
    };
    if settings != **state.settings.borrow() {
        log::info!(store:% = settings.store_address, seeds = settings.seed_peers.len(); "settings reloaded");
        state.core.borrow_mut().reload(&settings);
        *state.settings.borrow_mut() = Rc::new(settings);
    }
}
