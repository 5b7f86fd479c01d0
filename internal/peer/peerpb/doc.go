// Package peerpb holds the generated messages and calls between hosts.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
