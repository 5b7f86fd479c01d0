// Package hostpb holds the generated payloads of control messages.
package hostpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative host.proto
