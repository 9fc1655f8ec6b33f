//! The tests of the experiments' worlds, in one program so that linking is fast.

mod test_control_plane;
mod test_flow_cell;
