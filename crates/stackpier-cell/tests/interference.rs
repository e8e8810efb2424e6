// SPDX-License-Identifier: Apache-2.0
//! The interference model of image pairs, and its effect on best-effort tasks.

mod common;

use common::{Owner, spec, step};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use stackpier_cell::{
    cycle::{Curve, Cycle},
    interference::{self, Estimate, Images, Model, Pressure},
};
use stackpier_core::Millis;
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::{State, Step};

/// serving_step returns a step of long-running tasks with a tail-latency target of 20 ms.
fn serving_step(count: u32) -> Step {
    Step {
        long_running: true,
        target_ms: 20,
        image: "serving".to_owned(),
        ..step(count)
    }
}

fn best_effort_step(count: u32) -> Step {
    Step {
        best_effort: true,
        checkpointing: true,
        image: "filling".to_owned(),
        estimate_ms: 8_000,
        ..step(count)
    }
}

/// count_working_runs returns how many runs of job 2, the best-effort one, are at work on the
/// first worker.
fn count_working_runs(owner: &Owner) -> usize {
    let runs = owner.workers[0].runs.iter();
    let best_effort = runs.filter(|run| run.task.job.0 == 2);
    best_effort.filter(|run| run.is_working()).count()
}

/// set_tail_latency makes the tasks of a job serve with the given tail latency.
fn set_tail_latency(owner: &mut Owner, job: u64, tail_ms: u32) {
    let size = step(1).size;
    let behaviour = Behaviour {
        size,
        long_running: true,
        tail_ms: Some(tail_ms),
        ..Behaviour::default()
    };
    owner.behaviours.insert((job, 0), behaviour);
}

#[test]
fn best_effort_tasks_are_paused_or_moved_before_harm_counts() {
    let mut owner = Owner::new(1);
    set_tail_latency(&mut owner, 1, 60);
    owner.submit(1, spec(vec![serving_step(1)]));
    owner.submit(2, spec(vec![best_effort_step(3)]));
    owner.advance(4_000);
    assert_eq!(
        count_working_runs(&owner),
        0,
        "the serving task has been over its target for seconds"
    );
}

/// Guards against harm that is never counted: a single noisy sample just below the target
/// restarted the time for which the task counts as over it.
#[test]
fn a_sample_just_below_the_target_does_not_end_the_harm() {
    let mut owner = Owner::new(1);
    set_tail_latency(&mut owner, 1, 24);
    owner.submit(1, spec(vec![serving_step(1)]));
    owner.submit(2, spec(vec![best_effort_step(3)]));
    for tail_ms in [24, 24, 19, 24, 24, 19, 24, 24, 24] {
        owner.workers[0].set_tail(tail_ms);
        owner.advance(450);
    }
    assert_eq!(
        count_working_runs(&owner),
        0,
        "all but two samples were over the target"
    );
}

/// Samples are noisy: one far below the target, among others above it, does not show that the
/// task has recovered.
#[test]
fn a_single_low_sample_does_not_end_the_harm() {
    let mut owner = Owner::new(1);
    set_tail_latency(&mut owner, 1, 24);
    owner.submit(1, spec(vec![serving_step(1)]));
    owner.submit(2, spec(vec![best_effort_step(3)]));
    for tail_ms in [24, 24, 12, 24, 24, 12, 24, 24, 24] {
        owner.workers[0].set_tail(tail_ms);
        owner.advance(450);
    }
    assert_eq!(
        count_working_runs(&owner),
        0,
        "the task has been over its target"
    );
}

#[test]
fn best_effort_tasks_continue_beside_a_serving_task_within_its_target() {
    let mut owner = Owner::new(1);
    set_tail_latency(&mut owner, 1, 4);
    owner.submit(1, spec(vec![serving_step(1)]));
    owner.submit(2, spec(vec![best_effort_step(3)]));
    owner.advance(10_000);
    assert_eq!(owner.state(2), Some(State::Completed));
    assert_eq!(owner.places(2, 0).len(), 3, "none was moved");
}

/// The model distinguishes a pair with an effect from one without, though the serving task's
/// own load is known only roughly.
#[test]
fn the_model_distinguishes_harmful_pairs_from_harmless_ones() {
    let mut images = Images::default();
    let (serving, harmful, harmless) = (
        images.key("serving"),
        images.key("harmful"),
        images.key("harmless"),
    );
    let mut model = Model::new(interference::Options::default());
    let mut random = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..120 {
        let own = random.random_range(0.3..0.5);
        let cores = [harmful, harmless].map(|image| Pressure {
            image,
            cores: f64::from(random.random_range(0..4)),
        });
        let expected = Estimate {
            mean: 0.4,
            variance: 0.003,
        };
        let load = own + 0.07 * cores[0].cores;
        model.observe(serving, load, expected, &cores);
    }
    let (high, low) = (model.pair(serving, harmful), model.pair(serving, harmless));
    assert!((high.mean - 0.07).abs() < 0.01, "{high:?}");
    assert!(low.mean.abs() < 0.01, "{low:?}");
}

/// A sample at the limit may stand for any load above it, so it is no evidence that the tasks
/// beside it have less effect than the model has learnt.
#[test]
fn a_sample_at_the_limit_does_not_lower_a_coefficient() {
    let mut images = Images::default();
    let (serving, filling) = (images.key("serving"), images.key("filling"));
    let mut model = Model::new(interference::Options::default());
    let learnt = Estimate {
        mean: 0.2,
        variance: 0.001,
    };
    let beside = [Pressure {
        image: filling,
        cores: 5.0,
    }];
    let own = Estimate {
        mean: 0.5,
        variance: 0.002,
    };
    for load in [interference::LOAD_LIMIT, 0.95] {
        let before = model.pair(serving, filling);
        model.observe(serving, load, own, &beside);
        let after = model.pair(serving, filling).mean;
        assert!(after >= before.mean, "{after} after a load of {load}");
    }
    for _ in 0..20 {
        model.observe(serving, 0.5 + 5.0 * learnt.mean - 0.6, own, &beside);
    }
    assert!(model.pair(serving, filling).mean > 0.05);
}

/// A load is derived from a tail latency as in a queue: half of the task's capacity at twice the
/// unloaded tail latency, five sixths at the target.
#[test]
fn a_load_is_derived_from_a_tail_latency() {
    assert!((interference::load(20, 60) - 0.5).abs() < 1e-9);
    assert!((interference::load(60, 60) - interference::LOAD_AT_TARGET).abs() < 1e-9);
    assert_eq!(
        interference::load(0, 60),
        0.0,
        "below the unloaded tail latency"
    );
    assert_eq!(interference::load(60_000, 60), interference::LOAD_LIMIT);
    assert_eq!(interference::load(60, 0), interference::LOAD_LIMIT);
}

/// For steps with the same period and different phases, the period is found and the own load of
/// each is predicted.
#[test]
fn the_periodic_load_of_each_step_is_predicted() {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let own = |step: usize, at_ms: u64| {
        let angle = std::f64::consts::TAU * at_ms as f64 / 10_000.0 + step as f64;
        0.48 + 0.24 * angle.sin()
    };
    let mut cycle = Cycle::default();
    let mut curves: Vec<Curve> = (0..6).map(|_| Curve::default()).collect();
    for at_ms in (0..15_000).step_by(300) {
        for (step, curve) in curves.iter_mut().enumerate() {
            let value = Estimate {
                mean: own(step, at_ms) + random.random_range(-0.06..0.06),
                variance: 0.004,
            };
            curve.observe(&mut cycle, Millis(at_ms), value);
        }
    }
    assert!(
        (cycle.period_s() - 10.0).abs() < 0.6,
        "{}",
        cycle.period_s()
    );
    for (step, curve) in curves.iter().enumerate() {
        for ahead_ms in [300, 1_200, 2_400] {
            let at_ms = 15_000 + ahead_ms;
            let expected = curve.expect(&cycle, Millis(at_ms));
            let error = (expected.mean - own(step, at_ms)).abs();
            assert!(error < 0.07, "step {step}, {ahead_ms} ms ahead: {error}");
            assert!(expected.variance < 0.01, "{expected:?}");
        }
    }
}

/// A prediction without any samples has a large variance.
#[test]
fn an_unknown_load_is_uncertain() {
    let expected = Curve::default().expect(&Cycle::default(), Millis(1_000));
    assert!(expected.variance > 0.02, "{expected:?}");
}

/// Scores that don't fit the periods of this version are ignored.
#[test]
fn scores_of_other_periods_are_ignored() {
    let mut cycle = Cycle::default();
    cycle.set_scores(&[1.0, 2.0]);
    assert_eq!(cycle, Cycle::default());
    let broken = vec![f64::NAN; cycle.scores().len()];
    cycle.set_scores(&broken);
    assert_eq!(cycle, Cycle::default());
}

/// Best-effort tasks are slowed down according to the predicted load of the serving task, before
/// that has been over its target for long enough that all of them are paused.
#[test]
fn best_effort_tasks_are_slowed_before_a_task_is_over_its_target_for_long() {
    let mut owner = Owner::new(1);
    set_tail_latency(&mut owner, 1, 6);
    owner.submit(1, spec(vec![serving_step(1)]));
    owner.advance(2_000);
    let mut large = best_effort_step(2);
    large.size.milli_cores = 3_000;
    owner.submit(2, spec(vec![large]));
    owner.workers[0].set_tail(23);
    owner.advance(1_900);
    let best_effort = owner.workers[0].runs.iter();
    let paces: Vec<u8> = best_effort
        .filter(|run| run.task.job.0 == 2)
        .map(|run| run.pace)
        .collect();
    assert!(paces.iter().any(|pace| *pace < 100), "{paces:?}");
}

/// Guards against a new owner that knows no pair: a third of all serving tasks were over their
/// targets.
#[test]
fn a_successor_takes_over_the_model() {
    let mut owner = Owner::new(1);
    set_tail_latency(&mut owner, 1, 12);
    owner.submit(1, spec(vec![serving_step(2)]));
    owner.submit(2, spec(vec![best_effort_step(2)]));
    owner.advance(6_000);
    owner.submit(3, spec(vec![step(1)]));
    owner.advance(2_000);
    let mut saved = owner.saves.iter().filter_map(|save| save.memory.clone());
    let memory = saved.next_back().expect("the model was not saved");
    assert_eq!(memory.serving[0].image, "serving");
    assert_eq!(memory.serving[0].pairs[0].0, "filling");
    let mut successor = Owner::new(1);
    successor.cell.restore_model(&memory);
    successor.submit(3, spec(vec![serving_step(1)]));
    successor.advance(3_000);
    successor.submit(4, spec(vec![step(1)]));
    successor.advance(2_000);
    let mut saved = successor
        .saves
        .iter()
        .filter_map(|save| save.memory.clone());
    let again = saved.next_back().expect("the model was not saved again");
    assert_eq!(again.serving[0].image, "serving");
    assert_eq!(again.serving[0].pairs, memory.serving[0].pairs);
}

/// A pace order that gets no answer, or that another order overtook, is sent again: at its old
/// pace the task would harm the serving task beside it.
#[rstest]
#[case::unanswered(true)]
#[case::overtaken(false)]
fn a_pace_order_that_was_not_carried_out_is_sent_again(#[case] unanswered: bool) {
    let mut owner = Owner::new(1);
    set_tail_latency(&mut owner, 1, 8);
    owner.submit(1, spec(vec![serving_step(1)]));
    let long = Step {
        estimate_ms: 60_000,
        checkpointing: false,
        ..best_effort_step(1)
    };
    owner.submit(2, spec(vec![long]));
    owner.advance(5_000);
    owner.workers[0].set_tail(60);
    owner.lose_paces = usize::from(unanswered);
    owner.advance(5_000);
    if !unanswered {
        let mut runs = owner.workers[0].runs.iter_mut();
        let run = runs
            .find(|run| run.task.job.0 == 2)
            .expect("job 2 has no run");
        run.pace = 100;
        owner.advance(3_000);
    }
    assert_eq!(count_working_runs(&owner), 0);
}
