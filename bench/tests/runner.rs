//! Tests of the simulated environments, built as one program to reduce link time.

mod test_control_plane;
mod test_flow_cell;
