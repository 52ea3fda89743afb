//! Test support: raw HTTP over TCP, as a caller and as an endpoint.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::deployment;

/// Requests that an endpoint has received, as text.
pub(crate) type Seen = Arc<Mutex<Vec<String>>>;

/// Starts an endpoint that sends the bytes returned by `respond` and closes the connection.
pub(crate) async fn endpoint<R>(respond: R) -> (SocketAddr, Seen)
where
    R: Fn(&str) -> Vec<u8> + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Seen::default();
    let recorded = Arc::clone(&seen);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (respond, recorded) = (respond.clone(), Arc::clone(&recorded));
            tokio::spawn(async move {
                let Some(request) = read_request(&mut stream).await else { return };
                recorded.lock().unwrap().push(request.clone());
                let _sent = stream.write_all(&respond(&request)).await;
                let _closed = stream.shutdown().await;
            });
        }
    });
    (address, seen)
}

const LOAD: &str = "GET /v1/load ";

/// Reads one request with a body of declared length. The owner's load queries are answered here
/// with 404 and not returned.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let received = String::from_utf8_lossy(&text).into_owned();
        if let Some((head, body)) = received.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
            if received.starts_with(LOAD) {
                let not_found =
                    b"HTTP/1.1 404 Not Found\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
                let _sent = stream.write_all(not_found).await;
                return None;
            }
            if body.len() >= length {
                return Some(received);
            }
        }
        let mut buffer = [0; 4_096];
        let read = stream.read(&mut buffer).await.ok().filter(|read| *read > 0)?;
        text.extend_from_slice(&buffer[..read]);
    }
}

/// Returns the value of the first header of that name.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
}

/// Sends bytes as a caller and reads until the daemon closes the connection, for at most 10 s.
pub(crate) async fn exchange(deployment: &deployment::Deployment, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(deployment.caller_address()).await.unwrap();
    // The write may fail: the daemon may answer and close before it has read all bytes.
    let _sent = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _read = tokio::time::timeout(Duration::from_secs(10), reading).await;
    String::from_utf8_lossy(&answer).into_owned()
}
