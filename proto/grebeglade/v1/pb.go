// Package pb contains the messages of the protocol between clients, allocators, nodes and the discovery service. They
// are generated from wire.proto, which specifies the protocol. A frame must not be changed after it is passed to a
// connection.
package pb

//go:generate protoc --proto_path=../../.. --go_out=../../.. --go_opt=module=grebeglade proto/grebeglade/v1/wire.proto

// Major and Minor are the protocol version of this build. A peer with another major version is rejected; peers with
// different minor versions are compatible.
const (
	Major = 1
	Minor = 1 // version 1.1 adds gangs
)
