//! Starts that have to wait for something.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use crate::support::{config_file, send_signal, settings};

/// A router that may not have started yet; killed when dropped.
struct StartingRouter {
    child: Child,
    lines: Box<dyn Iterator<Item = String>>,
    config_path: PathBuf,
}

impl StartingRouter {
    fn new(config_path: PathBuf) -> StartingRouter {
        let mut child = Command::new(env!("CARGO_BIN_EXE_cache-router"))
            .env("ROUTER_CONFIG", &config_path)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        StartingRouter {
            child,
            lines: Box::new(lines.map_while(Result::ok)),
            config_path,
        }
    }

    fn next_line(&mut self) -> String {
        self.lines.next().expect("a line in the log")
    }

    fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    fn assert_exits_with_success(&mut self) {
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
    }
}

impl Drop for StartingRouter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

fn config(listen: SocketAddr) -> String {
    let settings = settings();
    format!(r#"{{"listen":"{listen}","discovery":"127.0.0.1:1","seed":"1","settings":{settings}}}"#)
}

/// An address on which something listens, as an earlier router that has not ended.
fn held_address() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[test]
fn a_start_waits_for_the_address_that_an_earlier_router_still_holds() {
    let (earlier, address) = held_address();
    let mut router = StartingRouter::new(config_file(&config(address)));
    let waits = router.next_line();
    assert!(
        waits.contains("cannot listen on") && waits.contains("trying again"),
        "{waits}"
    );
    drop(earlier);
    let listens = router.next_line();
    assert!(
        listens.ends_with(&format!("listening on {address}")),
        "{listens}"
    );
}

#[test]
fn a_start_waits_for_a_configuration_that_is_half_written_or_missing() {
    let whole = config(SocketAddr::from(([127, 0, 0, 1], 0)));
    for first in [Some(&whole[..whole.len() / 2]), Some(""), None] {
        let config_path = config_file(first.unwrap_or_default());
        if first.is_none() {
            std::fs::remove_file(&config_path).unwrap();
        }
        let mut router = StartingRouter::new(config_path);
        let waits = router.next_line();
        assert!(waits.contains("trying again"), "{waits}");
        std::fs::write(&router.config_path, &whole).unwrap();
        let listens = router.next_line();
        assert!(listens.contains("listening on"), "{listens}");
    }
}

#[test]
fn a_start_that_waits_survives_sighup_and_ends_in_order_on_sigterm() {
    let (_earlier, address) = held_address();
    let mut router = StartingRouter::new(config_file(&config(address)));
    let waits = router.next_line();
    assert!(waits.contains("trying again"), "{waits}");
    router.signal("HUP");
    router.signal("TERM");
    router.assert_exits_with_success();
}
