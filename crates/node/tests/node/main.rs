//! One whole node, its ports handed out by the kernel.

mod bad_input;
mod calls;
mod support;
