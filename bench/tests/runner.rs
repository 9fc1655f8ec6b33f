//! Stories of the control plane in the experiment's world, in one program so that linking is fast.

mod test_control_plane;
