//! Closes the socket of an upstream connection from outside the task that drives it.
//!
//! The driver owns the socket. An aborted driver is dropped only when the runtime polls it next, which
//! may be late in a daemon that is short of processor time; the upstream would work on until then.

use std::cell::RefCell;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;

/// A socket as its driver owns it.
pub type OwnedSocket = Rc<RefCell<TcpStream>>;

/// Refers to a socket that its driver owns.
#[derive(Clone, Debug)]
pub struct SocketHandle(Weak<RefCell<TcpStream>>);

/// A second descriptor of a socket; the first one stays with the driver.
#[derive(Debug)]
pub struct SocketDuplicate(std::net::TcpStream);

impl SocketHandle {
    /// A handle of a socket.
    pub fn new(socket: &OwnedSocket) -> Self {
        Self(Rc::downgrade(socket))
    }

    /// Duplicates the socket; `None` if the driver has ended, or no descriptor is left.
    pub fn duplicate(&self) -> Option<SocketDuplicate> {
        let socket = self.0.upgrade()?;
        let descriptor = socket.borrow().as_fd().try_clone_to_owned().ok()?;
        Some(SocketDuplicate(descriptor.into()))
    }

    /// Ends the connection at once.
    pub fn close(&self) {
        self.duplicate().iter().for_each(SocketDuplicate::close);
    }
}

impl SocketDuplicate {
    /// Ends the connection, whatever descriptors of it are left.
    pub fn close(&self) {
        // Fails only if the peer has ended it.
        drop(self.0.shutdown(Shutdown::Both));
    }
}
