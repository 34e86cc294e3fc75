//! A client's connection, driven by hand in paused time.

use super::*;

/// What is round a client's connection: its inputs to the node, the places, and where the node stands.
struct Around {
    inputs: mpsc::Receiver<RouterEvent>,
    front: Arc<Frontend>,
    phase: watch::Sender<LifecyclePhase>,
}

/// A connection to a session of its own.
async fn connected() -> (TcpStream, Around) {
    let (hub, inputs) = mpsc::channel(16);
    let (set_phase, phase) = watch::channel(LifecyclePhase::Ready);
    let deployment = routing_policy::settings::read(br#"{"classes":[{"name":"read"}]}"#).unwrap();
    let front = Arc::new(Frontend {
        deployment: Arc::new(deployment),
        clock: Clock::start(),
        hub,
        phase,
        room: Arc::new(Semaphore::new(4)),
        refusals: 1,
        resting: Arc::default(),
        open: Arc::new(Semaphore::new(1_024)),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(listen(listener, front.clone()));
    let stream = TcpStream::connect(address).await.unwrap();
    // What the machine holds back would come in real time, which does not pass here.
    stream.set_nodelay(true).unwrap();
    (
        stream,
        Around {
            inputs,
            front,
            phase: set_phase,
        },
    )
}

/// How long until the node closes a connection.
async fn closed_after(stream: &mut TcpStream) -> Duration {
    let (since, mut sink) = (Instant::now(), [0; 256]);
    let end = async { while matches!(stream.read(&mut sink).await, Ok(count) if count > 0) {} };
    tokio::time::timeout(Duration::from_secs(60), end)
        .await
        .expect("it is closed");
    since.elapsed()
}

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const OWED: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn a_peer_that_sends_nothing_is_closed_in_time_and_gives_its_place_back() {
    let (mut peer, around) = connected().await;
    let since = Instant::now();
    assert!(closed_after(&mut peer).await <= OWED);
    // The peer keeps its side open, and is waited for a moment.
    tokio::time::sleep_until(since + OWED).await;
    assert_eq!(around.front.room.available_permits(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_trickles_a_command_is_closed_in_time() {
    let (peer, _around) = connected().await;
    let (mut from, mut to) = peer.into_split();
    let trickle = tokio::spawn(async move {
        for byte in b"*1\r\n$64\r\nxxxxxxxxxxxxxxxxxxxxxxxx" {
            if to.write_all(&[*byte]).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        std::future::pending().await
    });
    let (since, mut sink) = (Instant::now(), [0; 16]);
    let end = tokio::time::timeout(Duration::from_secs(60), from.read(&mut sink)).await;
    assert!(
        end.is_ok() && since.elapsed() <= OWED,
        "{end:?} after {:?}",
        since.elapsed()
    );
    trickle.abort();
}

#[tokio::test(start_paused = true)]
async fn a_client_that_has_been_served_may_idle_but_not_leave_a_command_half_sent() {
    let (mut client, _around) = connected().await;
    let mut answer = [0; 7];
    for _ in 0..2 {
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut answer).await.unwrap();
        assert_eq!(&answer, b"+PONG\r\n");
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    client.write_all(&PING[..9]).await.unwrap();
    assert!(closed_after(&mut client).await <= OWED);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_ends_waits_a_moment_for_the_first_command_of_a_new_connection_but_not_for_the_next()
 {
    let (mut client, around) = connected().await;
    around.phase.send(LifecyclePhase::Draining).unwrap();
    tokio::time::sleep(FRESH / 2).await;
    client.write_all(PING).await.unwrap();
    let mut answer = [0; 7];
    client.read_exact(&mut answer).await.unwrap();
    assert_eq!(
        (&answer, closed_after(&mut client).await),
        (b"+PONG\r\n", Duration::ZERO)
    );
    let (mut silent, around) = connected().await;
    around.phase.send(LifecyclePhase::Draining).unwrap();
    assert_eq!(closed_after(&mut silent).await, FRESH);
}

#[tokio::test(start_paused = true)]
async fn a_client_that_is_owed_an_answer_is_waited_for() {
    let (mut client, mut around) = connected().await;
    let get = b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\na\r\n$1\r\n1\r\n$13\r\nc=read,d=9000\r\n";
    client.write_all(get).await.unwrap();
    let Some(RouterEvent::ClientRequest(asked)) = around.inputs.recv().await else {
        panic!("no request")
    };
    tokio::time::sleep(Duration::from_secs(8)).await;
    asked
        .replies
        .send(ClientReply {
            sequence: asked.sequence,
            bytes: Bytes::from_static(b"$1\r\nv\r\n"),
        })
        .await
        .unwrap();
    let mut answer = [0; 7];
    client.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"$1\r\nv\r\n");
}

// Crossings: what a client's close, half-close or reset meets.

/// What the operators allow between a client's close and the last moment at which an attempt may begin for it.
const LEFT: Duration = Duration::from_millis(100);

fn get(id: usize) -> Vec<u8> {
    let id = id.to_string();
    format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$1\r\na\r\n${}\r\n{id}\r\n$13\r\nc=read,d=9000\r\n",
        id.len()
    )
    .into_bytes()
}

/// The three ways in which a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Closes,
    HalfCloses,
    Resets,
}

impl Leaves {
    const ALL: [Leaves; 3] = [Leaves::Closes, Leaves::HalfCloses, Leaves::Resets];

    /// Leaves; what is given back keeps the half that stays open.
    async fn go(self, mut client: TcpStream) -> Option<TcpStream> {
        match self {
            Leaves::Closes => drop(client),
            Leaves::HalfCloses => {
                client.shutdown().await.unwrap();
                return Some(client);
            }
            Leaves::Resets => {
                client.set_zero_linger().unwrap();
                drop(client);
            }
        }
        None
    }
}

impl Around {
    /// Waits until the node is told that the client has gone; how many requests reached it before.
    async fn until_gone(&mut self) -> usize {
        let mut asked = 0;
        loop {
            let input = tokio::time::timeout(Duration::from_secs(60), self.inputs.recv()).await;
            match input.expect("the node is told of the client's leave") {
                Some(RouterEvent::ClientRequest(_)) => asked += 1,
                Some(RouterEvent::ClientDisconnected(_)) => return asked,
                other => panic!("{other:?}"),
            }
        }
    }

    /// Takes the next requests.
    async fn asked(&mut self, count: usize) -> Vec<Box<ClientRequest>> {
        let mut all = Vec::new();
        while all.len() < count {
            let input = tokio::time::timeout(Duration::from_secs(60), self.inputs.recv()).await;
            match input.expect("a request") {
                Some(RouterEvent::ClientRequest(asked)) => all.push(asked),
                other => panic!("{other:?} and no request"),
            }
        }
        all
    }
}

#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_with_all_places_taken_is_seen_to_leave_whatever_lies_unread_before_its_end()
 {
    // None behind the places; what is read ahead; more than that.
    for (behind, leaves) in [0, 100, 2_000]
        .into_iter()
        .flat_map(|n| Leaves::ALL.map(|way| (n, way)))
    {
        let (mut client, mut around) = connected().await;
        let all: Vec<u8> = (0..PIPELINE + behind).flat_map(get).collect();
        client.write_all(&all).await.unwrap();
        let taken = around.asked(16).await.len();
        // All places are taken once the node's queue is full of them.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        let _half = leaves.go(client).await;
        let since = Instant::now();
        let asked = taken + around.until_gone().await;
        assert!(
            since.elapsed() <= LEFT,
            "{behind} {leaves:?}: after {:?}",
            since.elapsed()
        );
        assert!(
            asked <= PIPELINE,
            "{behind} {leaves:?}: {asked} reached the node"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_client_that_takes_no_answers_or_has_lost_its_framing_is_seen_to_leave_too() {
    for leaves in Leaves::ALL {
        let (mut client, mut around) = connected().await;
        client
            .write_all(&[get(1), b"rubbish\r\n".repeat(20)].concat())
            .await
            .unwrap();
        around.asked(1).await;
        let _half = leaves.go(client).await;
        let since = Instant::now();
        assert_eq!(around.until_gone().await, 0);
        assert!(
            since.elapsed() <= LEFT,
            "framing lost, {leaves:?}: after {:?}",
            since.elapsed()
        );

        let (mut client, mut around) = connected().await;
        client
            .write_all(&(0..PIPELINE).flat_map(get).collect::<Vec<_>>())
            .await
            .unwrap();
        let value = Bytes::from(vec![b'v'; 1024 * 1024]);
        for asked in around.asked(PIPELINE).await {
            asked
                .replies
                .send(ClientReply {
                    sequence: asked.sequence,
                    bytes: value.clone(),
                })
                .await
                .unwrap();
        }
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        client
            .write_all(&(0..1_000).flat_map(get).collect::<Vec<_>>())
            .await
            .unwrap();
        let _half = leaves.go(client).await;
        let since = Instant::now();
        around.until_gone().await;
        assert!(
            since.elapsed() <= LEFT,
            "takes nothing, {leaves:?}: after {:?}",
            since.elapsed()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_read_together_with_its_clients_leave_never_reaches_the_node() {
    for leaves in Leaves::ALL {
        let (client, mut around) = connected().await;
        // Taken by the session before anything is sent, so that both lie there when it next looks.
        tokio::task::yield_now().await;
        let client = client.into_std().unwrap();
        std::io::Write::write_all(&mut &client, &get(1)).unwrap();
        let _half = leaves.go(TcpStream::from_std(client).unwrap()).await;
        assert_eq!(around.until_gone().await, 0, "{leaves:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn whoever_holds_a_request_sees_that_its_client_has_gone_before_the_news_of_it_is_taken() {
    let (mut client, mut around) = connected().await;
    client.write_all(&get(1)).await.unwrap();
    let asked = around.asked(1).await.remove(0);
    // The node's queue is full.
    while around.front.hub.try_send(RouterEvent::Terminate).is_ok() {}
    drop(client);
    let left = Instant::now();
    while !asked.replies.is_closed() {
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert!(left.elapsed() <= LEFT);
    }
    while let Some(RouterEvent::Terminate) = around.inputs.recv().await {}
}

#[tokio::test(start_paused = true)]
async fn the_time_of_a_request_that_waits_for_a_place_counts_from_when_it_came() {
    let (mut client, mut around) = connected().await;
    client
        .write_all(&(0..=PIPELINE).flat_map(get).collect::<Vec<_>>())
        .await
        .unwrap();
    let first = around.asked(16).await;
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    let came = around.front.clock.now();
    let rest = around.asked(PIPELINE - 16).await;
    // In real time, which the node's clock counts in.
    while around.front.clock.now() < came + 50_000 {
        tokio::task::yield_now().await;
    }
    for asked in first.iter().chain(&rest) {
        asked
            .replies
            .send(ClientReply {
                sequence: asked.sequence,
                bytes: Bytes::from_static(b"$1\r\nv\r\n"),
            })
            .await
            .unwrap();
    }
    let last = around.asked(1).await.remove(0);
    assert!(
        last.received_at <= came,
        "{} us after it came",
        last.received_at - came
    );
}

#[tokio::test(start_paused = true)]
async fn a_request_in_pieces_is_whole_though_the_node_is_told_to_end_between_two_of_them() {
    for cut in 1..get(1).len() {
        let (mut client, mut around) = connected().await;
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
        client.write_all(&get(1)[..cut]).await.unwrap();
        around.phase.send(LifecyclePhase::Draining).unwrap();
        for byte in &get(1)[cut..] {
            tokio::time::sleep(Duration::from_millis(5)).await;
            client
                .write_all(&[*byte])
                .await
                .unwrap_or_else(|e| panic!("cut at {cut}: {e}"));
        }
        let asked = around.asked(1).await.remove(0);
        asked
            .replies
            .send(ClientReply {
                sequence: asked.sequence,
                bytes: Bytes::from_static(b"$1\r\nv\r\n"),
            })
            .await
            .unwrap();
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).await.unwrap();
        assert_eq!(rest, b"$1\r\nv\r\n", "cut at {cut}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_close_between_requests_takes_no_answer_away_whatever_crosses_it() {
    // By the end of the node, and by a newcomer in a full table.
    for crowded in [false, true] {
        let (mut client, around) = connected().await;
        client.write_all(PING).await.unwrap();
        while around.front.resting.count() == 0 {
            tokio::task::yield_now().await;
        }
        // The answer lies unread at the client.
        match crowded {
            true => assert!(around.front.resting.ask()),
            false => around.phase.send(LifecyclePhase::Draining).unwrap(),
        }
        let mut first = [0; 7];
        client.read_exact(&mut first[..1]).await.unwrap();
        // The node has shut its side when the next request comes.
        while client.peek(&mut [0; 16]).await.unwrap() > 6 {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        client.write_all(&get(2)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        client.write_all(&get(3)).await.unwrap();
        let mut rest = Vec::new();
        client
            .read_to_end(&mut rest)
            .await
            .expect("an end, not a reset");
        assert_eq!(rest, b"PONG\r\n");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_the_machine_has_taken_before_its_resting_connection_is_closed_is_served() {
    for crowded in [false, true] {
        let (mut client, mut around) = connected().await;
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
        // In one moment, before the session looks again.
        let client = client.into_std().unwrap();
        match crowded {
            true => assert!(around.front.resting.ask()),
            false => around.phase.send(LifecyclePhase::Draining).unwrap(),
        }
        std::io::Write::write_all(&mut &client, &get(1)).unwrap();
        assert_eq!(around.asked(1).await.len(), 1, "crowded: {crowded}");
    }
}

#[tokio::test(start_paused = true)]
async fn in_a_full_table_the_connection_that_has_rested_for_longest_goes_and_no_other_later() {
    let (first, _around) = connected().await;
    let address = first.peer_addr().unwrap();
    let mut clients = vec![first];
    for _ in 1..4 {
        clients.push(TcpStream::connect(address).await.unwrap());
    }
    // The second rests for longest, the first has been busy since.
    for number in [1, 0, 2, 3, 0] {
        clients[number].write_all(PING).await.unwrap();
        clients[number].read_exact(&mut [0; 7]).await.unwrap();
    }
    let mut newcomer = TcpStream::connect(address).await.unwrap();
    newcomer.write_all(PING).await.unwrap();
    newcomer.read_exact(&mut [0; 7]).await.unwrap();
    let gone = async |client: &mut TcpStream| {
        matches!(
            tokio::time::timeout(Duration::from_secs(30), client.read(&mut [0; 8])).await,
            Ok(Ok(0))
        )
    };
    assert!(
        gone(&mut clients[1]).await,
        "the one that has rested for longest"
    );
    // Places are free again: nobody is asked to go for a wake-up that was left over.
    drop(newcomer);
    clients.remove(1);
    let mut left = 0;
    for client in &mut clients {
        left += usize::from(!gone(client).await);
    }
    assert!(
        left >= 2,
        "{left} of three stay; crowding may ask one more while the newcomer is there"
    );
}

#[tokio::test(start_paused = true)]
async fn a_full_table_of_resting_clients_keeps_no_newcomer_waiting_while_the_node_ends() {
    let (first, around) = connected().await;
    let address = first.peer_addr().unwrap();
    let mut resting = vec![first];
    for _ in 1..4 {
        resting.push(TcpStream::connect(address).await.unwrap());
    }
    for client in &mut resting {
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
    }
    // The machine has taken these, the node has not.
    let mut newcomers = Vec::new();
    for _ in 0..3 {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(PING).await.unwrap();
        newcomers.push(client);
    }
    around.phase.send(LifecyclePhase::Draining).unwrap();
    let since = Instant::now();
    for client in &mut newcomers {
        let mut answer = [0; 7];
        client
            .read_exact(&mut answer)
            .await
            .expect("it is taken and answered");
        assert_eq!(&answer, b"+PONG\r\n");
    }
    assert!(
        since.elapsed() <= LINGER.0 * 2,
        "after {:?}",
        since.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn a_client_that_never_stops_asking_has_its_last_answer_and_an_end_when_the_time_is_up() {
    let (mut client, mut around) = connected().await;
    client.write_all(&[get(1), get(2)].concat()).await.unwrap();
    let asked = around.asked(2).await;
    around.phase.send(LifecyclePhase::Draining).unwrap();
    client.write_all(&get(3)).await.unwrap();
    let third = around.asked(1).await;
    around.phase.send(LifecyclePhase::Closing).unwrap();
    tokio::time::sleep(Duration::from_millis(5)).await;
    client.write_all(&get(4)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(5)).await;
    for asked in asked.iter().chain(&third) {
        asked
            .replies
            .send(ClientReply {
                sequence: asked.sequence,
                bytes: Bytes::from_static(b"$1\r\nv\r\n"),
            })
            .await
            .unwrap();
    }
    let mut rest = Vec::new();
    client
        .read_to_end(&mut rest)
        .await
        .expect("an end, not a reset");
    assert_eq!(
        rest,
        b"$1\r\nv\r\n".repeat(3),
        "and the fourth was never taken"
    );
    assert!(around.inputs.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_client_that_takes_nothing_is_cut_off_though_it_goes_on_asking() {
    let (client, mut around) = connected().await;
    let (_input, mut out) = client.into_split();
    out.write_all(&get(1)).await.unwrap();
    let asked = around.asked(1).await.remove(0);
    let value = Bytes::from(vec![b'v'; 32 * 1024 * 1024]);
    asked
        .replies
        .send(ClientReply {
            sequence: asked.sequence,
            bytes: value,
        })
        .await
        .unwrap();
    let since = Instant::now();
    let asks = tokio::spawn(async move {
        while out.write_all(PING).await.is_ok() {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    around.until_gone().await;
    assert!(
        since.elapsed() <= STALLED + Duration::from_secs(2),
        "after {:?}",
        since.elapsed()
    );
    asks.abort();
}
