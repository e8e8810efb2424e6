// SPDX-License-Identifier: Apache-2.0
//! Claims, stops and releases that wait for the store.

use super::*;

/// shard returns the shard of the tasks.
fn shard() -> u16 {
    stackpier_core::key::shard(Job(7), owner::Options::default().shards)
}

fn home(index: u32, stop: bool) -> Home {
    let claim = Claim {
        rack: name("rack-0"),
        worker: name("worker-0"),
        stop,
    };
    Home {
        place: Place::Claimed(claim),
        ..Home::new(work(index))
    }
}

/// claims returns a placer's message. `here` are all runs that are claimed at
/// its revision.
fn claims(revision: u64, claimed: Vec<Home>, released: Vec<u32>, here: &[u32]) -> Claims {
    Claims {
        shard: shard(),
        rack: name("rack-0"),
        revision: Revision(revision),
        claimed,
        released: released.into_iter().map(run).collect(),
        sum: claims_sum(here.iter().map(|index| run(*index))),
    }
}

/// cut_off_owner returns an owner that has just lost the store, with `runs` runs.
/// Homes can't be read after the outage either, so that it has only the messages.
fn cut_off_owner(runs: u32) -> World {
    let mut world = World::new(owner());
    let key = Key::Rack(name("rack-0"));
    world
        .pages
        .insert(key, (Revision(1), Page::Rack(rack(runs))));
    world.advance(1_000);
    world.down = true;
    world.homes_down = true;
    world
}

impl World {
    fn tell(&mut self, claims: Claims) {
        self.step(Event::Hint(Hint::Claims(claims)));
    }

    fn backlog(&self) -> usize {
        let Machine::Owner(owner) = &self.machine else {
            panic!("not an owner")
        };
        owner.backlog()
    }

    fn phase(&self, index: u32) -> Option<Phase> {
        self.rack_page().row(run(index)).map(|row| row.phase)
    }

    fn rack_page(&self) -> &Rack {
        match self.pages.get(&Key::Rack(name("rack-0"))) {
            Some((_, Page::Rack(page))) => page,
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against an owner that keeps each message while the store is away: one
/// for each change and sweep of each placer.
#[test]
fn unwritten_claims_are_bounded_by_shards_and_runs() {
    const MESSAGES: u64 = 456;
    const RUNS: u32 = 3;
    const SHARDS: u16 = 2;
    let mut world = cut_off_owner(0);
    for number in 0..MESSAGES {
        let stop = number > MESSAGES / 2;
        let claimed = (0..RUNS).map(|index| home(index, stop)).collect();
        world.tell(claims(10 + number, claimed, vec![RUNS], &[]));
        world.tell(Claims {
            shard: shard() + 1,
            ..claims(10 + number, Vec::new(), Vec::new(), &[])
        });
        world.advance(130);
    }
    let most = usize::from(SHARDS) + 2 * (RUNS as usize + 1);
    assert!(world.backlog() <= most, "{} held", world.backlog());
}

/// Guards against claims, stops and releases that are lost because a later
/// message does not repeat them, in whatever order the messages arrive.
#[rstest]
fn no_claim_stop_or_release_is_lost_in_an_outage(
    #[values([0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1])] order: [usize; 4],
) {
    let mut world = cut_off_owner(2);
    world.ended = vec![Ended {
        run: run(0),
        outcome: Outcome::Finished,
    }];
    let messages = [
        claims(5, vec![home(2, false)], vec![], &[0, 1, 2]),
        claims(6, vec![], vec![0], &[1, 2]),
        claims(7, vec![home(1, true)], vec![], &[1, 2]),
        claims(8, vec![home(3, false)], vec![], &[1, 2, 3]),
    ];
    for number in order {
        world.tell(messages[number].clone());
        world.advance(1_000);
    }
    world.down = false;
    world.advance(MAX_PAUSE_MS + 200);
    assert_eq!(world.phase(0), None, "run 0 is still there");
    assert_eq!(world.rack_page().settled_by(shard()), Revision(6));
    assert_eq!(world.phase(1), Some(Phase::Stopping));
    assert_eq!(world.phase(2), Some(Phase::Running));
    assert_eq!(world.phase(3), Some(Phase::Running));
    assert_eq!(world.backlog(), 0);
}

/// Guards against a run that starts twice: a claim older than the revision by
/// which its ended row was dropped must not be accepted with a later message.
#[test]
fn claim_is_not_renewed_by_a_later_message() {
    let mut world = cut_off_owner(0);
    world.tell(claims(5, vec![home(0, false)], vec![], &[0]));
    // The swap that would have written the first message fails.
    world.advance(500);
    world.tell(claims(7, vec![home(1, false)], vec![], &[1]));
    let mut page = rack(1);
    page.end(run(0), Outcome::Finished);
    page.drop_rows(shard(), Revision(6), |row| row.run == run(0));
    let key = Key::Rack(name("rack-0"));
    world.pages.insert(key, (Revision(9), Page::Rack(page)));
    world.down = false;
    world.advance(MAX_PAUSE_MS + 200);
    assert_eq!(world.phase(0), None, "the run started again");
    assert_eq!(world.phase(1), Some(Phase::Running));
}
