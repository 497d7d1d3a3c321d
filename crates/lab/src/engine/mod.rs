//! A model of one server: steps with chunked reading and a batch of answers, memory in blocks with kept texts,
//! eviction by age, slots and a queue, and what goes wrong with it. No I/O and no clock: input and time in, output
//! out. It never knows who asks, nor why.

pub mod memory;
pub mod server;

pub use memory::{BlockId, Memory};
pub use server::{Engine, Fault, Input, Job, JobId, Output, Shape};
