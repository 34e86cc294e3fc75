//! A cache server: it stores, and answers reads with a hit or a miss. Requests on a connection are answered in order.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::resp;
use crate::rng::Rng;

/// How a cache server behaves.
#[derive(Clone)]
pub struct Behaviour {
    pub name: String,
    /// Service time in milliseconds, from and to.
    pub service_ms: (f64, f64),
    /// Share of the keys that it lacks.
    pub miss_share: f64,
    /// Share of the answers that come a second time.
    pub second_answers: f64,
    /// How many milliseconds after the first one the second answer comes, from and to.
    pub second_after_ms: (f64, f64),
}

/// Starts a cache server on a free port.
pub fn start(
    behaviour: Behaviour,
    record: Record,
    on_attempt: Arc<dyn Fn(&str, &[Vec<u8>]) + Send + Sync>,
    seed: u64,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let mut connection = 0;
        for stream in listener.incoming().flatten() {
            connection += 1;
            let (behaviour, record) = (behaviour.clone(), record.clone());
            let (on_attempt, rng) = (on_attempt.clone(), Rng::new(seed * 100_003 + connection));
            thread::spawn(move || {
                let _ = serve(stream, connection, &behaviour, &record, &*on_attempt, rng);
            });
        }
    });
    Ok(address)
}

/// The value that a server or the origin makes for a request: it names the key and the request.
pub fn value_for(key: &str, request: &str) -> Vec<u8> {
    format!("value of {key} for {request}").into_bytes()
}

/// Whether the caches hold a key.
fn is_held(key: &str, miss_share: f64) -> bool {
    let hash = key
        .bytes()
        .fold(14_695_981_039_346_656_037u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
        });
    (hash >> 11) as f64 / (1u64 << 53) as f64 >= miss_share
}

fn serve(
    stream: TcpStream,
    connection: u64,
    behaviour: &Behaviour,
    record: &Record,
    on_attempt: &(dyn Fn(&str, &[Vec<u8>]) + Send + Sync),
    mut rng: Rng,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let output = Arc::new(Mutex::new(stream.try_clone()?));
    let mut input = BufReader::new(stream);
    let name = behaviour.name.clone();
    while let Some(words) = resp::read_command(&mut input)? {
        let text = |position: usize| {
            words
                .get(position)
                .map(|word| String::from_utf8_lossy(word).into_owned())
                .unwrap_or_default()
        };
        if text(0) != "OBJ.GET" {
            let answer: &[u8] = if text(0) == "PING" {
                b"+PONG\r\n"
            } else {
                b"-SYNTAX\r\n"
            };
            output.lock().unwrap().write_all(answer)?;
            continue;
        }
        on_attempt(&name, &words);
        let (key, request) = (text(1), text(2));
        record.line(&format!("{name} #{connection} gets {request} {key}"));
        let (from, to) = behaviour.service_ms;
        thread::sleep(Duration::from_secs_f64(rng.between(from, to) / 1e3));
        let answer = if is_held(&key, behaviour.miss_share) {
            resp::hit(&value_for(&key, &request))
        } else {
            resp::MISS.to_vec()
        };
        let comes_twice = rng.unit() < behaviour.second_answers;
        record.line(&format!("{name} #{connection} answers {request}"));
        output.lock().unwrap().write_all(&answer)?;
        if comes_twice {
            let (from, to) = behaviour.second_after_ms;
            let after = Duration::from_secs_f64(rng.between(from, to) / 1e3);
            let (output, record, name) = (output.clone(), record.clone(), name.clone());
            thread::spawn(move || {
                thread::sleep(after);
                record.line(&format!(
                    "{name} #{connection} answers {request} a second time"
                ));
                let _ = output.lock().unwrap().write_all(&answer);
            });
        }
    }
    Ok(())
}
