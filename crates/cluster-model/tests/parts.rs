//! The parts of the world one by one: what each does under load, when it is cold, cut off or overbooked.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::list::{Call, Condition, Line, List, Spec as ListSpec, Told};
use cluster_model::machine::{Machine, Spec as MachineSpec};
use cluster_model::memory::Memory;
use cluster_model::network::{Network, Spec as NetworkSpec};
use cluster_model::origin::{
    Answer as OriginAnswer, Fault, Origin, Spec as OriginSpec, Taken as OriginTaken,
};
use cluster_model::server::{Answer, Ask, Cache, Spec as CacheSpec, Taken};
use cluster_model::{Micros, chance};
use rand::Rng;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Runs a machine until all is done: each job with its time.
fn run(machine: &mut Machine) -> Vec<(u64, Micros)> {
    let mut done = Vec::new();
    while let Some(at) = machine.due() {
        done.extend(machine.finish(at).into_iter().map(|job| (job, at)));
    }
    done
}

#[test]
fn jobs_share_the_cores_and_wait_for_slots_in_turn() {
    let spec = MachineSpec {
        cores: 2.0,
        slots: 4,
        waiting: 1,
        ..MachineSpec::default()
    };
    let mut machine = Machine::new(spec, 0, 0);
    let taken: Vec<_> = (0..6).map(|job| machine.arrive(0, job, 1_000.0)).collect();
    assert_eq!(
        taken,
        [true, true, true, true, true, false],
        "four slots, one place to wait"
    );
    assert_eq!(
        (machine.held(), machine.queued(), machine.busy()),
        (5, 1, 1.0)
    );
    let done = run(&mut machine);
    let at: Vec<_> = done.iter().map(|(_, at)| *at).collect();
    assert!(
        at[..4].iter().all(|at| at.abs_diff(2_000) <= 2),
        "four share two cores: {done:?}"
    );
    assert!(
        done[4].0 == 4 && at[4].abs_diff(3_000) <= 3,
        "the fifth has a core of its own: {done:?}"
    );
}

#[test]
fn work_that_comes_and_goes_changes_when_others_are_done() {
    let mut machine = Machine::new(
        MachineSpec {
            cores: 1.0,
            ..MachineSpec::default()
        },
        0,
        0,
    );
    machine.arrive(0, 1, 1_000.0);
    machine.arrive(500, 2, 250.0);
    assert!(
        run(&mut machine)
            .iter()
            .zip([(2, 1_000), (1, 1_250)])
            .all(|(a, b)| a.0 == b.0 && a.1.abs_diff(b.1) <= 2)
    );
    let crowded = MachineSpec {
        cores: 1.0,
        slots: 10,
        crowd_from: 1.0,
        crowd_loss: 0.5,
        ..MachineSpec::default()
    };
    let mut machine = Machine::new(crowded, 0, 0);
    (0..3).for_each(|job| assert!(machine.arrive(0, job, 100.0)));
    assert!(
        run(&mut machine)[0].1.abs_diff(600) <= 2,
        "three at half efficiency"
    );
    let mut machine = Machine::new(
        MachineSpec {
            cores: 1.0,
            ..MachineSpec::default()
        },
        0,
        0,
    );
    machine.take(0, 0.75);
    machine.arrive(0, 1, 100.0);
    assert!(
        run(&mut machine)[0].1.abs_diff(400) <= 2,
        "a neighbour left a quarter"
    );
}

#[test]
fn a_cold_machine_warms_by_time_and_sooner_by_work() {
    let spec = MachineSpec {
        cores: 1.0,
        cold_share: 0.2,
        warm_up: 10 * SECOND,
        ..MachineSpec::default()
    };
    let idle = Machine::new(spec.clone(), 0, 0);
    assert!((idle.warmth(0) - 0.2).abs() < 1e-9 && (idle.warmth(5 * SECOND) - 0.6).abs() < 1e-9);
    assert_eq!(idle.warmth(20 * SECOND), 1.0);
    let mut busy = Machine::new(
        MachineSpec {
            warm_by_work: 0.5,
            ..spec
        },
        0,
        0,
    );
    for job in 0..100 {
        let at = busy.due().unwrap_or(0);
        busy.finish(at);
        busy.arrive(at, job, 20_000.0);
    }
    let at = busy.due().unwrap();
    busy.finish(at);
    assert!(
        busy.warmth(at) > idle.warmth(at) + 0.2,
        "{} at {at}, {} idle",
        busy.warmth(at),
        idle.warmth(at)
    );
}

#[test]
fn what_is_called_off_leaves_the_waiting_room_but_not_a_slot() {
    let spec = MachineSpec {
        cores: 1.0,
        slots: 1,
        waiting: 2,
        ..MachineSpec::default()
    };
    for drops in [true, false] {
        let mut machine = Machine::new(
            MachineSpec {
                drops_cancelled: drops,
                ..spec.clone()
            },
            0,
            0,
        );
        (0..3).for_each(|job| assert!(machine.arrive(0, job, 100.0)));
        assert_eq!([0, 1].map(|job| machine.cancel(10, job)), [false, drops]);
        assert_eq!(run(&mut machine).len(), if drops { 2 } else { 3 });
    }
}

#[test]
fn a_memory_drops_what_was_used_longest_ago_and_what_is_too_old() {
    let mut memory = Memory::new(100, 10 * SECOND);
    (1..=5).for_each(|key| memory.store(0, key, 20));
    assert!(memory.get(1, 1), "used again");
    memory.store(2, 6, 30);
    assert_eq!(
        [1, 2, 3, 4, 5, 6].map(|key| memory.get(3, key)),
        [true, false, false, true, true, true]
    );
    assert_eq!((memory.used(), memory.len()), (90, 4));
    memory.store(4, 7, 101);
    assert!(
        !memory.get(4, 7) && memory.used() == 90,
        "larger than all the room"
    );
    memory.store(5, 6, 10);
    assert_eq!(memory.used(), 70, "a value in place of the old one");
    assert!(
        !memory.get(10 * SECOND, 1) && memory.used() == 50,
        "void by age"
    );
    memory.drop_key(4);
    assert!(!memory.get(6, 4));
}

fn ask(key: u64, knew: bool) -> Ask {
    Ask {
        key,
        work: 10_000.0,
        knew,
    }
}

#[test]
fn a_cache_answers_what_it_holds_and_lacks_and_turns_away_what_has_no_room_or_comes_to_a_drained_one()
 {
    let machine = MachineSpec {
        cores: 1.0,
        slots: 1,
        waiting: 1,
        ..MachineSpec::default()
    };
    let mut cache = Cache::new(
        CacheSpec {
            machine,
            ..CacheSpec::default()
        },
        0,
        0,
    );
    cache.memory().store(0, 7, 100);
    assert_eq!(cache.arrive(0, 1, ask(7, true)), Taken::Held);
    assert_eq!(cache.arrive(0, 2, ask(8, true)), Taken::Held);
    assert_eq!(
        cache.arrive(0, 3, ask(7, true)),
        Taken::Answered(Answer::Busy)
    );
    let mut answers = Vec::new();
    while let Some(at) = cache.due() {
        answers.extend(
            cache
                .finish(at)
                .into_iter()
                .map(|(job, answer)| (job, answer, at)),
        );
    }
    assert_eq!(answers[0], (1, Answer::Hit, 10_000));
    assert!(
        answers[1].1 == Answer::Miss && answers[1].2.abs_diff(13_000) <= 2,
        "{answers:?}"
    );
    cache.drain();
    assert_eq!(
        cache.arrive(SECOND, 4, ask(7, true)),
        Taken::Answered(Answer::Busy)
    );
    assert!(cache.stop().is_empty() && !cache.up());
    assert_eq!(
        cache.arrive(SECOND, 5, ask(7, true)),
        Taken::Answered(Answer::Refused)
    );
    cache.restart(2 * SECOND);
    assert!(cache.up() && cache.started() == 2 * SECOND && cache.memory().is_empty());
}

/// Sends a cold server, one core and warm after 20 s, so many attempts of 10 ms a second until it falls or is warm.
fn cold(per_second: u64, slack: f64, knew: impl Fn(u64) -> bool) -> Cache {
    let machine = MachineSpec {
        cores: 1.0,
        cold_share: 0.2,
        warm_up: 20 * SECOND,
        slots: 4,
        waiting: 4,
        ..MachineSpec::default()
    };
    let spec = CacheSpec {
        machine,
        fall_multiple: 2.5,
        fall_slack: slack,
        miss_work: 1.0,
        ..CacheSpec::default()
    };
    let mut cache = Cache::new(spec, SECOND, SECOND);
    for job in 0..25 * per_second {
        let now = SECOND + job * SECOND / per_second;
        cache.finish(now);
        if matches!(
            cache.arrive(now, job, ask(job, knew(job))),
            Taken::FellOver(_)
        ) {
            break;
        }
    }
    cache
}

#[test]
fn a_cold_server_falls_when_sent_more_than_its_multiple_for_the_whole_window_and_tells_who_knew() {
    // At its start it can do 20 attempts a second, so that it bears 100 in any two seconds.
    assert_eq!(cold(49, 0.0, |_| true).fall(), None);
    let fall = cold(80, 0.0, |job| job % 4 != 0).fall().expect("falls");
    assert!(
        fall.age < 3 * SECOND && fall.multiple > 2.5 && fall.multiple < 2.6,
        "{fall:?}"
    );
    assert!((fall.knew - 0.75).abs() < 0.02, "{fall:?}");
    assert_eq!(
        cold(52, 200_000.0, |_| true).fall(),
        None,
        "some more for chance"
    );
    let fallen = cold(80, 0.0, |_| true);
    assert!(!fallen.up() && fallen.due().is_none(), "down for good");
}

#[test]
fn a_warm_server_never_falls_and_neither_does_one_that_runs_since_long_ago() {
    let machine = MachineSpec {
        cold_share: 0.1,
        warm_up: SECOND,
        ..MachineSpec::default()
    };
    let spec = CacheSpec {
        machine,
        fall_multiple: 2.0,
        ..CacheSpec::default()
    };
    let mut cache = Cache::new(spec, 0, 5);
    assert!(
        (0..10_000).all(|job| !matches!(cache.arrive(5, job, ask(job, true)), Taken::FellOver(_)))
    );
}

#[test]
fn a_way_may_be_cut_in_one_direction_and_a_message_takes_longer_between_zones() {
    let mut network = Network::new(NetworkSpec {
        jitter: 0.0,
        ..NetworkSpec::default()
    });
    let mut luck = chance(1, 0);
    assert_eq!(network.carry(0, 0, &mut luck), Some(200));
    assert_eq!(network.carry(0, 1, &mut luck), Some(4_000));
    network.cut(0, 1, true);
    assert_eq!(
        (
            network.carry(0, 1, &mut luck),
            network.carry(1, 0, &mut luck)
        ),
        (None, Some(4_000))
    );
    network.isolate(2, 3, true);
    assert_eq!(
        [network.open(2, 2), network.open(2, 0), network.open(1, 2)],
        [true, false, false]
    );
    network.isolate(2, 3, false);
    network.cut(0, 1, false);
    assert!(network.open(0, 1) && network.open(1, 2));
    let lossy = Network::new(NetworkSpec {
        lost: 0.25,
        ..NetworkSpec::default()
    });
    let lost = (0..10_000)
        .filter(|_| lossy.carry(0, 1, &mut luck).is_none())
        .count();
    assert!((2_300..2_700).contains(&lost), "{lost} of 10,000");
}

fn lines(told: &Told) -> (u64, bool, usize) {
    match told {
        Told::Lines {
            version,
            whole,
            lines,
        } => (*version, *whole, lines.len()),
        Told::Failed => panic!("failed"),
    }
}

fn leaving(server: u32) -> Line {
    Line {
        server,
        condition: Condition::Leaving,
        started: 0,
    }
}

#[test]
fn a_watch_resumes_from_the_version_held_or_has_the_whole_list_where_that_is_forgotten() {
    let mut list = List::new(
        ListSpec {
            history: 2,
            ..ListSpec::default()
        },
        1..=5,
    );
    let ask = |list: &mut List, now: Micros, call: Call| {
        assert_eq!(list.call(now, 9, call), None);
        let told = list.work(now + 10 * MS);
        lines(&told[0].1)
    };
    assert_eq!(ask(&mut list, 0, Call::Watch { after: 0 }), (1, true, 5));
    let told = list.change(SECOND, leaving(3));
    assert_eq!(
        (told.len(), told[0].1, lines(&told[0].2)),
        (1, 9, (2, false, 1))
    );
    list.hang_up(9);
    assert!(
        list.change(
            2 * SECOND,
            Line {
                condition: Condition::Left,
                ..leaving(3)
            }
        )
        .is_empty()
    );
    assert_eq!(
        ask(&mut list, 3 * SECOND, Call::Watch { after: 2 }),
        (3, false, 1),
        "what changed since"
    );
    list.change(4 * SECOND, leaving(4));
    assert_eq!(
        ask(&mut list, 5 * SECOND, Call::Watch { after: 1 }),
        (4, true, 4),
        "forgotten"
    );
    assert_eq!(
        ask(&mut list, 6 * SECOND, Call::Watch { after: 4 }),
        (4, false, 0),
        "nothing new"
    );
    assert_eq!(
        ask(&mut list, 7 * SECOND, Call::Watch { after: 99 }),
        (4, true, 4),
        "from another service's life"
    );
    assert_eq!(ask(&mut list, 8 * SECOND, Call::Whole), (4, true, 4));
}

#[test]
fn an_overbooked_service_answers_as_many_as_it_can_in_time_and_fails_the_rest() {
    let mut list = List::new(ListSpec::default(), 1..=5);
    (0..300).for_each(|node| assert_eq!(list.call(0, node, Call::Watch { after: 0 }), None));
    let (mut answered, mut failed, mut last) = (0, 0, 0);
    while let Some(at) = list.due() {
        for (_, told) in list.work(at) {
            *(if told == Told::Failed {
                &mut failed
            } else {
                &mut answered
            }) += 1;
        }
        last = at;
    }
    assert_eq!((answered, failed, last), (200, 100, 2 * SECOND));
}

#[test]
fn when_the_service_goes_down_watches_end_and_calls_fail_and_versions_go_on_afterwards() {
    let mut list = List::new(ListSpec::default(), 1..=5);
    list.call(0, 1, Call::Watch { after: 0 });
    list.work(10 * MS);
    list.call(20 * MS, 2, Call::Whole);
    assert_eq!(
        list.set_up(25 * MS, false),
        [(1, Told::Failed), (2, Told::Failed)]
    );
    assert_eq!(list.call(30 * MS, 1, Call::Whole), Some(Told::Failed));
    assert!(list.change(40 * MS, leaving(2)).is_empty());
    assert!(list.set_up(SECOND, true).is_empty());
    list.call(SECOND, 1, Call::Watch { after: 1 });
    let told = list.work(SECOND + 10 * MS);
    assert_eq!((told[0].0, lines(&told[0].1)), (1, (2, false, 1)));
}

#[test]
fn one_seed_gives_one_history_and_parts_do_not_share_their_chance() {
    let draw = |seed, part| chance(seed, part).random::<u64>();
    assert_eq!(draw(7, 1), draw(7, 1));
    assert!(draw(7, 1) != draw(7, 2) && draw(7, 1) != draw(8, 1));
}

#[test]
fn the_origin_fails_a_part_of_its_calls_late_or_early_and_works_on_for_those_nobody_waits_for() {
    let machine = MachineSpec {
        cores: 2.0,
        slots: 2,
        waiting: 1,
        ..MachineSpec::default()
    };
    let mut origin = Origin::new(
        OriginSpec {
            machine,
            ..OriginSpec::default()
        },
        0,
    );
    let mut draws = chance(1, 1);
    let mut come = |origin: &mut Origin, at, job| origin.arrive(at, job, 10_000.0, &mut draws);
    origin.fail(Some((Fault::Late, 1.0)));
    assert_eq!(come(&mut origin, 0, 1), OriginTaken::Held);
    origin.fail(Some((Fault::Early, 1.0)));
    assert_eq!(
        come(&mut origin, 0, 2),
        OriginTaken::Answered(OriginAnswer::Unprocessed)
    );
    origin.fail(None);
    assert_eq!(come(&mut origin, 0, 3), OriginTaken::Held);
    assert_eq!(come(&mut origin, 0, 4), OriginTaken::Held, "it waits");
    assert_eq!(
        come(&mut origin, 0, 5),
        OriginTaken::Answered(OriginAnswer::Unprocessed),
        "no room"
    );
    assert_eq!(origin.due(), Some(10 * MS));
    assert_eq!(
        origin.finish(10 * MS),
        [(1, OriginAnswer::Failed), (3, OriginAnswer::Done)]
    );
    assert_eq!(origin.finish(20 * MS), [(4, OriginAnswer::Done)]);
}

#[test]
fn an_origin_kept_full_for_too_long_falls_over_and_is_back_and_a_pause_relieves_it() {
    let machine = MachineSpec {
        cores: 1.0,
        slots: 1,
        waiting: 0,
        ..MachineSpec::default()
    };
    let spec = OriginSpec {
        machine,
        fall_after: SECOND,
        relief: 200 * MS,
        back_after: 2 * SECOND,
    };
    let mut origin = Origin::new(spec, 0);
    let mut draws = chance(1, 1);
    let mut come = |origin: &mut Origin, at, job| origin.arrive(at, job, 10_000_000.0, &mut draws);
    let busy = OriginTaken::Answered(OriginAnswer::Unprocessed);
    assert_eq!(come(&mut origin, 0, 1), OriginTaken::Held);
    // Turned away at 0.1 to 0.9 s, then not for 0.3 s: it begins anew.
    (1..=9).for_each(|i| assert_eq!(come(&mut origin, i * 100 * MS, 10 + i), busy));
    (12..=21).for_each(|i| assert_eq!(come(&mut origin, i * 100 * MS, 10 + i), busy));
    assert_eq!(
        come(&mut origin, 2_200 * MS, 99),
        OriginTaken::FellOver(vec![1])
    );
    assert_eq!((origin.falls(), origin.due()), (1, None));
    let refused = OriginTaken::Answered(OriginAnswer::Refused);
    assert_eq!(come(&mut origin, 4_199 * MS, 100), refused);
    assert_eq!(come(&mut origin, 4_200 * MS, 101), OriginTaken::Held);
}
