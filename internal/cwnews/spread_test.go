package cwnews

import "google.golang.org/protobuf/proto"

// count notes what one exchange costs.
func (f *fleet) count(all ...proto.Message) {
	f.calls++

	for _, m := range all {
		f.bytes += proto.Size(m)
	}
}
