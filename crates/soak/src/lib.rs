//! Fault injection for birchspur on real processes. Stand-ins for servers and discovery are processes of this tool, so
//! that a stopped one hangs as a real one does; a proxy before each server knows how far every call is; the rules are
//! judged from what clients, servers and proxies recorded, never from the program's own word.

pub mod cell;
pub mod client;
pub mod crowd;
pub mod gate;
pub mod http;
pub mod matrix;
pub mod oracle;
pub mod play;
pub mod record;
pub mod stand_in;
pub mod world;
