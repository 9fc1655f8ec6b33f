//! Logging as JSON lines on standard error. A record about a result code has its number as `code`.

use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::record::LevelFilter;

/// Writes the records of the `log` crate to standard error, one JSON object per line.
pub fn init() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(logforth::record::Level::Info))
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}
