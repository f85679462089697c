//! The router's ports on real sockets: bad input, TLS, probes.

mod bad_input;
mod fleet;
mod fuzz;
mod probes;
mod tls;
