package members

import "google.golang.org/protobuf/proto"

// Size returns the encoded size of the message in bytes, without transport
// framing.
func (m Message) Size() int { return proto.Size(toRequest(m)) }
