// SPDX-License-Identifier: Apache-2.0
//! A pool of threads that wait for the answers of upstreams. A caller's thread
//! can give up at its deadline, and the slot at the upstream is still released
//! when the answer comes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use flume::{Receiver, Sender};

/// Job is a blocking operation for a thread of a [`Pool`].
pub trait Job: Send + 'static {
    /// run carries out the job.
    fn run(self);
}

/// Pool runs jobs on threads. It starts a new one when none is idle.
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
    /// run queues a job for a thread. The pool sets no limit on concurrent jobs:
    /// the limit on callers' requests bounds them.
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
        // If no thread can be started, the job waits for an existing one.
        drop(started);
    }
}
