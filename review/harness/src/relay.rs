//! A relay in front of the store, which can be cut.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

pub struct Relay {
    pub address: SocketAddr,
    /// Whether no bytes pass, in either direction.
    pub is_cut: Rc<Cell<bool>>,
}

impl Relay {
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let is_cut: Rc<Cell<bool>> = Rc::default();
        let cut = Rc::clone(&is_cut);
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                let cut = Rc::clone(&cut);
                tokio::task::spawn_local(async move {
                    let Ok(far) = TcpStream::connect(to).await else {
                        return;
                    };
                    let (near_reader, near_writer) = near.into_split();
                    let (far_reader, far_writer) = far.into_split();
                    let forth = pass(near_reader, far_writer, Rc::clone(&cut));
                    let back = pass(far_reader, near_writer, cut);
                    tokio::select! {
                        () = forth => {}
                        () = back => {}
                    }
                });
            }
        });
        Ok(Self { address, is_cut })
    }
}

async fn pass<R, W>(mut reader: R, mut writer: W, is_cut: Rc<Cell<bool>>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buf = vec![0; 16 << 10];
    while let Ok(count) = reader.read(&mut buf).await {
        while is_cut.get() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        if count == 0 || writer.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
