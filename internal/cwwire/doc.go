// Package cwwire has the protocol buffer messages that entry VMs exchange or keep in
// the platform's store. They are generated from the schemas in this folder.
package cwwire

//go:generate sh -c "cd ../.. && protoc --go_out=. --go_opt=paths=source_relative internal/cwwire/*.proto"
