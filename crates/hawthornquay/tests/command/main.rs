//! Tests of the command `hawthornquay`, run as a process against stand-ins.

mod accept;
mod files;
mod relay;
mod store;
mod tls;
mod workplace;
