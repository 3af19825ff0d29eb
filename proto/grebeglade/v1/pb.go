// Package pb is the wire between owners, allocators, nodes and the machine list, as generated from
// wire.proto, which is its description. A frame that was handed to a connection is not changed afterwards.
package pb

//go:generate protoc --proto_path=../../.. --go_out=../../.. --go_opt=module=grebeglade proto/grebeglade/v1/wire.proto

// Major and Minor are the version that this build speaks. Another major is refused, a later minor is not.
const (
	Major = 1
	Minor = 1 // gangs
)
