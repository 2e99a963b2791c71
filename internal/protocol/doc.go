// Package protocol parses and formats what goes over the wire: HTTP/1.1 messages and their framing (RFC 9110 and 9112),
// requests and responses of the platform, workers' lines and load reports, endpoint lists, operators' commands, and the
// load datagrams between dispatchers.
//
// Bytes go in and values come out, or the other way round. Nothing here does I/O, knows about time, or decides anything.
package protocol
