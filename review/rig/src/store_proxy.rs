//! A proxy between one host and the store that can lose what passes it.
//!
//! While it is silent, nothing passes. A connection on which a request or a response was lost
//! returns nothing further; one on which a call only waits goes on afterwards.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Starts the proxy and returns its address.
pub async fn start(store: SocketAddrV4, silent: Arc<AtomicBool>) -> std::io::Result<SocketAddrV4> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let SocketAddr::V4(address) = listener.local_addr()? else {
        return Err(std::io::Error::other("not IPv4"));
    };
    tokio::spawn(async move {
        while let Ok((host, _source)) = listener.accept().await {
            tokio::spawn(relay(host, store, silent.clone()));
        }
    });
    Ok(address)
}

async fn relay(mut host: TcpStream, store: SocketAddrV4, silent: Arc<AtomicBool>) {
    let Ok(mut store) = TcpStream::connect(store).await else {
        return;
    };
    let (mut requests, mut responses) = ([0; 16 * 1024], [0; 16 * 1024]);
    let mut is_dead = silent.load(Ordering::Relaxed);
    loop {
        let passed = tokio::select! {
            read = host.read(&mut requests) => match read {
                Ok(0) | Err(_) => return,
                Ok(_) if is_dead || silent.load(Ordering::Relaxed) => { is_dead = true; Ok(()) }
                Ok(length) => store.write_all(&requests[..length]).await,
            },
            read = store.read(&mut responses), if !is_dead => match read {
                Ok(_) if silent.load(Ordering::Relaxed) => { is_dead = true; Ok(()) }
                Ok(0) | Err(_) => return,
                Ok(length) => host.write_all(&responses[..length]).await,
            },
        };
        if passed.is_err() {
            return;
        }
    }
}
