//! A loopback proxy that delays, silences, cuts one way or resets the connections that it carries.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What happens to bytes on the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Each piece arrives this much later.
    Delay(Duration),
    /// Nothing arrives either way; it is delivered when this ends.
    Silent,
    /// Nothing arrives from the side that opened the connection.
    SilentForward,
    /// Nothing arrives from the other side.
    SilentBack,
    /// Connections are reset, and new ones too.
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
    /// Starts a proxy; it resets connections until [`Proxy::forward`] names their end.
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
                tokio::spawn(async move { p.carry(stream).await });
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

    async fn carry(&self, from: TcpStream) {
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
            // A pump that ends by a fault resets both sides.
            let _ = s.set_zero_linger();
        }
        let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
        let forward = pump(
            from_read,
            to_write,
            self.mode.subscribe(),
            Mode::SilentForward,
        );
        let back = pump(to_read, from_write, self.mode.subscribe(), Mode::SilentBack);
        // An orderly end of one direction leaves the other open until it ends too.
        let _ = tokio::try_join!(forward, back);
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    silent: Mode,
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
        let held = |m: &Mode| *m == Mode::Silent || *m == silent;
        let now = *mode.wait_for(|m| !held(m)).await.map_err(|_| closed())?;
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
