//! One server: a queue, slots, and steps. A step reads a chunk of the prompts in its slots and gives each answer in
//! its batch one token; how long it takes goes by what is in it.

use std::collections::VecDeque;

use milletseam::interface::Micros;

use super::memory::{BlockId, Memory};

/// A job, by the number that whoever sends it has given.
pub type JobId = u64;

/// What a server is like. The defaults are of the order that the deployment reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// It reads prompts; otherwise it writes answers.
    pub reads: bool,
    /// Jobs in work at once.
    pub slots: usize,
    /// Jobs that may wait; one more is turned away.
    pub queue: usize,
    /// Tokens that a step reads at most.
    pub chunk: u64,
    /// Tokens a block.
    pub block: u64,
    /// Blocks of memory.
    pub blocks: usize,
    /// Time of a step with nothing in it.
    pub step: Micros,
    /// Nanoseconds for each token read in it.
    pub read_ns: u64,
    /// Nanoseconds for each answer in it.
    pub answer_ns: u64,
    /// Nanoseconds for each 1,000 tokens of context of its answers.
    pub context_ns: u64,
    /// A state that nobody fetches is let go of after this.
    pub hold: Micros,
}

impl Shape {
    /// A server that reads 20,000 tokens a second.
    pub fn reader() -> Self {
        Shape {
            reads: true,
            slots: 4,
            queue: 64,
            chunk: 2_048,
            block: 64,
            blocks: 3_200,
            step: 2_000,
            read_ns: 50_000,
            answer_ns: 0,
            context_ns: 0,
            hold: 10_000_000,
        }
    }

    /// A server that writes with some 30 ms between tokens.
    pub fn writer() -> Self {
        Shape {
            reads: false,
            slots: 32,
            read_ns: 50_000,
            step: 20_000,
            answer_ns: 200_000,
            context_ns: 100_000,
            blocks: 2_400,
            ..Shape::reader()
        }
    }
}

/// What a server is to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// The prompt's blocks.
    pub text: Vec<BlockId>,
    /// The prompt's length in tokens.
    pub prompt: u64,
    /// The answer's length in tokens; of no matter to a reader.
    pub answer: u64,
    /// When the state that a writer fetches is there.
    pub fetched_at: Micros,
}

/// What goes wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Its process dies: all jobs break and all memory is lost. The next one is there at once.
    Die,
    /// It forgets the texts that nobody uses.
    Forget,
    /// Its steps take this multiple of their time.
    Slow(f64),
}

/// What happens to a server.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A job arrives.
    Arrive(Job),
    /// A job is called off, wherever it is.
    Cancel(JobId),
    /// The state that a job left is let go of.
    Release(JobId),
    /// Time has come to an instant that was asked for.
    Wake,
    /// Something goes wrong.
    Fault(Fault),
}

/// What a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The job is turned away: the queue is full.
    Full(JobId),
    /// The prompt is read; so many of its tokens were kept.
    Read(JobId, u64),
    /// The answer's first token.
    First(JobId),
    /// The answer's end.
    Done(JobId),
    /// The job has broken off.
    Broken(JobId),
}

#[derive(Clone, Debug)]
struct Work {
    job: Job,
    /// Tokens to be read before the next one is written; of a writer only after it was put back.
    unread: u64,
    kept: u64,
    written: u64,
    /// Blocks of a writer's own.
    own: usize,
    /// It has shown its first token.
    begun: bool,
}

impl Work {
    fn context(&self) -> u64 {
        self.job.prompt + self.written
    }
}

/// What a server has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that arrived.
    pub arrived: u64,
    /// Jobs that were turned away.
    pub full: u64,
    /// Tokens that were read.
    pub read: u64,
    /// Tokens that were kept and need not be read.
    pub kept: u64,
    /// Tokens that were written.
    pub written: u64,
    /// Answers that went back into the queue for want of memory.
    pub put_back: u64,
    /// Tokens that were read a second time after that.
    pub read_again: u64,
}

/// A step under way: when it ends, and what it does then.
#[derive(Clone, Debug)]
struct Step {
    until: Micros,
    /// Tokens read, by job.
    reads: Vec<(JobId, u64)>,
    /// The jobs that get a token.
    writes: Vec<JobId>,
}

/// One server.
#[derive(Clone, Debug)]
pub struct Engine {
    shape: Shape,
    memory: Memory,
    queue: VecDeque<Work>,
    /// In work, in the order in which they were let in.
    slots: Vec<Work>,
    /// States that wait to be fetched: until when, and what they hold.
    held: Vec<(Micros, Job)>,
    step: Option<Step>,
    slow: f64,
    counts: Counts,
}

impl Engine {
    /// A server with nothing in it.
    pub fn new(shape: Shape) -> Self {
        let memory = Memory::new(shape.blocks);
        let (queue, slots, held) = (VecDeque::new(), Vec::new(), Vec::new());
        Engine { shape, memory, queue, slots, held, step: None, slow: 1.0, counts: Counts::default() }
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Its memory.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Jobs that wait or are in work.
    pub fn jobs(&self) -> usize {
        self.queue.len() + self.slots.len()
    }

    /// States that wait to be fetched.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Prompt tokens that wait to be read.
    pub fn waiting_tokens(&self) -> u64 {
        self.queue.iter().chain(&self.slots).map(|work| work.unread).sum()
    }

    /// When [`Input::Wake`] is next due.
    pub fn next_due(&self) -> Option<Micros> {
        let step = self.step.as_ref().map(|step| step.until);
        let held = self.held.iter().map(|(until, _)| *until).min();
        let idle = self.step.is_none();
        let fetched = self.slots.iter().filter(|_| idle).map(|work| work.job.fetched_at).min();
        step.into_iter().chain(held).chain(fetched).min()
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Arrive(job) => self.arrive(job, out),
            Input::Cancel(id) => self.cancel(id),
            Input::Release(id) => self.release(|_, job| job.id == id),
            Input::Wake => {
                self.release(|until, _| until <= now);
                if self.step.as_ref().is_some_and(|step| step.until <= now) {
                    self.end_step(now, out);
                }
            }
            Input::Fault(Fault::Die) => {
                out.extend(self.queue.iter().chain(&self.slots).map(|work| Output::Broken(work.job.id)));
                let counts = self.counts;
                *self = Engine { counts, slow: self.slow, ..Engine::new(self.shape.clone()) };
            }
            Input::Fault(Fault::Forget) => self.memory.forget(),
            Input::Fault(Fault::Slow(times)) => self.slow = times.max(0.01),
        }
        self.let_in(now);
        self.begin_step(now);
    }

    fn arrive(&mut self, job: Job, out: &mut Vec<Output>) {
        self.counts.arrived += 1;
        let blocks = job.text.len().max(self.blocks(job.prompt + job.answer));
        if self.queue.len() >= self.shape.queue || blocks > self.shape.blocks {
            self.counts.full += 1;
            return out.push(Output::Full(job.id));
        }
        let unread = if self.shape.reads { job.prompt } else { 0 };
        self.queue.push_back(Work { job, unread, kept: 0, written: 0, own: 0, begun: false });
    }

    fn blocks(&self, tokens: u64) -> usize {
        tokens.div_ceil(self.shape.block.max(1)) as usize
    }

    /// Lets jobs in, first come, first served: who finds no room keeps those behind it waiting.
    fn let_in(&mut self, now: Micros) {
        while self.slots.len() < self.shape.slots {
            let Some(work) = self.queue.front() else { return };
            if self.shape.reads {
                let Some(kept) = self.memory.hold(now, &work.job.text) else { return };
                let Some(mut work) = self.queue.pop_front() else { return };
                work.kept = (kept as u64 * self.shape.block).min(work.job.prompt.saturating_sub(1));
                work.unread = work.job.prompt - work.kept;
                self.counts.kept += work.kept;
                self.slots.push(work);
            } else {
                let own = self.blocks(work.context() + 1);
                if !self.memory.grow(own) {
                    return;
                }
                let Some(mut work) = self.queue.pop_front() else { return };
                work.own = own;
                self.slots.push(work);
            }
        }
    }

    /// Plans a step of what is in the slots, if there is anything to do.
    fn begin_step(&mut self, now: Micros) {
        if self.step.is_some() {
            return;
        }
        let (mut chunk, mut reads, mut writes, mut context) = (self.shape.chunk, Vec::new(), Vec::new(), 0);
        for work in &self.slots {
            if work.unread > 0 {
                let tokens = work.unread.min(chunk);
                chunk -= tokens;
                if tokens > 0 {
                    reads.push((work.job.id, tokens));
                }
            } else if !self.shape.reads && work.job.fetched_at <= now {
                writes.push(work.job.id);
                context += work.context();
            }
        }
        if reads.is_empty() && writes.is_empty() {
            return;
        }
        let read = (self.shape.chunk - chunk) * self.shape.read_ns;
        let written = writes.len() as u64 * self.shape.answer_ns + context * self.shape.context_ns / 1_000;
        let took = (self.shape.step as f64 + (read + written) as f64 / 1e3) * self.slow;
        self.step = Some(Step { until: now + took as Micros, reads, writes });
    }

    fn end_step(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(Step { reads, writes, .. }) = self.step.take() else { return };
        for (id, tokens) in reads {
            let Some(work) = self.slots.iter_mut().find(|work| work.job.id == id) else { continue };
            work.unread = work.unread.saturating_sub(tokens);
            self.counts.read += tokens;
            if !self.shape.reads {
                self.counts.read_again += tokens;
            }
        }
        if self.shape.reads {
            let hold = now + self.shape.hold;
            let all = std::mem::take(&mut self.slots).into_iter();
            let (read, rest): (Vec<Work>, Vec<Work>) = all.partition(|work| work.unread == 0);
            self.slots = rest;
            for work in read {
                out.push(Output::Read(work.job.id, work.kept));
                self.held.push((hold, work.job));
            }
            return;
        }
        for id in writes {
            self.write(id, out);
        }
    }

    /// Gives an answer its next token. Where that wants a block and there is none, the newest answer goes back into
    /// the queue, until there is.
    fn write(&mut self, id: JobId, out: &mut Vec<Output>) {
        let Some(at) = self.slots.iter().position(|work| work.job.id == id) else { return };
        let work = &mut self.slots[at];
        work.written += 1;
        self.counts.written += 1;
        if !std::mem::replace(&mut work.begun, true) {
            out.push(Output::First(id));
        }
        if work.written >= work.job.answer {
            let work = self.slots.remove(at);
            self.memory.shrink(work.own);
            return out.push(Output::Done(id));
        }
        let wanted = self.blocks(self.slots[at].context() + 1);
        while self.slots.iter().any(|work| work.job.id == id && work.own < wanted) {
            if self.memory.grow(1) {
                if let Some(work) = self.slots.iter_mut().find(|work| work.job.id == id) {
                    work.own += 1;
                }
            } else {
                self.put_back();
            }
        }
    }

    /// The newest answer gives its blocks back, waits at the head of the queue, and is then read anew.
    fn put_back(&mut self) {
        let Some(mut work) = self.slots.pop() else { return };
        self.memory.shrink(work.own);
        self.counts.put_back += 1;
        (work.own, work.unread) = (0, work.context());
        self.queue.push_front(work);
    }

    fn cancel(&mut self, id: JobId) {
        self.queue.retain(|work| work.job.id != id);
        if let Some(at) = self.slots.iter().position(|work| work.job.id == id) {
            let work = self.slots.remove(at);
            match self.shape.reads {
                true => self.memory.release(&work.job.text),
                false => self.memory.shrink(work.own),
            }
        }
        self.release(|_, job| job.id == id);
    }

    fn release(&mut self, wanted: impl Fn(Micros, &Job) -> bool) {
        let all = std::mem::take(&mut self.held).into_iter();
        let (gone, rest): (Vec<_>, Vec<_>) = all.partition(|(at, job)| wanted(*at, job));
        self.held = rest;
        for (_, job) in gone {
            self.memory.release(&job.text);
        }
    }
}

impl Engine {
    /// Whether it reads prompts.
    pub fn reads(&self) -> bool {
        self.shape.reads
    }

    /// Whether the state that a job left waits to be fetched.
    pub fn holds(&self, id: JobId) -> bool {
        self.held.iter().any(|(_, job)| job.id == id)
    }
}
