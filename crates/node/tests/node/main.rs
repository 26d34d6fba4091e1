//! Tests of one complete node; the kernel chooses its ports.

mod bad_input;
mod calls;
mod fetch;
mod support;
