//! Logs as JSON lines on standard error; a record about a result has its number as `code`.

use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::record::LevelFilter;

/// Sends the records of `log` to standard error, a JSON object a line.
pub fn init() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(logforth::record::Level::Info))
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}
