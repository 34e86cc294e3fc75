//! The memory that one connection holds without a reservation. It counts as often as there are connections, so each test
//! guards against a router that many connections together take over its limit.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cache_router::client_connection::output::ClientOutput;
use cache_router::client_connection::reply_queue::ReplyQueue;
use cache_router::client_connection::{CLIENT_CONNECTION_BYTES, MAX_PIPELINED};
use cache_router::memory_budget::MemoryReservation;
use cache_router::message::{ClientReply, Reply};
use cache_router::response_buffer::MAX_UNRESERVED_VALUE_BYTES;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::support::{Harness, connected, get};

/// The least memory that a deployment gives, in bytes.
const LEAST_MEMORY: usize = 32 * 1024 * 1024;
/// How many client connections a router with the most descriptors accepts.
const MAX_CONNECTIONS: usize = 504;
/// What one connection may hold without a reservation, in bytes: all together a quarter of the least memory.
const MAX_UNRESERVED: usize = LEAST_MEMORY / 4 / MAX_CONNECTIONS;
/// A short value, in bytes.
const SHORT_VALUE_BYTES: usize = 32;
/// Longer than the time in which input counts as one arrival, by the clock of the machine.
const BETWEEN_ARRIVALS: Duration = Duration::from_micros(1_200);

/// Follows the memory that is held without a reservation.
struct Watch {
    harness: Harness,
    most: usize,
    /// Memory for requests and replies that is in use by others.
    _reserved: Vec<MemoryReservation>,
}

impl Watch {
    /// Connects a client whose requests and replies can reserve memory.
    async fn connect() -> (TcpStream, Watch) {
        let (client, harness) = connected().await;
        let watch = Watch {
            harness,
            most: 0,
            _reserved: Vec::new(),
        };
        (client, watch)
    }

    /// Connects a client while all memory for requests and replies is in use by others.
    async fn connect_without_memory() -> (TcpStream, Watch) {
        let (client, harness) = connected().await;
        let budgets = [
            &harness.context.request_memory,
            &harness.context.reply_memory,
        ];
        let reserved = budgets.map(|budget| budget.try_reserve(budget.limit()).unwrap());
        let watch = Watch {
            harness,
            most: 0,
            _reserved: reserved.into(),
        };
        (client, watch)
    }

    /// Waits, and looks at the memory meanwhile.
    async fn wait(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            tokio::time::sleep(Duration::from_millis(1)).await;
            self.most = self.most.max(self.harness.context.memory_usage.total());
        }
    }

    fn assert_within_bound(&self) {
        println!("{} of {MAX_UNRESERVED} bytes", self.most);
        assert!(self.most <= MAX_UNRESERVED, "{} bytes", self.most);
        assert!(self.most <= CLIENT_CONNECTION_BYTES, "{} bytes", self.most);
    }
}

/// A reply with a value.
fn value_reply(sequence: u64, length: usize) -> ClientReply {
    ClientReply {
        sequence,
        reply: Reply::Value(Bytes::from(vec![b'v'; length])),
    }
}

#[tokio::test(start_paused = true)]
async fn commands_in_small_pieces_behind_a_pending_request_take_a_bounded_part_of_the_memory() {
    const PIECE: &[u8] = b"*1\r\n$3\r\n";
    /// Together less than is read ahead without a reservation.
    const PIECES: usize = 1_000;
    let (mut client, mut watch) = Watch::connect_without_memory().await;
    client.write_all(&get(1)).await.unwrap();
    let _pending = watch.harness.next_requests(1).await;
    for _ in 1..MAX_PIPELINED {
        client.write_all(b"*1\r\n$3\r\nFOO\r\n").await.unwrap();
    }
    watch.wait(5).await;
    for _ in 0..PIECES {
        client.write_all(PIECE).await.unwrap();
        std::thread::sleep(BETWEEN_ARRIVALS);
        watch.wait(2).await;
    }
    watch.assert_within_bound();
}

#[tokio::test(start_paused = true)]
async fn a_command_that_stops_at_any_length_takes_a_bounded_part_of_the_memory() {
    let (mut client, mut watch) = Watch::connect_without_memory().await;
    client
        .write_all(b"*2\r\n$7\r\nOBJ.SET\r\n$65536\r\n")
        .await
        .unwrap();
    for _ in 0..64 {
        client.write_all(&[b'v'; 1_000]).await.unwrap();
        watch.wait(3).await;
    }
    watch.assert_within_bound();
}

#[test]
fn short_values_between_long_ones_that_are_not_read_take_a_bounded_part_of_the_memory() {
    let slots = Arc::new(Semaphore::new(MAX_PIPELINED));
    let mut replies = ReplyQueue::default();
    for number in 0..MAX_PIPELINED {
        let permit = slots.clone().try_acquire_owned().unwrap();
        let sequence = replies.reserve(permit);
        // Every third value is one byte longer than those whose memory is not reserved.
        let length = match number % 3 {
            2 => MAX_UNRESERVED_VALUE_BYTES + 1,
            _ => MAX_UNRESERVED_VALUE_BYTES - 50,
        };
        replies.fill(value_reply(sequence, length));
    }
    let mut output = ClientOutput::default();
    output.take_ready(&mut replies);
    let held = output.unreserved_bytes();
    assert!(held <= MAX_UNRESERVED / 2, "{held} bytes");
}

#[tokio::test(start_paused = true)]
async fn replies_behind_a_pending_one_take_a_bounded_part_of_the_memory() {
    let (mut client, mut watch) = Watch::connect().await;
    for id in 0..MAX_PIPELINED {
        client.write_all(&get(id)).await.unwrap();
    }
    let requests = watch.harness.next_requests(MAX_PIPELINED).await;
    for request in &requests[1..] {
        let reply = value_reply(request.sequence, SHORT_VALUE_BYTES);
        request.replies.send(reply).await.unwrap();
        watch.wait(1).await;
    }
    watch.assert_within_bound();
}
