package experiment

import (
	"context"
	"io"
	"net"
	"time"
)

const (
	connectTimeout   = time.Second            // for a connection of a misbehaving client
	reconnectDelay   = 200 * time.Millisecond // from the end of a connection to the next attempt
	slowSendInterval = 100 * time.Millisecond // from one byte of a slow client to the next
)

// incompleteRequest is the start of a request, which slow clients send and never complete.
const incompleteRequest = "POST /api HTTP/1.1\r\nReq-Id: never\r\nReq-Kind: never\r\n"

// startMisbehavingClients keeps a number of connections open until ctx ends, and reopens connections that end. The
// behaviour function sends on each connection, and never completes a request.
func (env *environment) startMisbehavingClients(ctx context.Context, connections int, behaviour func(net.Conn)) {
	for n := range connections {
		addr := env.listenAddrs[n%len(env.listenAddrs)].String()
		env.actions.Go(func() {
			for ctx.Err() == nil {
				holdConnection(ctx, addr, behaviour)
				select {
				case <-time.After(reconnectDelay):
				case <-ctx.Done():
				}
			}
		})
	}
}

// holdConnection opens a connection and runs the behaviour on it. It returns when the connection ends or ctx ends.
func holdConnection(ctx context.Context, addr string, behaviour func(net.Conn)) {
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	go behaviour(conn)
	_, _ = io.Copy(io.Discard, conn)
}

// sendNothing is the behaviour of an idle client.
func sendNothing(net.Conn) {}

// sendSlowly is the behaviour of a slow client: it sends incompleteRequest byte by byte, until the connection fails.
func sendSlowly(conn net.Conn) {
	for _, b := range []byte(incompleteRequest) {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(slowSendInterval)
	}
}
