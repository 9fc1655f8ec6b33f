//! The tests of the command-line client, in one program so that linking is fast.

mod test_check;
mod test_explain;
mod test_hosts;
