//! Routers that have used up their file descriptors or sockets.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::bulk_clients::OtherClient;
use crate::crowd::{self, Fleet, Limits, long_write};
use crate::support::{Behaviour, Client, Cluster, StartOptions, cache_server, command, hit, read};

#[test]
fn a_router_that_runs_out_of_descriptors_serves_again_when_some_are_free() {
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    // The platform allows fewer descriptors than the configuration states.
    let options = StartOptions {
        shell_command: "ulimit -n 24;",
        ..StartOptions::default()
    };
    let cluster = Cluster::with_cache_and_options(cache, options);
    let clients: Vec<_> = (0..60).map(|_| cluster.client()).collect();
    drop(clients);
    assert_eq!(cluster.client().execute(&read("aa", "1")).unwrap(), "aa");
}

#[test]
fn without_free_sockets_the_longest_idle_client_is_closed_for_a_new_one() {
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    let cluster = Cluster::with_cache_and_options(cache, StartOptions::with_sockets(64));
    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut client = cluster.client();
        assert!(
            client.is_router_ready(),
            "accepted while all others stay connected"
        );
        clients.push(client);
    }
    assert_eq!(
        clients[0].reply(),
        None,
        "the longest idle client is closed"
    );
}

#[test]
fn without_free_sockets_or_idle_clients_a_new_request_is_rejected_at_once() {
    // Guards against lost requests: in a run at full size with 128 sockets, requests that waited for a socket were
    // lost.
    let cache = cache_server(|_| Behaviour::Hang);
    let cluster = Cluster::with_cache_and_options(cache, StartOptions::with_sockets(64));
    let long_read = command(&["OBJ.GET", "aa", "1", "c=read,t=acme,d=60000"]);
    // More clients than there are sockets that are not reserved for rejections.
    let mut busy: Vec<_> = (0..23).map(|_| cluster.client()).collect();
    for client in &mut busy {
        client.send(&long_read);
    }
    for _ in 0..20 {
        let mut new_client = cluster.client();
        assert_eq!(new_client.execute(&long_read).unwrap(), "-BUSY");
        assert_eq!(new_client.reply(), None, "its socket is freed");
    }
}

#[test]
fn others_are_answered_though_clients_that_send_nothing_have_taken_all_slots() {
    // Guards against requests that wait unread until the silent clients have used up the time for their first command.
    const SILENT_CLIENTS: usize = 160;
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    // It has 120 slots for clients.
    let cluster = Cluster::with_cache_and_options(cache, StartOptions::with_sockets(256));
    let _silent: Vec<_> = (0..SILENT_CLIENTS).map(|_| cluster.client()).collect();
    OtherClient::run(&cluster).assert_answered_in_time();
}

#[test]
fn reads_are_served_while_more_clients_than_slots_stop_half_way_and_come_back() {
    // Guards against clients with half a request that keep all slots from others, also after they are closed.
    const SOCKETS: usize = 256;
    const HALF_WAY_CLIENTS: usize = 200;
    const PLAYED: Duration = Duration::from_secs(6);
    /// A tenth of what one client is served in this time without the others.
    const LEAST_SERVED: usize = 50;
    const PAUSE: Duration = Duration::from_millis(10);
    let limits = Limits {
        memory_mb: 32,
        sockets: SOCKETS,
    };
    let fleet = Fleet::start(limits);
    let address = fleet.router.address;
    let is_over = AtomicBool::new(false);
    let write = long_write();
    let half = &write[..write.len() / 2];
    let mut served = 0;
    thread::scope(|scope| {
        for _ in 0..HALF_WAY_CLIENTS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let Some(mut client) = Client::try_connect(address) else {
                        continue;
                    };
                    let _ = client.output.set_read_timeout(Some(PLAYED));
                    let _ = client.try_execute(half);
                }
            });
        }
        let end = Instant::now() + PLAYED;
        let mut connection = None;
        while Instant::now() < end {
            let client: &mut Client = connection.get_or_insert_with(|| fleet.router.client());
            let _ = client.output.set_read_timeout(Some(PLAYED));
            match client.try_execute(&crowd::read("aa", 1)) {
                Some(reply) => served += usize::from(reply == "short"),
                None => connection = None,
            }
            thread::sleep(PAUSE);
        }
        is_over.store(true, Ordering::Relaxed);
        fleet.router.signal("KILL");
    });
    println!("{served} reads were served");
    assert!(served >= LEAST_SERVED, "{served} reads were served");
}
