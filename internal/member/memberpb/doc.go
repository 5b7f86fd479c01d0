// Package memberpb holds the generated form of the datagrams between hosts.
package memberpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative member.proto
