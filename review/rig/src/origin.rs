//! The origin, over HTTP/1.1. It has some places for work; a call that finds none is answered with 503 and
//! `X-Unprocessed: 1`, and has not run.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::rng::Rng;
use crate::server::value_for;

#[derive(Clone)]
pub struct Behaviour {
    pub places: usize,
    pub service_ms: (f64, f64),
    /// Share of the answers that come a second time.
    pub second_answers: f64,
    pub second_after_ms: (f64, f64),
}

/// How often each write has run, by the id of the request.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

pub fn start(
    behaviour: Behaviour,
    record: Record,
    runs: Runs,
    seed: u64,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let busy = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        let mut connection = 0;
        for stream in listener.incoming().flatten() {
            connection += 1;
            let (behaviour, record) = (behaviour.clone(), record.clone());
            let (runs, busy) = (runs.clone(), busy.clone());
            let rng = Rng::new(seed * 1_000_003 + connection);
            thread::spawn(move || {
                let _ = serve(stream, connection, &behaviour, &record, &runs, &busy, rng);
            });
        }
    });
    Ok(address)
}

fn serve(
    stream: TcpStream,
    connection: u64,
    behaviour: &Behaviour,
    record: &Record,
    runs: &Runs,
    busy: &AtomicUsize,
    mut rng: Rng,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let output = Arc::new(Mutex::new(stream.try_clone()?));
    let mut input = BufReader::new(stream);
    while let Some(request) = http::read_request(&mut input)? {
        let id = request.header("x-correlation-id").to_string();
        let key = request.target.trim_start_matches('/').to_string();
        let method = &request.method;
        record.line(&format!("origin #{connection} gets {id} {method} {key}"));
        let has_place = busy.fetch_add(1, Ordering::SeqCst) < behaviour.places;
        let answer = if has_place {
            if method == "PUT" {
                let mut runs = runs.lock().unwrap();
                let count = runs.entry(id.clone()).or_insert(0);
                *count += 1;
                record.line(&format!("origin #{connection} runs {id}, time {count}"));
            }
            let (from, to) = behaviour.service_ms;
            thread::sleep(Duration::from_secs_f64(rng.between(from, to) / 1e3));
            let value = if method == "PUT" {
                format!("receipt of {key} for {id}").into_bytes()
            } else {
                value_for(&key, &id)
            };
            http::response("200 OK", "", &value)
        } else {
            http::response("503 Service Unavailable", "X-Unprocessed: 1\r\n", b"")
        };
        busy.fetch_sub(1, Ordering::SeqCst);
        let status = if has_place { "200" } else { "503 never ran" };
        record.line(&format!("origin #{connection} answers {id} {status}"));
        output.lock().unwrap().write_all(&answer)?;
        if rng.unit() < behaviour.second_answers {
            let (from, to) = behaviour.second_after_ms;
            let after = Duration::from_secs_f64(rng.between(from, to) / 1e3);
            let (output, record, id) = (output.clone(), record.clone(), id.clone());
            thread::spawn(move || {
                thread::sleep(after);
                record.line(&format!(
                    "origin #{connection} answers {id} {status} a second time"
                ));
                let _ = output.lock().unwrap().write_all(&answer);
            });
        }
    }
    Ok(())
}
