// Package cwwire has the messages that entry VMs exchange, generated from the
// schemas beside it, one a part.
package cwwire

//go:generate sh -c "cd ../.. && protoc --go_out=. --go_opt=paths=source_relative internal/cwwire/*.proto"
