//! Tests of the stand-ins and of the whole path over loopback. All are in one program, which links
//! faster than several.

mod test_control_plane;
mod test_platform;
mod test_upstream_core;
mod test_whole_path;
