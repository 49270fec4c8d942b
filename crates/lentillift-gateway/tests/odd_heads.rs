//! Backend servers that send a head that is none in HTTP.

mod common;

use common::Backend;
use common::Reaction;
use common::backend;
use common::complete_reply;
use common::get;
use common::header;
use common::item;
use common::run;
use common::send_request;
use common::serve;
use common::single_service;
use common::status;

/// Body of every reply with an odd head.
const ODD_BODY: &str = "odd";

/// A signed reply with this status line and these further lines of its head.
fn reply(status_line: &str, lines: &str) -> String {
    format!("{status_line}\r\nx-signature: sig-ID\r\nx-id: ID\r\n{lines}\r\n{ODD_BODY}")
}

/// Starts a server that sends this reply to each request.
async fn odd_server(reply: &str) -> Backend {
    backend(vec![Reaction::Write(reply.to_owned())]).await
}

/// Starts a server that answers every request.
async fn sound_server() -> Backend {
    backend(vec![Reaction::Write(complete_reply("done"))]).await
}

/// Checks that this reply is no answer to anything.
async fn check_is_no_answer(odd_reply: &str) {
    check_request_is_repeated(odd_reply).await;
    check_action_fails(odd_reply).await;
    check_shard_is_missing(odd_reply).await;
}

/// An idempotent request gets the reply of the other server.
async fn check_request_is_repeated(odd_reply: &str) {
    let (odd, sound) = (odd_server(odd_reply).await, sound_server().await);
    let served = serve(single_service(&[odd.address, sound.address])).await;
    let answer = send_request(served.front, &get("/one/x", "i")).await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.ends_with("done"), "{answer}");
}

/// An action may have run.
async fn check_action_fails(odd_reply: &str) {
    let odd = odd_server(odd_reply).await;
    let served = serve(single_service(&[odd.address])).await;
    let answer = send_request(served.front, &get("/once/x", "i")).await;
    assert_eq!(status(&answer), 502, "{answer}");
    assert!(!answer.contains(ODD_BODY), "{answer}");
    assert!(!answer.contains("sig-i"), "{answer}");
}

/// A search has the shards of the other server.
async fn check_shard_is_missing(odd_reply: &str) {
    let (odd, sound) = (odd_server(odd_reply).await, sound_server().await);
    let items = vec![
        item("config", "s0 s1 objective=400".to_owned()),
        item("b0", format!("s0 {} a", odd.address)),
        item("b1", format!("s1 {} a", sound.address)),
    ];
    let served = serve(items).await;
    let answer = send_request(served.front, &get("/all/x", "i")).await;
    assert_eq!(status(&answer), 200, "{answer}");
    let missing = header(&answer, "x-missing");
    assert_eq!(missing.as_deref(), Some("1"), "{answer}");
}

macro_rules! odd_statuses {
    ($($name:ident: $status:expr;)*) => {$(
        /// Guards against an answer with a status that HTTP doesn't know.
        #[test]
        fn $name() {
            run(check_is_no_answer(&reply($status, "Content-Length: 3\r\n")));
        }
    )*};
}

odd_statuses! {
    status_000: "HTTP/1.1 000 OK";
    status_000_without_a_reason: "HTTP/1.1 000";
    status_001: "HTTP/1.1 001 OK";
    status_099: "HTTP/1.1 099 OK";
    status_of_one_digit: "HTTP/1.1 2 OK";
    status_of_two_digits: "HTTP/1.1 20 OK";
    status_of_four_digits: "HTTP/1.1 0200 OK";
    negative_status: "HTTP/1.1 -200 OK";
    no_status: "HTTP/1.1 OK";
    switching_protocols: "HTTP/1.1 101 Switching";
    status_600: "HTTP/1.1 600 OK";
    status_999: "HTTP/1.1 999 OK";
    another_protocol: "HTTP/7.1 200 OK";
    control_byte_in_the_reason: "HTTP/1.1 200 O\u{1}K";
}

/// Guards against an action that runs twice because of a rejection with a status that HTTP doesn't know.
#[test]
fn a_rejection_with_an_unknown_status_promises_nothing() {
    run(async {
        let rejection = reply("HTTP/1.1 600 Full", "x-not-run: 1\r\nContent-Length: 3\r\n");
        let odd = odd_server(&rejection).await;
        let mut sound = sound_server().await;
        let served = serve(single_service(&[odd.address, sound.address])).await;
        let answer = send_request(served.front, &get("/once/x", "i")).await;
        assert_eq!(status(&answer), 502, "{answer}");
        assert!(sound.seen.try_recv().is_err());
    });
}

macro_rules! odd_lines {
    ($($name:ident: $lines:expr;)*) => {$(
        /// Guards against an answer with a line that is no field, or with a body that is not the server's.
        #[test]
        fn $name() {
            run(check_is_no_answer(&reply("HTTP/1.1 200 OK", $lines)));
        }
    )*};
}

odd_lines! {
    blank_in_a_name: "Content-Length: 3\r\nx odd: 1\r\n";
    tab_in_a_name: "Content-Length: 3\r\nx\todd: 1\r\n";
    null_byte_in_a_name: "Content-Length: 3\r\nx\0odd: 1\r\n";
    control_byte_in_a_name: "Content-Length: 3\r\nx\u{1}odd: 1\r\n";
    delete_in_a_name: "Content-Length: 3\r\nx\u{7f}odd: 1\r\n";
    letter_beyond_ascii_in_a_name: "Content-Length: 3\r\nx\u{e9}odd: 1\r\n";
    blank_before_the_colon: "Content-Length: 3\r\nx-odd : 1\r\n";
    blank_before_a_name: "Content-Length: 3\r\n x-odd: 1\r\n";
    no_name: "Content-Length: 3\r\n: 1\r\n";
    no_colon: "Content-Length: 3\r\nx-odd\r\n";
    folded_line: "Content-Length: 3\r\nx-odd: 1\r\n 2\r\n";
    carriage_return_in_a_line: "Content-Length: 3\r\nx-odd: 1\r2\r\n";
    null_byte_in_a_value: "Content-Length: 3\r\nx-odd: 1\0\r\n";
    control_byte_in_a_value: "Content-Length: 3\r\nx-odd: 1\u{1}\r\n";
    blank_in_the_name_of_the_length: "Content Length: 3\r\n";
    blank_behind_the_name_of_the_length: "Content-Length : 3\r\n";
    control_byte_in_the_name_of_the_length: "Content-Length\u{1}: 3\r\n";
    length_of_another_type: "Content-Length: three\r\n";
    negative_length: "Content-Length: -3\r\n";
    length_out_of_range: "Content-Length: 18446744073709551616\r\n";
    two_lengths: "Content-Length: 3\r\nContent-Length: 2\r\n";
    blank_in_the_name_of_the_encoding: "Transfer Encoding: chunked\r\n";
    blank_behind_the_name_of_the_encoding: "Transfer-Encoding : chunked\r\n";
}

macro_rules! odd_beginnings {
    ($($name:ident: $beginning:expr;)*) => {$(
        /// Guards against an answer behind bytes that are none, or behind an odd interim reply.
        #[test]
        fn $name() {
            let whole = reply("HTTP/1.1 200 OK", "Content-Length: 3\r\n");
            run(check_is_no_answer(&($beginning.to_owned() + &whole)));
        }
    )*};
}

odd_beginnings! {
    blank_before_the_status_line: " ";
    rubbish_before_the_status_line: "rubbish\r\n\r\n";
    interim_reply_with_status_000: "HTTP/1.1 000 OK\r\n\r\n";
    interim_reply_with_a_blank_in_a_name: "HTTP/1.1 103 Early Hints\r\nx odd: 1\r\n\r\n";
    interim_reply_with_a_control_byte_in_a_name: "HTTP/1.1 103 Early Hints\r\nx\u{1}odd: 1\r\n\r\n";
}

macro_rules! odd_trailers {
    ($($name:ident: $trailer:expr;)*) => {$(
        /// Guards against an answer that ends with a line that is no field.
        #[test]
        fn $name() {
            let head = "HTTP/1.1 200 OK\r\nx-signature: sig-ID\r\nx-id: ID\r\nTransfer-Encoding: chunked\r\n\r\n";
            let trailer = $trailer;
            run(check_is_no_answer(&format!("{head}3\r\nodd\r\n0\r\n{trailer}\r\n\r\n")));
        }
    )*};
}

odd_trailers! {
    blank_in_the_name_of_a_trailer: "x odd: 1";
    control_byte_in_the_name_of_a_trailer: "x\u{1}odd: 1";
    trailer_without_a_colon: "x-odd";
}
