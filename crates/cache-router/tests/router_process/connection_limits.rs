//! Routers that have no sockets left.

use crate::support::{Behaviour, Cluster, StartOptions, cache_server, command, hit, read};

#[test]
fn a_router_without_free_descriptors_goes_on_and_serves_once_there_are_some() {
    let cache = cache_server(|words| Behaviour::Respond(hit(&words[1])));
    // The platform allows fewer than the configuration says.
    let options = StartOptions {
        shell_command: "ulimit -n 24;",
        ..StartOptions::default()
    };
    let cluster = Cluster::with_cache_and_options(cache, options);
    let clients: Vec<_> = (0..60).map(|_| cluster.client()).collect();
    drop(clients);
    assert_eq!(cluster.client().ask(&read("aa", "1")).unwrap(), "aa");
}

#[test]
fn without_free_sockets_the_longest_idle_client_is_closed_for_a_new_one() {
    let cache = cache_server(|words| Behaviour::Respond(hit(&words[1])));
    let cluster = Cluster::with_cache_and_options(cache, StartOptions::with_sockets(64));
    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut client = cluster.client();
        assert!(
            client.finds_router_ready(),
            "accepted, though all others stay"
        );
        clients.push(client);
    }
    assert_eq!(clients[0].reply(), None, "the longest idle one is closed");
}

#[test]
fn without_free_sockets_or_idle_clients_a_new_request_is_rejected_at_once() {
    // Found in a run at full size with 128 sockets: requests that waited for a socket were lost.
    let cache = cache_server(|_| Behaviour::Hang);
    let cluster = Cluster::with_cache_and_options(cache, StartOptions::with_sockets(64));
    let long_read = command(&["OBJ.GET", "aa", "1", "c=read,t=acme,d=60000"]);
    // More than there are sockets that are not reserved for rejections.
    let mut busy: Vec<_> = (0..23).map(|_| cluster.client()).collect();
    for client in &mut busy {
        client.send(&long_read);
    }
    for _ in 0..20 {
        let mut late = cluster.client();
        assert_eq!(late.ask(&long_read).unwrap(), "-BUSY");
        assert_eq!(late.reply(), None, "its socket is free again");
    }
}
