//! Reading values whose keys come from other writers.

use lentillift_platform::client::Client;
use lentillift_standin::platform::Platform;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Publishes a value under `key` and checks that the client reads that value.
fn check_key(key: &str) {
    let runtime = Runtime::new().expect("a runtime");
    let (_stop, stopped) = watch::channel(false);
    let platform = Platform::default();
    platform.publish_bytes("service/sound", b"another value".to_vec());
    platform.publish_bytes(key, b"its value".to_vec());
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"));
    let listener = listener.expect("a port");
    let client = Client::new(listener.local_addr().expect("an address"));
    runtime.spawn(platform.serve(listener, stopped));
    assert_eq!(client.value(key).expect(key), b"its value");
}

macro_rules! odd_keys {
    ($($name:ident: $key:expr;)*) => {$(
        /// Guards against a listed key that can't be read, and is asked for again and again.
        #[test]
        fn $name() {
            check_key($key);
        }
    )*};
}

odd_keys! {
    sound: "service/names";
    ampersand: "service/a&b";
    plus: "service/a+b";
    hash: "service/a#b";
    question_mark: "service/a?b";
    percent: "service/a%b";
    escape: "service/%7a";
    blank: "service/a b";
    quote: "service/a\"b";
    line_break: "service/a\r\nb";
    null_byte: "service/a\0b";
    letter_beyond_ascii: "service/\u{e9}";
}
