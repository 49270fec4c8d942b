//! Backend servers that send bytes without end.

mod common;

use common::Reaction;
use common::backend;
use common::complete_reply;
use common::endless::Flood;
use common::endless::endless;
use common::get;
use common::run;
use common::send_request;
use common::serve;
use common::single_service;
use common::status;

/// Sends a request while the first of two servers floods its connection. The host must close the
/// connection, and another server serves the request.
macro_rules! flood {
    ($($(#[$doc:meta])* $name:ident: $start:expr, $part:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let (address, mut floods) = endless($start, $part).await;
                let sound = backend(vec![Reaction::Write(complete_reply("done"))]).await;
                let served = serve(single_service(&[address, sound.address])).await;
                let answer = send_request(served.front, &get("/one/x", "i")).await;
                assert_eq!(status(&answer), 200, "{answer}");
                assert_eq!(floods.recv().await, Some(Flood::Stopped));
            });
        }
    )*};
}

flood! {
    /// Guards against a host that reads interim replies for as long as they come, and serves no
    /// other caller meanwhile.
    interim_replies: "", "HTTP/1.1 103 Early Hints\r\n\r\n";
    header_lines: "HTTP/1.1 200 OK\r\n", "x-more: 1\r\n";
    one_header_line: "HTTP/1.1 200 OK\r\nx-more: ", "1";
    status_line: "HTTP/1.1 200 O", "K";
    chunks: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n";
    body_until_the_close: "HTTP/1.1 200 OK\r\n\r\n", "abcd";
    body_with_a_length: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n", "abcd";
    chunk_extension: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "a";
    trailers: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "x-more: 1\r\n";
}
