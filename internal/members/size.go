package members

import "google.golang.org/protobuf/proto"

// Size returns the bytes of the message on the wire, without those of its
// transport.
func (m Message) Size() int { return proto.Size(toRequest(m)) }
