// Package protocol parses and formats the messages on the wire.
//
//   - HTTP/1.1 messages and their framing (RFC 9110 and 9112).
//   - Requests and responses of the platform.
//   - Lines of workers' responses, and load reports of workers.
//   - Endpoint lists of the discovery service.
//   - Commands of operators.
//   - Load datagrams between dispatchers.
//
// The package does no I/O, reads no clock and makes no decisions. wire_names.go maps the names on the wire to the terms
// of this code.
package protocol
