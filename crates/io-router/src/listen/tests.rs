//! Accepted connections inherit `TCP_NODELAY`.

use base_types::test_cases;
use salvo::Listener;
use tokio::net::TcpStream;

use crate::listen::NodelayListener;

fn check_nodelay(address: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let accepted = runtime.block_on(async {
        let acceptor = NodelayListener(address.parse().unwrap()).try_bind().await.unwrap();
        let caller = TcpStream::connect(acceptor.local_addr().unwrap());
        let (accepted, _caller) = tokio::join!(acceptor.inner().accept(), caller);
        accepted.unwrap().0
    });
    assert!(accepted.nodelay().unwrap());
}

test_cases! {
    check_nodelay:
    accepted_connections_have_nodelay("127.0.0.1:0");
}
