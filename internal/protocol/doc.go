// Package protocol parses and formats the messages on the wire.
//
//   - HTTP/1.1 messages and their framing (RFC 9110 and 9112).
//   - Requests and responses of the platform.
//   - Lines and load reports of workers.
//   - Endpoint lists of the discovery service.
//   - Commands of operators.
//   - Load datagrams between dispatchers.
//
// It does no I/O, keeps no time and makes no decisions. wire_names.go maps the platform's names to the terms of this code.
package protocol
