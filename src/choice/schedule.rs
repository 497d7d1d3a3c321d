//! What is to be done at which time. The tasks of a request go with it, so that requests which have ended leave nothing
//! behind.

use super::*;

/// What is done when a timer fires.
#[derive(Clone, Copy)]
pub(super) enum TimerTask {
    Maintenance,
    Deadline(RequestId),
    AttemptOverdue(RequestId, usize),
    Reselect(RequestId),
}

impl TimerTask {
    /// Returns the request that the task is for.
    fn request(self) -> Option<RequestId> {
        match self {
            TimerTask::Maintenance => None,
            TimerTask::Deadline(id) | TimerTask::AttemptOverdue(id, _) | TimerTask::Reselect(id) => Some(id),
        }
    }
}

/// When a task is due, and its number.
type TaskKey = (Micros, u64);

/// The tasks, in the order in which they are due.
#[derive(Default)]
pub(super) struct Schedule {
    tasks: BTreeMap<TaskKey, TimerTask>,
    by_request: BTreeMap<RequestId, Vec<TaskKey>>,
    last_number: u64,
}

impl Schedule {
    /// Returns true if nothing has ever been scheduled.
    pub(super) fn is_unused(&self) -> bool {
        self.last_number == 0
    }

    /// Adds a task and returns its number.
    pub(super) fn add(&mut self, at: Micros, task: TimerTask) -> u64 {
        self.last_number += 1;
        let key = (at, self.last_number);
        self.tasks.insert(key, task);
        if let Some(id) = task.request() {
            self.by_request.entry(id).or_default().push(key);
        }
        self.last_number
    }

    /// Removes and returns the first task that is due.
    pub(super) fn take_due(&mut self, now: Micros) -> Option<TimerTask> {
        let first = self.tasks.first_entry().filter(|entry| entry.key().0 <= now)?;
        let (key, task) = first.remove_entry();
        if let Some(keys) = task.request().and_then(|id| self.by_request.get_mut(&id)) {
            keys.retain(|other| *other != key);
        }
        Some(task)
    }

    /// Removes the tasks of a request.
    pub(super) fn remove_request(&mut self, id: &RequestId) {
        for key in self.by_request.remove(id).unwrap_or_default() {
            self.tasks.remove(&key);
        }
    }

    /// Returns when the first task is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.tasks.keys().next().map(|(at, _)| *at)
    }
}
