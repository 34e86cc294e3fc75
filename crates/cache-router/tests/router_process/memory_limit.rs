//! The resident memory of a router at its peak while hundreds of clients hold all that they can at once: commands and
//! replies, and also what is small and counts by the number of connections. Each test guards against a router that the
//! platform kills for its memory.

use std::io::Write;
use std::net::TcpStream;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use crate::crowd::{Fleet, Limits, long_reads, long_write, pending_commands, read, try_connect};
use crate::memory::{
    IN_USE, KIB_PER_MIB, LEAST_MEMORY_MB, VALUE_BYTES, connect_writers, watch_memory,
};
use crate::support::{RouterProcess, peak_kib, wait_until};

/// The least memory and the most descriptors.
const LIMITS: Limits = Limits {
    memory_mb: LEAST_MEMORY_MB,
    sockets: 1_024,
};
/// Clients that write in small pieces behind a pending request.
const PIECEMEAL_CLIENTS: usize = 330;
/// Clients that read none of their long replies.
const STALLED_READERS: usize = 60;
/// Clients that stop half way through a long write. All clients together leave the slots reserved for rejections.
const HALF_WAY_CLIENTS: usize = 50;
/// A piece of a command.
const PIECE: &[u8] = b"*1\r\n$3\r\n";
/// How often the piecemeal clients write a piece: together nearly as much as is read ahead without a reservation.
const PIECES: usize = 1_000;
/// The pause between two pieces, longer than the time in which a router takes them for one arrival.
const PIECE_PAUSE: Duration = Duration::from_millis(4);

/// How many reads in a row are served where service goes on.
const SERVED_IN_A_ROW: usize = 30;

fn assert_peak_within_limit(router: &RouterProcess) {
    let limit = LEAST_MEMORY_MB * KIB_PER_MIB;
    let peak = peak_kib(router.id());
    let log = router.log.try_iter();
    let by_holder = log.filter(|line| line.contains("memory of the process"));
    println!("peak of {peak} KiB of {limit}; {:?}", by_holder.last());
    assert!(peak <= limit, "peak of {peak} KiB of {limit}");
}

/// Checks that reads of short values are answered in time, and some of them with their value.
fn assert_reads_are_served(router: &RouterProcess) {
    let (_, served) = watch_memory(router);
    println!("{served} reads were served");
    assert!(served > 0, "no read was served");
}

/// Connects clients with a request that stays pending, as many other commands as may be pending, and unread input that
/// arrives in small pieces.
fn connect_piecemeal_clients(router: &RouterProcess) -> Vec<TcpStream> {
    let mut clients = connect_writers(router, PIECEMEAL_CLIENTS, &pending_commands());
    for _ in 0..PIECES {
        for client in &mut clients {
            let _ = client.write(PIECE);
        }
        thread::sleep(PIECE_PAUSE);
    }
    clients
}

fn connect_stalled_readers(router: &RouterProcess) -> Vec<TcpStream> {
    connect_writers(router, STALLED_READERS, &long_reads())
}

fn connect_half_way_clients(router: &RouterProcess) -> Vec<TcpStream> {
    let write = long_write();
    connect_writers(router, HALF_WAY_CLIENTS, &write[..write.len() - 1])
}

/// Connects clients that hold all that they can. They stay connected until they are dropped.
fn connect_all_kinds(router: &RouterProcess) -> [Vec<TcpStream>; 3] {
    [
        connect_piecemeal_clients(router),
        connect_stalled_readers(router),
        connect_half_way_clients(router),
    ]
}

#[test]
fn all_that_hundreds_of_clients_hold_at_once_stays_within_the_least_memory() {
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::start(LIMITS);
    let _clients = connect_all_kinds(&fleet.router);
    assert_peak_within_limit(&fleet.router);
    assert_reads_are_served(&fleet.router);
}

#[test]
fn all_that_hundreds_of_clients_hold_stays_within_the_memory_in_a_reload() {
    const RELOADS: usize = 5;
    const BETWEEN_RELOADS: Duration = Duration::from_millis(50);
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::start(LIMITS);
    let _piecemeal = connect_piecemeal_clients(&fleet.router);
    for _ in 0..RELOADS {
        fleet.router.signal("HUP");
        thread::sleep(BETWEEN_RELOADS);
    }
    let _others = [
        connect_stalled_readers(&fleet.router),
        connect_half_way_clients(&fleet.router),
    ];
    assert_peak_within_limit(&fleet.router);
    assert_reads_are_served(&fleet.router);
}

#[test]
fn all_that_hundreds_of_clients_hold_stays_within_the_memory_in_a_shutdown() {
    /// Clients go on to connect for so long after the signal.
    const LATE_CLIENTS: usize = 40;
    const BETWEEN_CLIENTS: Duration = Duration::from_millis(5);
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = Fleet::start(LIMITS);
    let _clients = connect_all_kinds(&fleet.router);
    fleet.router.terminate();
    let write = long_write();
    let mut late_clients = Vec::new();
    for _ in 0..LATE_CLIENTS {
        late_clients.extend(try_connect(fleet.router.address));
        for client in &mut late_clients {
            let _ = client.write(&write);
        }
        thread::sleep(BETWEEN_CLIENTS);
    }
    assert_peak_within_limit(&fleet.router);
    fleet.router.assert_exits_with_success();
}

#[test]
fn clients_that_all_come_back_at_once_after_a_restart_stay_within_the_memory() {
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = Fleet::start(LIMITS);
    fleet.router.signal("KILL");
    fleet.restart();
    let mut clients = Vec::new();
    for commands in [pending_commands(), long_reads(), long_write(), long_write()] {
        clients.push(connect_writers(
            &fleet.router,
            HALF_WAY_CLIENTS * 2,
            &commands[..commands.len() - 1],
        ));
    }
    assert_peak_within_limit(&fleet.router);
    drop(clients);
    assert_reads_are_served(&fleet.router);
}

#[test]
fn a_long_value_is_served_beside_clients_whose_values_wait_behind_a_pending_reply() {
    // Guards against values that hold all memory for replies until the requests before them end.
    const CLIENTS: usize = 24;
    const LONG_READS: usize = 12;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::start(LIMITS);
    let long_reads = (0..LONG_READS).flat_map(|id| read("b", id));
    let commands: Vec<u8> = read("h", 1).into_iter().chain(long_reads).collect();
    let _clients = connect_writers(&fleet.router, CLIENTS, &commands);
    let long_value = "v".repeat(VALUE_BYTES);
    let mut served_in_a_row = 0;
    wait_until("long values are served", || {
        let reply = fleet.router.client().execute(&read("b", 1));
        let is_served = reply.is_some_and(|reply| reply == long_value);
        served_in_a_row = if is_served { served_in_a_row + 1 } else { 0 };
        served_in_a_row == SERVED_IN_A_ROW
    });
}
