// SPDX-License-Identifier: Apache-2.0
//! Threads that wait for upstreams, so that a caller's thread can give up at
//! its deadline and the slot is still given back when the answer comes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use flume::{Receiver, Sender};

/// Job is a piece of blocking work.
pub trait Job: Send + 'static {
    /// run does the work.
    fn run(self);
}

/// Pool runs jobs on threads that it starts as they are needed.
pub struct Pool<J> {
    queue: Sender<J>,
    jobs: Receiver<J>,
    idle: Arc<AtomicUsize>,
}

impl<J: Job> Default for Pool<J> {
    fn default() -> Self {
        let (queue, jobs) = flume::unbounded();
        Pool {
            queue,
            jobs,
            idle: Arc::default(),
        }
    }
}

impl<J: Job> Pool<J> {
    /// run hands a job to a thread. The count of jobs at once is bounded by
    /// the callers' requests.
    pub fn run(&self, job: J) {
        let reserved = self
            .idle
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |idle| {
                idle.checked_sub(1)
            });
        if reserved.is_err() {
            self.spawn_thread();
        }
        let _ = self.queue.send(job);
    }

    fn spawn_thread(&self) {
        let jobs = self.jobs.clone();
        let idle = Arc::clone(&self.idle);
        let thread = thread::Builder::new().name("sender".to_owned());
        let started = thread.spawn(move || {
            for job in jobs {
                job.run();
                idle.fetch_add(1, Ordering::SeqCst);
            }
        });
        // Without a new thread the job waits for one of those there are.
        drop(started);
    }
}
