//! Tests of the command `hawthornquay`, run as a process against stand-ins.

mod accept;
mod audit;
mod daemon;
mod explain;
mod files;
mod fleet;
mod instance;
mod relay;
mod show;
mod store;
mod tls;
mod workplace;
