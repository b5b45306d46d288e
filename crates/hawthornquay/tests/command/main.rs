//! Tests of the command `hawthornquay`, which runs as a process against stand-ins.

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
