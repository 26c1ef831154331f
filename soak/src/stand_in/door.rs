//! A stand-in's listener for one gateway, which can refuse connections or move to another address.

use crate::link::{Link, LinkStream};
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

/// The time after a move at which connections to the old address are closed.
const OLD_CONNECTION_LIFETIME: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, PartialEq)]
struct ListenerState {
    /// Whether connections are accepted; otherwise they are refused.
    accepting: bool,
    /// The number of moves to another address so far.
    relocations: u64,
}

/// The listener of a stand-in for one gateway.
pub struct DedicatedListener {
    ip: IpAddr,
    address: Mutex<SocketAddr>,
    state: watch::Sender<ListenerState>,
    link: Arc<Link>,
}

impl DedicatedListener {
    /// Binds a free port at `ip` and accepts connections; `handler` serves each of them. Fails if no socket can be
    /// bound.
    pub async fn bind<S, F>(ip: IpAddr, handler: S) -> anyhow::Result<Arc<Self>>
    where
        S: Fn(LinkStream) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = Mutex::new(listener.local_addr()?);
        let state = watch::channel(ListenerState { accepting: true, relocations: 0 }).0;
        let dedicated = Arc::new(DedicatedListener { ip, address, state, link: Arc::default() });
        tokio::spawn(dedicated.clone().accept_loop(listener, handler));
        Ok(dedicated)
    }

    /// Returns the present address.
    pub fn address(&self) -> SocketAddr {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or stops accepting connections. Stopping also resets the open connections.
    pub fn set_accepting(&self, accepting: bool) {
        self.state.send_modify(|state| state.accepting = accepting);
        if !accepting {
            self.link.reset();
        }
    }

    /// Moves to another port, whose connections `handler` serves, and returns the new address. The old port is closed
    /// at once, its connections a while later. Fails if no socket can be bound.
    pub async fn relocate<S, F>(self: &Arc<Self>, handler: S) -> anyhow::Result<SocketAddr>
    where
        S: Fn(LinkStream) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind((self.ip, 0)).await?;
        let address = listener.local_addr()?;
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = address;
        self.state.send_modify(|state| state.relocations += 1);
        tokio::spawn(self.clone().accept_loop(listener, handler));
        Ok(address)
    }

    /// Accepts connections at one address until the listener moves away from it.
    async fn accept_loop<S, F>(self: Arc<Self>, listener: TcpListener, handler: S)
    where
        S: Fn(LinkStream) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let Ok(address) = listener.local_addr() else { return };
        let mut state = self.state.subscribe();
        let relocations = state.borrow_and_update().relocations;
        let mut listener = Some(listener);
        loop {
            let current = *state.borrow_and_update();
            if current.relocations != relocations {
                return;
            }
            match (&listener, current.accepting) {
                (Some(_), false) => listener = None,
                (None, true) => listener = TcpListener::bind(address).await.ok(),
                _ => {}
            }
            let Some(active) = listener.as_ref() else {
                tokio::select! {
                    _ = state.changed() => {}
                    () = sleep(Duration::from_millis(50)), if current.accepting => {}
                }
                continue;
            };
            tokio::select! {
                _ = state.changed() => {}
                accepted = active.accept() => if let Ok((stream, _)) = accepted {
                    let connection = handler(LinkStream::new(stream, &self.link));
                    tokio::spawn(run_until_relocated(connection, state.clone(), relocations));
                }
            }
        }
    }
}

/// Runs a connection until it ends, or until `OLD_CONNECTION_LIFETIME` after the listener has moved.
async fn run_until_relocated(
    connection: impl Future<Output = ()>,
    mut state: watch::Receiver<ListenerState>,
    relocations: u64,
) {
    let relocated = async move {
        if state.wait_for(|state| state.relocations != relocations).await.is_ok() {
            sleep(OLD_CONNECTION_LIFETIME).await;
        } else {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = connection => {}
        () = relocated => {}
    }
}
