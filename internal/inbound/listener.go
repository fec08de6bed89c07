package inbound

import "net"

// listener accepts connections as long as the server has room for them.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(nc); c != nil {
			return c, nil
		}
	}
}
