//! Test binary of `lagoonctl`. All tests are linked into one binary to save build time.

mod test_check;
mod test_explain;
mod test_hosts;
