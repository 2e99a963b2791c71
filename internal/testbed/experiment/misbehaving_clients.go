package experiment

import (
	"context"
	"io"
	"net"
	"time"
)

const (
	connectTimeout  = time.Second            // of a misbehaving client
	reconnectDelay  = 200 * time.Millisecond // from the end of its connection to the next
	trickleInterval = 100 * time.Millisecond // between two bytes of a slow client
)

// incompleteRequest is the beginning of a request that slow clients send.
const incompleteRequest = "POST /api HTTP/1.1\r\nReq-Id: never\r\nReq-Kind: never\r\n"

// openMisbehavingClients keeps a number of connections open until ctx ends, on which no request is ever complete. What
// they send is up to the behaviour. A connection that ends is opened again.
func (env *environment) openMisbehavingClients(ctx context.Context, connections int, behaviour func(net.Conn)) {
	for n := range connections {
		addr := env.listenAddrs[n%len(env.listenAddrs)].String()
		env.actions.Go(func() {
			for ctx.Err() == nil {
				keepConnected(ctx, addr, behaviour)
				select {
				case <-time.After(reconnectDelay):
				case <-ctx.Done():
				}
			}
		})
	}
}

// keepConnected opens a connection, and returns when either side or ctx has ended it.
func keepConnected(ctx context.Context, addr string, behaviour func(net.Conn)) {
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	go behaviour(conn)
	_, _ = io.Copy(io.Discard, conn)
}

// stayIdle is the behaviour of a client that sends nothing.
func stayIdle(net.Conn) {}

// trickle is the behaviour of a client that sends a byte at a time, until its connection ends.
func trickle(conn net.Conn) {
	for _, b := range []byte(incompleteRequest) {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(trickleInterval)
	}
}
