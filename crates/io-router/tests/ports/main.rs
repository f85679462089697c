//! The router's ports on real sockets: invalid input, TLS and probes.

mod bad_input;
mod fleet;
mod fuzz;
mod probes;
mod tls;
