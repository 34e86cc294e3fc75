//! Startup while the listen address is in use or the configuration is incomplete.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use crate::support::{config_file, send_signal, settings};

/// A router process that may not have finished its startup; killed when dropped.
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

/// An address on which a listener is open, as one of an earlier router that has not exited.
fn address_in_use() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[test]
fn startup_waits_for_an_address_that_an_earlier_router_still_uses() {
    let (earlier, address) = address_in_use();
    let mut router = StartingRouter::new(config_file(&config(address)));
    let retry_line = router.next_line();
    assert!(
        retry_line.contains("cannot listen on") && retry_line.contains("trying again"),
        "{retry_line}"
    );
    drop(earlier);
    let listening_line = router.next_line();
    assert!(
        listening_line.ends_with(&format!("listening on {address}")),
        "{listening_line}"
    );
}

#[test]
fn startup_waits_for_a_configuration_that_is_half_written_or_missing() {
    let complete = config(SocketAddr::from(([127, 0, 0, 1], 0)));
    for first in [Some(&complete[..complete.len() / 2]), Some(""), None] {
        let config_path = config_file(first.unwrap_or_default());
        if first.is_none() {
            std::fs::remove_file(&config_path).unwrap();
        }
        let mut router = StartingRouter::new(config_path);
        let retry_line = router.next_line();
        assert!(retry_line.contains("trying again"), "{retry_line}");
        std::fs::write(&router.config_path, &complete).unwrap();
        let listening_line = router.next_line();
        assert!(listening_line.contains("listening on"), "{listening_line}");
    }
}

#[test]
fn a_waiting_startup_survives_sighup_and_exits_with_success_on_sigterm() {
    let (_earlier, address) = address_in_use();
    let mut router = StartingRouter::new(config_file(&config(address)));
    let retry_line = router.next_line();
    assert!(retry_line.contains("trying again"), "{retry_line}");
    router.signal("HUP");
    router.signal("TERM");
    router.assert_exits_with_success();
}
