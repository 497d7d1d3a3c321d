//! Who decides in a run: the real core, or a baseline. Each takes and gives the core's own events, so that nothing
//! else of a run differs.

pub mod plain;

use milletseam::interface::{Micros, SettingsError};
use milletseam::routing::{Core, Input, Output};

pub use plain::{Pick, Plain};

/// One conductor.
pub trait Conductor {
    /// Takes one event.
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>);
    /// Runs the timers that are due.
    fn tick(&mut self, now: Micros, out: &mut Vec<Output>);
    /// When that is next.
    fn next_due(&self) -> Option<Micros>;
}

impl Conductor for Core {
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        Core::handle(self, now, input, out);
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        Core::tick(self, now, out);
    }

    fn next_due(&self) -> Option<Micros> {
        Core::next_due(self)
    }
}

/// A policy by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The decision module in the real core.
    Module,
    /// A baseline.
    Plain(Pick),
}

impl Policy {
    /// All of them, the module first.
    pub const ALL: [Policy; 5] = [
        Policy::Module,
        Policy::Plain(Pick::LeastOutstanding),
        Policy::Plain(Pick::StickySession),
        Policy::Plain(Pick::RoundRobin),
        Policy::Plain(Pick::Random),
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Module => "module",
            Policy::Plain(Pick::LeastOutstanding) => "least outstanding",
            Policy::Plain(Pick::StickySession) => "sticky session",
            Policy::Plain(Pick::RoundRobin) => "round robin",
            Policy::Plain(Pick::Random) => "random",
        }
    }

    /// A conductor that decides so.
    pub fn conductor(
        self,
        settings: &milletseam::interface::Settings,
        seed: u64,
    ) -> Result<Box<dyn Conductor>, SettingsError> {
        Ok(match self {
            Policy::Module => {
                let mut core = Core::default();
                core.add_pool(settings.clone(), seed, 0)?;
                Box::new(core)
            }
            Policy::Plain(pick) => Box::new(Plain::new(settings.clone(), pick, seed)),
        })
    }
}
