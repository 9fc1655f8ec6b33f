//! Tests of the whole path over loopback, in one program so that linking is fast.

mod test_control_plane;
mod test_platform;
mod test_upstream_core;
mod test_whole_path;
