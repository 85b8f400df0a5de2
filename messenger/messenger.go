// Package messenger holds the messages between instances, generated from
// peers.proto.
package messenger

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peers.proto
