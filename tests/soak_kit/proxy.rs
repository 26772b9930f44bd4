//! A loopback proxy that delays, stalls or resets its connections.
//! A stall can affect both directions or only one, while the other continues to pass bytes.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the proxy does with the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Delays each chunk by this time.
    Delay(Duration),
    /// Holds back bytes in both directions and delivers them when the mode ends.
    Stall,
    /// Holds back bytes from the side that opened the connection.
    StallForward,
    /// Holds back bytes from the other side.
    StallBackward,
    /// Resets open and new connections.
    Reset,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    to: Arc<Mutex<Option<SocketAddr>>>,
}

impl Proxy {
    /// Starts a proxy. It resets connections until [`Proxy::forward`] sets their destination.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            mode: watch::channel(Mode::Pass).0,
            to: Arc::default(),
        };
        let p = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let p = p.clone();
                tokio::spawn(async move { p.proxy_connection(stream).await });
            }
        });
        proxy
    }

    pub fn forward(&self, to: SocketAddr) {
        *self.to.lock().unwrap() = Some(to);
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    async fn proxy_connection(&self, from: TcpStream) {
        let to = *self.to.lock().unwrap();
        let reset = *self.mode.borrow() == Mode::Reset;
        let (Some(to), false) = (to, reset) else {
            let _ = from.set_zero_linger();
            return;
        };
        let Ok(to) = TcpStream::connect(to).await else {
            let _ = from.set_zero_linger();
            return;
        };
        for s in [&from, &to] {
            let _ = s.set_nodelay(true);
            // If copying fails in one direction, both sides are reset.
            let _ = s.set_zero_linger();
        }
        let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
        let forward = copy_bytes(
            from_read,
            to_write,
            self.mode.subscribe(),
            Mode::StallForward,
        );
        let backward = copy_bytes(
            to_read,
            from_write,
            self.mode.subscribe(),
            Mode::StallBackward,
        );
        // If one direction is shut down without an error, the other stays open until it ends too.
        let _ = tokio::try_join!(forward, backward);
    }
}

/// Copies bytes in one direction. `stall` is the mode that holds back only this direction.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    stall: Mode,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    let closed = || io::Error::from(io::ErrorKind::ConnectionReset);
    loop {
        let n = tokio::select! {
            n = from.read(&mut buffer) => n?,
            reset = mode.wait_for(|m| *m == Mode::Reset) => match reset {
                Ok(_) => return Err(closed()),
                Err(_) => return Err(closed()),
            },
        };
        let stalled = |m: &Mode| *m == Mode::Stall || *m == stall;
        let now = *mode.wait_for(|m| !stalled(m)).await.map_err(|_| closed())?;
        match now {
            Mode::Reset => return Err(closed()),
            Mode::Delay(time) => tokio::time::sleep(time).await,
            _ => {}
        }
        if n == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..n]).await?;
    }
}
