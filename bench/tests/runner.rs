//! The tests of the flow directories of a cell, in one program so that linking is fast.

mod test_flow_cell;
